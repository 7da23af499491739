package balancer

import (
	"net/netip"

	"trefoilweir.example/core/placement"
	"trefoilweir.example/core/wire"
)

func (b *Balancer) sendPing(service uint32, to netip.AddrPort) {
	h := wire.Header{Kind: wire.Ping}
	var buf [wire.HeaderLen]byte
	b.seal(buf[:], &h, service)
	if why := b.send(buf[:], to); why != reasonNone {
		b.counters.drop(why)
		return
	}
	b.counters.pingsSent.Inc()
}

// chooseAgent returns the agent for the first packet in r: the best-ranked
// usable target, or another target if none is usable. It returns false if there
// are no targets.
func (b *Balancer) chooseAgent(r *reader, service uint32, targets []placement.Target) (netip.AddrPort, bool) {
	r.candidates = placement.Rank(r.candidates, service, r.packet.dcid, targets, initialCandidates)
	agent, probe, ok := b.chooseHealthy(r.candidates)
	if ok && len(targets) > initialCandidates && !b.usable(agent) {
		r.candidates = placement.Rank(r.candidates, service, r.packet.dcid, targets, placement.MaxCandidates)
		agent, _, ok = b.chooseHealthy(r.candidates)
	}
	if probe.IsValid() {
		b.sendPing(service, probe)
	}
	return agent, ok
}

func (b *Balancer) chooseHealthy(candidates []netip.AddrPort) (agent, probe netip.AddrPort, ok bool) {
	b.healthMu.Lock()
	defer b.healthMu.Unlock()
	return b.health.Choose(b.now(), candidates)
}

func (b *Balancer) usable(agent netip.AddrPort) bool {
	b.healthMu.Lock()
	defer b.healthMu.Unlock()
	return b.health.Usable(b.now(), agent)
}

func (b *Balancer) recordEchoSent(service uint32, agent netip.AddrPort) {
	b.healthMu.Lock()
	defer b.healthMu.Unlock()
	b.health.EchoSent(b.now(), service, agent)
}

func (b *Balancer) recordHeard(agent netip.AddrPort, h *wire.Header) {
	b.healthMu.Lock()
	defer b.healthMu.Unlock()
	b.health.Heard(b.now(), agent, h.State&wire.StateDraining != 0)
}
