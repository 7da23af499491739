package packetplane

import (
	"time"

	"trefoilweir.example/core/relay"
)

// viewChanged applies a change of the view and sends the new progress to active
// children. The caller holds the lock.
func (p *Process) viewChanged(targets, config bool) {
	defer p.recoverStep("view")
	now := p.now()
	p.role.onViewChange(now)
	p.flush(now)
	heartbeat := p.heartbeat(now, 0)
	for _, child := range p.children.active(now) {
		p.sendTo(child, &heartbeat)
	}
}

// heartbeat returns a heartbeat of this process.
func (p *Process) heartbeat(now time.Duration, flags uint8) relay.Message {
	load := p.role.load()
	load.Flags |= flags
	return relay.Message{Kind: relay.Heartbeat, Service: p.serviceTag, Load: load, Progress: p.view.Progress(), Age: p.view.Age(now)}
}

// sendParentRequest requests the age of a parent's view, from each parent in
// turn.
func (p *Process) sendParentRequest(now time.Duration) {
	if now-p.lastParentRequest < parentRequestInterval {
		return
	}
	p.lastParentRequest = now
	position := p.sync.Position()
	if len(position.Parents) == 0 {
		return
	}
	p.parentIndex++
	request := p.heartbeat(now, relay.FlagReplyRequested)
	p.sendTo(position.Parents[p.parentIndex%len(position.Parents)], &request)
}

// notifySilentChildren sends the progress to children that have stopped sending
// requests.
func (p *Process) notifySilentChildren(now time.Duration) {
	if !p.view.Usable() {
		return
	}
	for _, child := range p.children.silentDue(now) {
		heartbeat := p.heartbeat(now, 0)
		p.sendTo(child, &heartbeat)
	}
}
