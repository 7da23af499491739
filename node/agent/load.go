package agent

import (
	"math"
	"sync/atomic"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/wire"
)

// loadState is the agent's own load, which its datagrams report. Writers and
// readers run on different goroutines.
type loadState struct {
	admission   atomic.Pointer[admission.Load]
	draining    atomic.Bool
	targetDown  func() bool
	connections atomic.Int64
	// connectionLimit is the maximum of connections. Zero means no limit.
	connectionLimit atomic.Int64
}

func (l *loadState) setAdmission(load admission.Load) { l.admission.Store(&load) }

func (l *loadState) current() admission.Load {
	if load := l.admission.Load(); load != nil {
		return *load
	}
	return admission.Load{}
}

func (l *loadState) full() bool {
	limit := l.connectionLimit.Load()
	return limit > 0 && l.connections.Load() >= limit
}

// refusesNewFlows reports whether new flows should go to another agent. A cold
// agent refuses them only while all slots of its ramp are busy. An agent whose
// target is down can only hand requests over, which costs each of them an extra
// hop.
func (l *loadState) refusesNewFlows() bool {
	load := l.current()
	return l.draining.Load() || l.full() || l.targetDown() || load.Cold && load.Busy >= load.Slots
}

// headerFields returns the load fields of a datagram header.
func (l *loadState) headerFields() (busy, waiting uint16, state wire.StateBits) {
	load := l.current()
	if l.draining.Load() {
		state |= wire.StateDraining
	}
	if load.Cold {
		state |= wire.StateCold
	}
	if l.full() {
		state |= wire.StateFull
	}
	return clampUint16(load.Busy), clampUint16(load.Waiting), state
}

func clampUint16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }
