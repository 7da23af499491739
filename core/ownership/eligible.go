package ownership

import (
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
)

// Reasons why a target gets no new flow although it takes some.
const (
	reasonDrained = "drained"
	reasonRegion  = "region_not_allowed"
)

// viewWait is how long after a restart an agent without a view keeps new flows
// waiting, because its target may be in a drained data centre. The first view
// usually comes within 50 ms. A balancer without a view waits as long.
const viewWait = 400 * time.Millisecond

// eligible reports whether a target may get a new flow.
func (m *Machine) eligible(key flow.Key, t *fleet.Target) bool {
	return t.State == fleet.Ready && !m.View.Drained(t.DataCentre) && m.View.RegionAllowed(key.Service(), t.DataCentre)
}

// ownDataCentre returns the data centre of the target, as other agents know it.
func (m *Machine) ownDataCentre() string {
	if t := m.ownTarget(); t != nil {
		return t.DataCentre
	}
	return m.DataCentre
}

// ownDrained reports whether the data centre of the target is drained.
func (m *Machine) ownDrained() bool { return m.View.Drained(m.ownDataCentre()) }

// flowRefusalReason returns why the target does not take a new flow, or an empty
// string if it takes it.
func (m *Machine) flowRefusalReason(now time.Duration, key flow.Key) string {
	if reason := m.refusalReason(now); reason != "" {
		return reason
	}
	if !m.View.RegionAllowed(key.Service(), m.ownDataCentre()) {
		return reasonRegion
	}
	return ""
}

// noTargetReason returns why no target can get a new flow.
func (m *Machine) noTargetReason(key flow.Key) string {
	reason := "no_target"
	for _, t := range m.View.Targets(m.Service) {
		switch {
		case t.State != fleet.Ready:
		case !m.View.RegionAllowed(key.Service(), t.DataCentre):
			reason = reasonRegion
		case m.View.Drained(t.DataCentre):
			return reasonDrained
		}
	}
	return reason
}

// awaitsView reports whether the agent has restarted and has no view yet.
func (m *Machine) awaitsView(now time.Duration) bool {
	return !m.FirstStart && !m.View.Usable() && now-m.startedAt < viewWait
}

// mayBeElsewhere reports whether a target may have got a copy of an opening packet
// before, through another agent: the caller has sent several, the agent in RefusedBy
// left the flow unanswered, or this agent has placed or handed over the flow before.
// Such a flow must not be refused.
func (m *Machine) mayBeElsewhere(p *flow.Packet, msg *relay.Message) bool {
	r := m.records[p.Key]
	return p.Ack > 0 || msg.RefusedBy.IsValid() || r != nil && r.seq == p.Seq && r.owner != m.Self
}

// isWithheld reports whether a reason withholds new flows from a target that could
// serve them.
func isWithheld(reason string) bool { return reason == reasonDrained || reason == reasonRegion }

// isOffered reports whether the target has accepted the flow of an opening packet,
// or has got the packet and the agent waits for the acceptance.
func (m *Machine) isOffered(p *flow.Packet) bool {
	f := m.flows[p.Key]
	return m.targetGotOpening(p) && (f.accepted || f.phase == phaseOffered)
}

// targetGotOpening reports whether the target has got the opening packet of a flow and
// has not returned it. It may accept the flow late, after the agent has given up the
// wait or has sent the packet elsewhere.
func (m *Machine) targetGotOpening(p *flow.Packet) bool {
	f := m.flows[p.Key]
	return f != nil && f.openSeqKnown && f.openSeq == p.Seq
}
