package packetplane

import (
	"time"

	"trefoilweir.example/core/relay"
)

// viewChanged tells the processes that ask this one of the new revision. The
// lock is held.
func (p *Process) viewChanged(targets, config bool) {
	defer p.recoverStep("view")
	now := p.now()
	p.role.changed(now)
	p.flush(now)
	beat := p.beat(now, 0)
	for _, child := range p.children.present(now) {
		p.sendTo(child, &beat)
	}
}

// beat returns a Beat of this process.
func (p *Process) beat(now time.Duration, flags uint8) relay.Message {
	load := p.role.load()
	load.Flags |= flags
	return relay.Message{Kind: relay.Heartbeat, Service: p.tag, Load: load, Revision: p.view.Revision(), Age: p.view.Age(now)}
}

// askParent asks a parent for the age of its view.
func (p *Process) askParent(now time.Duration) {
	if now-p.asked < askEvery {
		return
	}
	p.asked = now
	place := p.sync.Position()
	if len(place.Parents) == 0 {
		return
	}
	p.parent++
	ask := p.beat(now, relay.FlagReplyRequested)
	p.sendTo(place.Parents[p.parent%len(place.Parents)], &ask)
}

// tellChildren tells processes that have fallen silent the revision.
func (p *Process) tellChildren(now time.Duration) {
	if !p.view.Usable() {
		return
	}
	for _, child := range p.children.silent(now) {
		beat := p.beat(now, 0)
		p.sendTo(child, &beat)
	}
}
