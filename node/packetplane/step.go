package packetplane

import (
	"fmt"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/node/telemetry"
)

// eventPanicked is the kind whose budget limits the log lines about panics.
const eventPanicked plane.EventKind = "panicked"

// step runs a decision with the lock held and recovers from its panic: an
// unexpected datagram must not stop all other flows. A process that has handed over
// its state decides nothing more.
func (p *Process) step(name string, decide func(now time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.halted {
		return
	}
	defer p.recoverStep(name)
	decide(p.now())
}

// recoverStep recovers from the panic of a decision. It is deferred with the lock
// held. It drops the output of the decision, which refers to a buffer of its
// caller.
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
