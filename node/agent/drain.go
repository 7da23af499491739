package agent

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	// sweepInterval is how often a draining agent looks at its connections.
	sweepInterval = 200 * time.Millisecond
	// drainPollInterval is how often Drain looks for the last request.
	drainPollInterval = 20 * time.Millisecond
	// cutOffTimeout bounds the wait for requests to notice that they were cut off.
	cutOffTimeout = 2 * time.Second
)

// sweep sends GOAWAY to the connections of a draining agent and to those that
// are long unused, and closes them when they have no requests.
func (a *Agent) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			a.sweepOnce()
		}
	}
}

func (a *Agent) sweepOnce() {
	draining := a.load.draining.Load()
	start := time.Duration(a.drainStart.Load())
	for _, c := range a.callers.list() {
		// A connection that was accepted while draining gets time for its
		// first requests, which are handed over.
		from := max(start, c.accepted+goAwaySpread)
		if c.accepted < start {
			from = start
		}
		if draining && a.now() >= from+c.goAwayDelay || c.quiet() > unusedTimeout {
			c.goAway()
		}
		c.closeIfUnused()
	}
}

// Drain stops the agent gracefully: it starts no new work on the target, hands
// new requests over, and sends GOAWAY to callers. It returns when the last
// request and the last connection have ended, or when the drain limit has cut
// them off. Serve must be running, and must go on until Drain has returned.
func (a *Agent) Drain(ctx context.Context) error {
	a.stopping.Store(true)
	for _, in := range a.refresh() {
		a.gate.post(in)
	}
	var cut <-chan time.Time
	if limit := time.Duration(a.settings.DrainLimitMS) * time.Millisecond; limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		cut = timer.C
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if a.open.Load() == 0 && a.reports.Load() == 0 && len(a.callers.list()) == 0 {
			a.transferTickets(ctx)
			a.log.Info("drained")
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "drain")
		case <-cut:
			a.cutOff()
			a.transferTickets(ctx)
			return nil
		case <-ticker.C:
		}
	}
}

// cutOff ends what is still open at the drain limit.
func (a *Agent) cutOff() {
	a.metrics.set.GetOrCreateCounter("trefoilweir_agent_drain_cut_requests_total").AddInt64(a.open.Load())
	a.log.Warn("drain limit reached, open requests are cut off",
		zap.Int64("requests", a.open.Load()), zap.Int("connections", len(a.callers.list())))
	for _, c := range a.callers.list() {
		c.cutOff("drain limit")
	}
	for deadline := a.now() + cutOffTimeout; a.open.Load()+a.reports.Load() > 0 && a.now() < deadline; {
		time.Sleep(drainPollInterval)
	}
}
