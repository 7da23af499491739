package packetplane

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/flowtable"
	"trefoilweir.example/core/ownership"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/node/fleetsync"
	"trefoilweir.example/node/telemetry"
)

// tableAgents is a fleet of agents on loopback addresses that exchange flow tables.
type tableAgents struct {
	*testing.T
	port  uint16
	delta fleet.Delta
}

func agentIP(n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, 10 + n}) }

func newTableAgents(t *testing.T, count byte) *tableAgents {
	free, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &tableAgents{T: t, port: netip.MustParseAddrPort(free.Addr().String()).Port(), delta: fleet.Delta{Revision: 100, ConfigRevision: 1,
		Config: &fleet.Config{Version: 1, Routes: []fleet.Route{{Name: "r", Address: fleettest.Address, Service: fleettest.Service}}}}}
	assert.NilError(t, free.Close())
	for n := range count {
		target := fleettest.Target(n, fleet.Ready)
		target.Address = netip.AddrPortFrom(agentIP(n), 80)
		f.delta.Changes = append(f.delta.Changes, fleet.Change{ID: target.ID, Revision: uint64(2 + n), Target: target})
	}
	return f
}

// newAgent returns agent n, which reads a platform if source is not nil.
func (f *tableAgents) newAgent(n byte, run uint64, source fleetsync.Source) *agent {
	s := &plane.Settings{IP: agentIP(n), DataCentre: fleettest.DataCentre, Service: fleettest.Service, TargetAddr: netip.AddrPortFrom(agentIP(n), 80), PeerPort: f.port, StopGrace: 6 * time.Second}
	p, err := newProcess(Options{Settings: s, Source: source, Log: zap.NewNop(), Metrics: telemetry.NewMetrics()}, "agent")
	assert.NilError(f, err)
	a := &agent{Process: p, machine: ownership.New(0, ownership.Options{Self: s.IP, DataCentre: s.DataCentre, Service: s.Service, Target: s.TargetAddr, Run: run, AwaitTable: true,
		Codec: flowtest.Codec{}, View: p.view})}
	a.tables = newFlowTables(a, run)
	p.role, p.callerConn = a, p.peerConn
	return a
}

// start starts agent n with a view. It serves the other agents until end is called.
func (f *tableAgents) start(n byte, run uint64) (a *agent, end func()) {
	a = f.newAgent(n, run, nil)
	p, s := a.Process, a.Settings
	p.mu.Lock()
	p.view.Apply(p.now(), &f.delta)
	a.machine.Tick(p.now(), &p.out)
	a.onViewChange(p.now())
	p.mu.Unlock()
	mux := http.NewServeMux()
	mux.Handle(PathFlows, a.tables)
	mux.Handle(fleetsync.PathFleet, p.sync)
	ctx, cancel := context.WithCancel(f.Context())
	ended := make(chan error, 2)
	go func() { ended <- serveHTTP(netip.AddrPortFrom(s.IP, f.port), mux)(ctx) }()
	f.waitForServer(s.IP)
	go func() { ended <- a.tables.restoreLoop(ctx) }()
	end = func() {
		cancel()
		<-ended
		<-ended
		_ = p.peerConn.Close()
	}
	f.Cleanup(cancel)
	return a, end
}

func (f *tableAgents) waitForServer(ip netip.Addr) {
	for range 100 {
		if conn, err := net.Dial("tcp4", netip.AddrPortFrom(ip, f.port).String()); err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.Fatal("agent does not listen")
}

func (f *tableAgents) waitForRestore(a *agent) RestoreStatus {
	for range 300 {
		a.mu.Lock()
		outcome := a.tables.outcome
		a.mu.Unlock()
		if outcome.Result != "" {
			return outcome
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.Fatal("search for the table does not end")
	return RestoreStatus{}
}

// openFlow makes the target of an agent hold a flow.
func (a *agent) openFlow(port uint16) {
	a.step("test", func(now time.Duration) {
		a.machine.EndRestore(now, "test", &a.out)
		open := flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100}
		a.machine.FromPeer(now, agentIP(100), &relay.Message{Kind: relay.Place, Service: relay.ServiceTag(fleettest.Service), Body: flowtest.Encode(open)}, &a.out)
		a.machine.FromTarget(now, flowtest.Encode(flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 5000, Ack: 101}), &a.out)
		a.out.Clear()
	})
}

func (a *agent) kept() int {
	kept, _ := a.tables.size()
	return kept
}

func (a *agent) counted(action, result string) uint64 {
	return a.Metrics.GetOrCreateCounter(fmt.Sprintf("trefoilweir_flow_tables_total{action=%q,result=%q}", action, result)).Get()
}

// Guards against a planned restart after which an agent does not know its flows,
// and against a table that a second run uses.
func TestFlowTableIsHandedOver(t *testing.T) {
	f := newTableAgents(t, 4)
	var keepers []*agent
	for n := byte(1); n < 4; n++ {
		a, _ := f.start(n, uint64(n))
		f.waitForRestore(a)
		keepers = append(keepers, a)
	}
	a, end := f.start(0, 10)
	assert.Equal(t, f.waitForRestore(a).Result, "no_table")
	a.openFlow(1)
	a.tables.handOver(t.Context())
	a.step("test", func(time.Duration) { t.Error("agent decides after it has handed over its table") })
	end()
	kept := 0
	for _, k := range keepers {
		kept += k.kept()
	}
	assert.Equal(t, kept, flowtable.Copies)

	a, end = f.start(0, 11)
	outcome := f.waitForRestore(a)
	assert.Equal(t, outcome.Result, "table")
	assert.Equal(t, outcome.Flows, 1)
	assert.Equal(t, a.machine.Flows(), 1)
	end() // As if it was killed.
	a, _ = f.start(0, 12)
	assert.Equal(t, f.waitForRestore(a).Result, "no_table")
}

// Guards against the loss of a table whose keepers stop one after the other, and
// against a stopping agent that takes tables.
func TestKeptTableIsPassedOn(t *testing.T) {
	f := newTableAgents(t, 5)
	agents := map[netip.Addr]*agent{}
	ends := map[netip.Addr]func(){}
	for n := range byte(5) {
		agents[agentIP(n)], ends[agentIP(n)] = f.start(n, uint64(n+1))
	}
	for _, a := range agents {
		f.waitForRestore(a)
	}
	owner := agents[agentIP(0)]
	keepers := owner.tables.keepers(agentIP(0))
	agents[keepers[0]].mu.Lock()
	agents[keepers[0]].stopping = true
	agents[keepers[0]].mu.Unlock()
	owner.openFlow(1)
	owner.tables.handOver(t.Context())
	ends[agentIP(0)]()
	assert.Equal(t, agents[keepers[0]].counted("keep", "stopping"), uint64(1))
	assert.Equal(t, agents[keepers[1]].kept()+agents[keepers[2]].kept(), 2)
	for _, keeper := range keepers[:3] {
		agents[keeper].tables.handOver(t.Context())
		ends[keeper]()
	}
	assert.Equal(t, agents[keepers[3]].kept(), 4) // Of the owner and of the three others.
	a, _ := f.start(0, 10)
	assert.Equal(t, f.waitForRestore(a).Result, "table")
}

// Guards against a stop that takes longer than the grace period, and a start that
// waits for long, because keepers accept connections and do not answer.
func TestKeepersThatDoNotAnswer(t *testing.T) {
	f := newTableAgents(t, 3)
	for n := byte(1); n < 3; n++ {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(agentIP(n), f.port).String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
	}
	a, end := f.start(0, 10)
	outcome := f.waitForRestore(a)
	assert.Equal(t, outcome.Result, "no_table")
	assert.Assert(t, outcome.TookMS >= flowtable.RestoreTimeout.Milliseconds())
	began := time.Now()
	a.tables.handOver(t.Context())
	assert.Assert(t, time.Since(began) < 3*handOverTimeout, "took %v", time.Since(began))
	end()
	// A grace period that is nearly over bounds the transfer further.
	a, _ = f.start(0, 11)
	a.Settings.StopGrace = handOverMargin
	began = time.Now()
	a.tables.handOver(t.Context())
	assert.Assert(t, time.Since(began) < handOverTimeout, "took %v", time.Since(began))
}

// Guards against a transfer that was cut off and counts as a table, and against a
// sender that occupies the keeper.
func TestTransferIsCutOff(t *testing.T) {
	f := newTableAgents(t, 2)
	a, _ := f.start(1, 1)
	table, err := (&flowtable.Table{Agent: agentIP(0), Run: 5, Target: netip.AddrPortFrom(agentIP(0), 80)}).Encode()
	assert.NilError(t, err)
	body := (&flowtable.Entry{Table: table}).Encode()
	for _, sent := range []int{0, 1, len(body) - 1} {
		conn, err := net.Dial("tcp4", netip.AddrPortFrom(agentIP(1), f.port).String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", PathFlows, len(body), body[:sent])
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
	for range 300 {
		if a.counted("keep", "cut_off") == 3 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, a.counted("keep", "cut_off"), uint64(3))
	assert.Equal(t, a.kept(), 0)
	assert.Equal(t, len(a.tables.transfers), 0)
	assert.Assert(t, a.tables.put(t.Context(), agentIP(1), body[:len(body)-1]) != nil)
	assert.NilError(t, a.tables.put(t.Context(), agentIP(1), body))
	assert.Equal(t, a.kept(), 1)
}

// Guards against an agent that waits for keepers of an earlier release, or that
// fails to stop because of them.
func TestKeepersOfAnEarlierRelease(t *testing.T) {
	f := newTableAgents(t, 3)
	for n := byte(1); n < 3; n++ {
		go func() { _ = serveHTTP(netip.AddrPortFrom(agentIP(n), f.port), http.NotFoundHandler())(t.Context()) }()
		f.waitForServer(agentIP(n))
	}
	a, _ := f.start(0, 10)
	assert.Equal(t, f.waitForRestore(a).Result, "no_table")
	assert.Equal(t, a.counted("claim", "failed"), uint64(0))
	a.tables.handOver(t.Context())
	assert.Equal(t, a.counted("send", "failed"), uint64(2))
}
