package packetplane

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/ownership"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/node/telemetry"
)

const (
	// nearEvery and farEvery are the times between beats to the agents of the
	// same service in the same data centre and in others.
	nearEvery = 100 * time.Millisecond
	farEvery  = 400 * time.Millisecond
	// agentLeaveLeast is the least time that a stopping agent goes on: its
	// peers learn of it and place no new flows there.
	agentLeaveLeast = 400 * time.Millisecond
	// agentLeaveMost bounds the wait for requests in progress.
	agentLeaveMost = 3 * time.Second
	// targetCheckTimeout bounds the connection of a check, which stays on the
	// VM.
	targetCheckTimeout = 200 * time.Millisecond
)

// agent is the role of a process beside a target.
type agent struct {
	*Process
	machine *ownership.Machine
	// near and far are when the load was last told.
	near, far time.Duration
	// nearby and faraway are the agents that are told.
	nearby, faraway []netip.Addr
	// checks has a request to check whether the target runs.
	checks chan struct{}
}

// RunAgent runs an agent until it is stopped.
func RunAgent(ctx context.Context, o Options) error {
	p, err := newProcess(o, "agent")
	if err != nil {
		return err
	}
	s := o.Settings
	a := &agent{Process: p, checks: make(chan struct{}, 1), machine: ownership.New(p.now(), ownership.Options{
		Self: s.IP, DataCentre: s.DataCentre, Service: s.Service, Target: s.TargetAddr, FirstStart: s.FirstStart, StartedMS: p.start.UnixMilli(), FlowTTL: s.FlowTTL, Codec: o.Codec, View: p.view,
	})}
	var fromTarget *net.UDPConn
	if fromTarget, err = listen(s.FromTargetAddr); err != nil {
		return err
	}
	p.role, p.caller = a, fromTarget
	return p.run(ctx, []part{{"from_target", p.read(fromTarget, a.fromTarget)}, {"target_check", a.checkLoop}})
}

func (a *agent) fromTarget(now time.Duration, _ netip.AddrPort, raw []byte) {
	a.machine.FromTarget(now, raw, &a.out)
}

func (a *agent) fromPeer(now time.Duration, from netip.Addr, m *relay.Message) {
	a.machine.FromPeer(now, from, m, &a.out)
}

func (a *agent) tick(now time.Duration) {
	if a.stopping {
		a.machine.Leave()
	}
	a.machine.Tick(now, &a.out)
	if a.machine.TargetCheckDue(now) {
		select {
		case a.checks <- struct{}{}:
		default:
			// The check before has not ended.
		}
	}
	near, far := now-a.near >= nearEvery, now-a.far >= farEvery
	if !near && !far {
		return
	}
	a.tell(now, near, far)
}

// tell sends the load to the other agents of the service.
func (a *agent) tell(now time.Duration, near, far bool) {
	beat := a.beat(now, 0)
	if near {
		a.near = now
		a.sendAll(a.nearby, &beat)
	}
	if far {
		a.far = now
		a.sendAll(a.faraway, &beat)
	}
}

func (a *agent) sendAll(to []netip.Addr, m *relay.Message) {
	for _, peer := range to {
		a.sendTo(peer, m)
	}
}

func (a *agent) waiting() bool { return a.machine.Waiting() }

func (a *agent) load() relay.Load { return a.machine.Load() }

func (a *agent) changed(time.Duration) {
	s := a.Settings
	a.nearby, a.faraway = fleet.LoadReceivers(a.view.Targets(s.Service), s.IP, s.DataCentre)
}

func (a *agent) sizes() map[string]int {
	return map[string]int{"flows": a.machine.Flows(), "records": a.machine.Records(), "queued": a.machine.Queued()}
}

func (a *agent) peers(now time.Duration) []plane.Peer { return a.machine.Peers(now) }

func (a *agent) stopped(now, since time.Duration) bool {
	wait := now - since
	return wait > agentLeaveLeast && (a.machine.Idle() || wait > agentLeaveMost)
}

// checkTarget finds out whether a process listens at the address of the target.
// An agent that restarted alone cannot know its target's flows; one whose
// target does not run knows that there are none.
func (a *agent) checkTarget(ctx context.Context) {
	conn, err := (&net.Dialer{Timeout: targetCheckTimeout}).DialContext(ctx, "tcp4", a.Settings.TargetAddr.String())
	if err == nil {
		if err := conn.Close(); err != nil {
			a.Log.Debug("connection to the target not closed", telemetry.Error(err))
		}
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		a.Log.Info("target cannot be checked", telemetry.Error(err))
		return
	}
	a.step("target_check", func(now time.Duration) {
		a.machine.TargetNotRunning(now, &a.out)
		a.flush(now)
	})
}

// checkLoop checks the target at the start of an agent that is none of the
// first, and when the machine asks for it.
func (a *agent) checkLoop(ctx context.Context) error {
	if !a.Settings.FirstStart {
		a.checkTarget(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.checks:
			a.checkTarget(ctx)
		}
	}
}
