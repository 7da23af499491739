package agent

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	// sweepInterval is how often an agent checks its callers' connections.
	sweepInterval = 200 * time.Millisecond
	// drainPollInterval is how often Drain checks whether all requests have
	// ended.
	drainPollInterval = 20 * time.Millisecond
	// cutOffTimeout bounds the wait for the requests of connections that were
	// closed at the drain limit.
	cutOffTimeout = 2 * time.Second
)

// sweep sends GOAWAY on the connections of a draining agent and on those that
// have been unused for unusedTimeout. It closes them once they have no requests.
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
		// A connection that was accepted during the drain gets time for its
		// first requests, which are handed over to peers.
		from := max(start, c.accepted+goAwaySpread)
		if c.accepted < start {
			from = start
		}
		if draining && a.now() >= from+c.goAwayDelay || c.idleFor() > unusedTimeout {
			c.goAway()
		}
		c.closeIfIdle()
	}
}

// Drain stops the agent gracefully. It starts no new requests on the target,
// hands them over to peers, and sends GOAWAY to callers. Once the last request
// and the last connection have ended, or were cut off at the drain limit, it
// transfers the tickets to a successor and returns. Serve must run until Drain
// has returned.
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
		if a.openRequests.Load() == 0 && a.pendingReports.Load() == 0 && len(a.callers.list()) == 0 {
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

// cutOff closes the connections that are still open at the drain limit, and
// waits up to cutOffTimeout for their requests and reports to end.
func (a *Agent) cutOff() {
	a.metrics.set.GetOrCreateCounter("trefoilweir_agent_drain_cut_requests_total").AddInt64(a.openRequests.Load())
	a.log.Warn("drain limit reached; cutting off open requests",
		zap.Int64("requests", a.openRequests.Load()), zap.Int("connections", len(a.callers.list())))
	for _, c := range a.callers.list() {
		c.cutOff("drain limit")
	}
	for deadline := a.now() + cutOffTimeout; a.openRequests.Load()+a.pendingReports.Load() > 0 && a.now() < deadline; {
		time.Sleep(drainPollInterval)
	}
}
