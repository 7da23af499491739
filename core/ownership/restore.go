package ownership

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flowtable"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

const (
	// maxRestoreWait bounds how long a starting agent without a view holds
	// messages. It is below goneTimeout, so no searcher takes the agent for gone.
	maxRestoreWait = 1500 * time.Millisecond
	// restoreMargin is added to the time in which the table of the last run is
	// looked for, which ends by itself.
	restoreMargin = 100 * time.Millisecond
	// maxHeldMessages bounds the messages that are held, each of at most a datagram. At 20
	// requests a second for each of 20,000 flows, 2,048 arrive in 5 ms, so most
	// callers of a busy target send again.
	maxHeldMessages = 2048
)

// restore is the state of an agent that may get the flow table of its last run.
type restore struct {
	// waiting says that the agent may still get the table. viewSeen says that it
	// had a view, the first one at viewAt.
	waiting, viewSeen bool
	viewAt            time.Duration
	// held has messages about flows that the agent does not know.
	held []heldMessage
}

type heldMessage struct {
	from netip.Addr
	key  flow.Key
	msg  relay.Message
}

// Restoring reports whether the agent may still get the table of its last run.
func (m *Machine) Restoring() bool { return m.restore.waiting }

// holdMessage holds a message about a flow that the agent does not know until it
// has its table or knows that there is none: "may be" would cause probes of other
// targets, and a denial may be wrong. It reports whether the message needs no
// further handling now.
func (m *Machine) holdMessage(from netip.Addr, p *flow.Packet, msg *relay.Message, out *plane.Out) bool {
	if f := m.flows[p.Key]; f != nil && f.matches(p) {
		return false
	}
	switch msg.Kind {
	case relay.Packet, relay.Redirect:
		if m.records[p.Key] != nil {
			return false
		}
	case relay.Search, relay.Probe:
		if i := slices.IndexFunc(m.restore.held, func(h heldMessage) bool { return h.from == from && h.key == p.Key && h.msg.Kind == msg.Kind }); i >= 0 {
			m.restore.held[i].msg = cloneMessage(msg)
			return true
		}
	default:
		return false
	}
	if len(m.restore.held) >= maxHeldMessages {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Peer: from, Reason: "restoring"})
		return true
	}
	m.restore.held = append(m.restore.held, heldMessage{from, p.Key, cloneMessage(msg)})
	return true
}

// cloneMessage copies the parts of a message that refer to the receive buffer.
func cloneMessage(msg *relay.Message) relay.Message {
	c := *msg
	c.Body, c.DeniedServices = slices.Clone(msg.Body), slices.Clone(msg.DeniedServices)
	return c
}

// EndRestore ends the wait for the table of the last run and handles the held
// messages.
func (m *Machine) EndRestore(now time.Duration, reason string, out *plane.Out) {
	if !m.restore.waiting {
		return
	}
	held := m.restore.held
	m.restore.waiting, m.restore.held = false, nil
	out.Event(plane.Event{Kind: plane.EventRestored, Reason: reason, Value: int64(len(held))})
	for i := range held {
		m.handlePeerMessage(now, held[i].from, &held[i].msg, out)
	}
	m.admit(now, out)
}

// checkRestore ends the wait for a table that does not come in time or is not
// needed, because the target started with the agent or does not run.
func (m *Machine) checkRestore(now time.Duration, out *plane.Out) {
	r := &m.restore
	switch {
	case !r.waiting:
		return
	case m.unknownFlowsUntil == 0:
		m.EndRestore(now, "target_fresh", out)
		return
	case !r.viewSeen && m.View.Usable():
		r.viewSeen, r.viewAt = true, now
	}
	if now-m.startedAt >= maxRestoreWait || r.viewSeen && now-r.viewAt >= flowtable.RestoreTimeout+restoreMargin {
		m.EndRestore(now, "no_table_in_time", out)
	}
}
