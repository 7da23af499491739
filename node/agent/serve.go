package agent

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
)

const (
	// pingCheckInterval is how often the agent checks whether a ping is due
	// while it sends responses. idlePingCheckInterval applies while it sends
	// none.
	pingCheckInterval     = 25 * time.Millisecond
	idlePingCheckInterval = 200 * time.Millisecond
	// restartBackoff is the delay before the restart of a part that keeps
	// failing.
	restartBackoff = 100 * time.Millisecond
	// stopTimeout limits the wait for a part to stop.
	stopTimeout = 2 * time.Second
)

// part is a supervised part of the agent.
type part struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (p part) Serve(ctx context.Context) error { return p.run(ctx) }

// String returns the name of the part for log lines and metrics.
func (p part) String() string { return p.name }

// Serve runs the agent until ctx ends, then closes all connections. For a
// graceful stop, call Drain before. Serve can be called only once.
func (a *Agent) Serve(ctx context.Context) error {
	supervisor := suture.New("agent", suture.Spec{
		EventHook:      a.handleSupervisorEvent,
		FailureBackoff: restartBackoff,
		Timeout:        stopTimeout,
	})
	for _, p := range a.parts() {
		supervisor.Add(p)
	}
	a.log.Info("agent started", zap.Stringer("datagram_address", a.self.address))
	err := supervisor.Serve(ctx)
	close(a.gate.done)
	closeErr := trace.NewAggregate(a.callers.close(), a.packetConn.Close())
	if ctx.Err() != nil {
		err = nil
	}
	return trace.NewAggregate(err, closeErr)
}

func (a *Agent) parts() []part {
	return []part{
		{"admission", func(ctx context.Context) error { a.gate.run(ctx); return nil }},
		{"callers", a.callers.accept},
		{"configuration", a.followConfig},
		{"return_path", a.pingBalancers},
		{"drain", a.sweep},
		{"target_probe", a.target.probe},
	}
}

func (a *Agent) handleSupervisorEvent(e suture.Event) {
	fields := e.Map()
	if p, ok := e.(suture.EventServicePanic); ok {
		a.metrics.panicked(p.ServiceName)
	}
	if e.Type() == suture.EventTypeResume {
		a.log.Info("restarting failed parts", zap.Any("event", fields))
		return
	}
	a.log.Error("part failed", zap.Any("event", fields))
}

func (a *Agent) pingBalancers(ctx context.Context) error {
	timer := time.NewTimer(pingCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			for _, to := range a.balancers.duePings(a.now()) {
				a.packetConn.sendPing(to)
			}
			if a.balancers.idle(a.now()) {
				timer.Reset(idlePingCheckInterval)
			} else {
				timer.Reset(pingCheckInterval)
			}
		}
	}
}
