package packetplane

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"go.uber.org/zap"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/ownership"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/node/telemetry"
)

const (
	// localLoadInterval is the time between heartbeats to agents of the same
	// service in the same data centre, remoteLoadInterval the time between those
	// to agents in other data centres.
	localLoadInterval  = 100 * time.Millisecond
	remoteLoadInterval = 400 * time.Millisecond
	// agentMinStopTime is the minimum time until a stopping agent ends. In this
	// time its peers learn of the stop and place no more new flows at it.
	agentMinStopTime = 400 * time.Millisecond
	// agentMaxStopTime bounds the wait for requests in progress.
	agentMaxStopTime = 3 * time.Second
	// targetCheckTimeout bounds the connection attempt of a check. It does not
	// leave the VM.
	targetCheckTimeout = 200 * time.Millisecond
)

// agent is the role of a process that runs on the VM of a target.
type agent struct {
	*Process
	machine *ownership.Machine
	// lastLocalLoad and lastRemoteLoad are when the load was last sent.
	lastLocalLoad, lastRemoteLoad time.Duration
	// localPeers and remotePeers are the agents to which the load is sent.
	localPeers, remotePeers []netip.Addr
	// refusedAtStart gets the result of the first check whether the target runs.
	refusedAtStart <-chan bool
	// checkRequests holds a pending request to check whether the target runs.
	checkRequests chan struct{}
	tables        *flowTables
}

// RunAgent runs an agent until it is stopped.
func RunAgent(ctx context.Context, o Options) error {
	s := o.Settings
	// A target that starts with the agent may listen a moment later, so the first
	// check comes before anything else.
	refused := make(chan bool, 1)
	if !s.FirstStart {
		go func() { refused <- targetRefuses(ctx, s.TargetAddr, o.Log) }()
	}
	p, err := newProcess(o, "agent")
	if err != nil {
		return err
	}
	run := newRun()
	a := &agent{Process: p, refusedAtStart: refused, checkRequests: make(chan struct{}, 1), machine: ownership.New(p.now(), ownership.Options{
		Self: s.IP, DataCentre: s.DataCentre, Service: s.Service, Target: s.TargetAddr, FirstStart: s.FirstStart, StartedMS: p.start.UnixMilli(), SinceBoot: p.sinceBoot(), FlowTTL: s.FlowTTL, Run: run, AwaitTable: !s.FirstStart,
		Codec: o.Codec, View: p.view,
	})}
	a.tables = newFlowTables(a, run)
	p.peerHandlers = map[string]http.Handler{PathFlows: a.tables}
	p.beforeExit = a.tables.handOver
	var fromTarget *net.UDPConn
	if fromTarget, err = listen(s.FromTargetAddr); err != nil {
		return err
	}
	p.role, p.callerConn = a, fromTarget
	return p.run(ctx, []part{
		{"from_target", p.receiveLoop(fromTarget, a.fromTarget)}, {"target_check", a.targetCheckLoop}, {"removals", p.sync.LearnRemovals},
		{"flow_tables", a.tables.restoreLoop},
	})
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
	a.tables.expire(now)
	if a.machine.TargetCheckDue(now) {
		select {
		case a.checkRequests <- struct{}{}:
		default:
			// A check is already pending.
		}
	}
	local, remote := now-a.lastLocalLoad >= localLoadInterval, now-a.lastRemoteLoad >= remoteLoadInterval
	if !local && !remote {
		return
	}
	a.sendLoad(now, local, remote)
}

// sendLoad sends the load to the other agents of the service.
func (a *agent) sendLoad(now time.Duration, local, remote bool) {
	heartbeat := a.heartbeat(now, 0)
	if local {
		a.lastLocalLoad = now
		a.sendAll(a.localPeers, &heartbeat)
	}
	if remote {
		a.lastRemoteLoad = now
		a.sendAll(a.remotePeers, &heartbeat)
	}
}

func (a *agent) sendAll(to []netip.Addr, m *relay.Message) {
	for _, peer := range to {
		a.sendTo(peer, m)
	}
}

func (a *agent) hasTimeouts() bool { return a.machine.HasTimeouts() }

func (a *agent) load() relay.Load { return a.machine.Load() }

func (a *agent) onViewChange(time.Duration) {
	a.tables.noteView()
	s := a.Settings
	a.localPeers, a.remotePeers = fleet.LoadReceivers(a.view.Targets(s.Service), s.IP, s.DataCentre)
}

func (a *agent) tableSizes() map[string]int {
	kept, _ := a.tables.size()
	return map[string]int{"flows": a.machine.Flows(), "records": a.machine.Records(), "queued": a.machine.Queued(), "kept_tables": kept}
}

func (a *agent) peers(now time.Duration) []plane.Peer { return a.machine.Peers(now) }

func (a *agent) readyToStop(now, stopStart time.Duration) bool {
	wait := now - stopStart
	return wait > agentMinStopTime && (a.machine.Idle() || wait > agentMaxStopTime)
}

// checkTarget checks whether a process listens at the address of the target. An
// agent that restarted alone does not know which flows its target has. If the
// target does not run, it has none.
func (a *agent) checkTarget(ctx context.Context) {
	if targetRefuses(ctx, a.Settings.TargetAddr, a.Log) {
		a.recordNotRunning()
	}
}

// targetRefuses reports whether the VM refuses a connection to the address of the
// target.
func targetRefuses(ctx context.Context, target netip.AddrPort, log *zap.Logger) bool {
	conn, err := (&net.Dialer{Timeout: targetCheckTimeout}).DialContext(ctx, "tcp4", target.String())
	if err == nil {
		if err := conn.Close(); err != nil {
			log.Debug("cannot close the connection to the target", telemetry.Error(err))
		}
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		log.Info("cannot check whether the target runs", telemetry.Error(err))
		return false
	}
	return true
}

func (a *agent) recordNotRunning() {
	a.step("target_check", func(now time.Duration) {
		a.machine.TargetNotRunning(now, &a.out)
		a.flush(now)
	})
}

// targetCheckLoop records the check at the start of the agent, which there is
// unless the whole system starts for the first time, and checks the target when
// the state machine requests it.
func (a *agent) targetCheckLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case refused := <-a.refusedAtStart:
			if refused {
				a.recordNotRunning()
			}
		case <-a.checkRequests:
			a.checkTarget(ctx)
		}
	}
}
