package packetplane

import (
	"fmt"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/node/telemetry"
)

// eventPanicked is the kind under which log lines of panics are bounded.
const eventPanicked plane.EventKind = "panicked"

// step runs a decision with the lock held. One that panics ends there: an
// unexpected datagram must not stop the flows of all others.
func (p *Process) step(name string, decide func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.recoverStep(name)
	decide(p.now())
}

// recoverStep is deferred with the lock held. It drops what a panicking
// decision had asked for, because that refers to a buffer of its caller.
func (p *Process) recoverStep(name string) {
	cause := recover()
	if cause == nil {
		return
	}
	p.out.Clear()
	p.Metrics.GetOrCreateCounter(fmt.Sprintf("trefoilweir_panics_total{%s=%q}", telemetry.KeyPart, name)).Inc()
	if omitted, ok := p.events.allow(p.now(), eventPanicked); ok {
		p.Log.Error("decision panicked", zap.String(telemetry.KeyPart, name), telemetry.Reason(fmt.Sprint(cause)),
			zap.String("stack", string(debug.Stack())), zap.Int("left_out", omitted))
	}
}
