package ownership_test

import (
	"fmt"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

const (
	// resetWindow is how far from the caller's acknowledgement a reset may be
	// that ends an open flow.
	resetWindow = 76_800
	// misdeliveryWindow and maxMisdelivered: this many packets at other targets
	// in this time, and none at the flow's own, break the rule.
	misdeliveryWindow = 2 * time.Second
	maxMisdelivered   = 3
)

// judge records what the callers and the targets see.
type judge struct {
	violations []string
	// staleResets counts the resets of open flows whose sequence number the
	// callers ignore, excused the resets and misdeliveries that do not count
	// because a VM was disturbed.
	staleResets, excused int
	resets               int
	// wrongResets counts the resets of open flows that a target holds.
	wrongResets int
	sent        map[relay.Kind]int
	decided     map[plane.EventKind]int
	// idleTimeouts holds the idle timeouts with the time from which each was in
	// force.
	idleTimeouts []idleChange
	tracing      bool
}

type idleChange struct {
	at      time.Duration
	timeout time.Duration
}

func (j *judge) countSent(kind relay.Kind)       { j.sent[kind]++ }
func (j *judge) countEvent(kind plane.EventKind) { j.decided[kind]++ }

func (j *judge) idleTimeout() time.Duration { return j.idleTimeouts[len(j.idleTimeouts)-1].timeout }

// shortestIdleTimeout returns the shortest idle timeout that was in force since a
// time.
func (j *judge) shortestIdleTimeout(since time.Duration) time.Duration {
	shortest := j.idleTimeout()
	for i, c := range j.idleTimeouts {
		if i+1 == len(j.idleTimeouts) || j.idleTimeouts[i+1].at > since {
			shortest = min(shortest, c.timeout)
		}
	}
	return shortest
}

func (w *world) trace(key flow.Key, line func() string) {
	if c := w.callers[key]; c != nil && w.tracing {
		c.lines = append(c.lines, fmt.Sprintf("    %9.3f %s", w.now.Seconds(), line()))
	}
}

// violate records a broken rule.
func (w *world) violate(c *caller, format string, arguments ...any) {
	w.trace(c.key, func() string { return "VIOLATION" })
	c.lost = true
	text := fmt.Sprintf("%.3f flow %d: ", w.now.Seconds(), c.key.CallerPort) + fmt.Sprintf(format, arguments...)
	for _, line := range c.lines {
		text += "\n" + line
	}
	w.violations = append(w.violations, text)
}

// counts reports whether the rule holds for a flow now: it is open at a target
// that lives, and was never idle for too long.
func (w *world) counts(c *caller) bool {
	if c == nil || !c.open || c.closed || c.lost || c.idleExceeded || !c.target.alive || w.now-c.lastActive > w.shortestIdleTimeout(c.lastActive) {
		return false
	}
	h := c.target.flows[c.key]
	return h != nil && h.opened && !h.ended
}

func (w *world) recordReset(from *process, c *caller, p *flow.Packet) {
	distance := int64(int32(p.Seq - c.received))
	counts := w.counts(c)
	if c.open && (distance > resetWindow || distance < -resetWindow) {
		if counts {
			w.staleResets++
		}
		return
	}
	w.resets++
	c.resetAt = w.now
	if counts && (from.vm.disturbed(w.now) || c.target.vm.disturbed(w.now)) {
		w.excused++
	} else if counts {
		w.wrongResets++
		w.violate(c, "reset by %s although target %s (%s) holds it", from.ip, c.target.id, c.target.vm.ip)
	}
	c.closed = true
}

func (w *world) recordDelivery(t *target, c *caller) {
	if c.target == t {
		c.misdelivered = nil
		c.deliveries++
	}
}

// recordMisdelivery records a packet that reached a target that does not hold
// its flow.
func (w *world) recordMisdelivery(t *target, key flow.Key) {
	c := w.callers[key]
	w.trace(key, func() string { return "misdelivered to " + t.vm.ip.String() })
	if !w.counts(c) {
		return
	}
	if t.vm.disturbed(w.now) || c.target.vm.disturbed(w.now) {
		w.excused++
		return
	}
	c.misdelivered = append(c.misdelivered, w.now)
	n := len(c.misdelivered)
	if n < maxMisdelivered || w.now-c.misdelivered[n-maxMisdelivered] > misdeliveryWindow {
		return
	}
	// The window begins with the first of these packets.
	deliveries, end := c.deliveries, c.misdelivered[n-maxMisdelivered]+misdeliveryWindow
	w.after(end-w.now, func() {
		if c.deliveries == deliveries && !c.lost && c.target.alive && !c.target.vm.disturbed(w.now) {
			w.violate(c, "%d packets at other targets within %v, one at %s, and none at target %s (%s)", maxMisdelivered, misdeliveryWindow, t.vm.ip, c.target.id, c.target.vm.ip)
		}
	})
}
