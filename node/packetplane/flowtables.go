package packetplane

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flowtable"
)

// PathFlows is the path on the peer port at which agents exchange flow tables. A PUT
// request sends a table to a keeper. A POST request claims the table of an agent.
const PathFlows = "/flows"

// Parameters of a claim.
const (
	queryAgent = "agent"
	queryRun   = "run"
)

const (
	// handOverTimeout bounds the transfer of tables at the end of a stop. With
	// agentMaxStopTime, a stop takes at most 3.7 s of a grace period of 6 s.
	handOverTimeout = 700 * time.Millisecond
	// handOverMargin is how long before the end of the grace period the transfer
	// ends at the latest.
	handOverMargin = 200 * time.Millisecond
	// sendTimeout bounds one attempt to send a table, so that another keeper gets
	// it within handOverTimeout. A table of 1 MB takes about 140 ms to a data
	// centre with a round trip of 20 ms.
	sendTimeout = 300 * time.Millisecond
	// dialTimeout bounds the connection to a keeper. A lost connection request is
	// repeated by the system after a second only.
	dialTimeout = 100 * time.Millisecond
	// claimTimeout bounds one claim, and with it the time in which a keeper that
	// does not answer is not asked again.
	claimTimeout = 250 * time.Millisecond
	// claimRepeatInterval is the interval at which a keeper that has not answered
	// is told that the agent runs, for claimRepeatTime after the first view.
	claimRepeatInterval = 500 * time.Millisecond
	claimRepeatTime     = 10 * time.Second
	// receiveTimeout bounds the receipt of a table.
	receiveTimeout = time.Second
	// maxTransfers bounds the tables that a keeper receives at the same time, and
	// with it the memory for them. Another one waits for transferWait, because a
	// small table takes a millisecond.
	maxTransfers = 2
	transferWait = 50 * time.Millisecond
	// entryOverhead is more than a message needs beside its table.
	entryOverhead = 4 << 10
	// expireInterval is the interval at which outdated tables are removed.
	expireInterval = time.Second
)

// errNoKeeper is returned if an agent does not answer claims, for example because it
// is of an earlier release.
var errNoKeeper = errors.New("agent does not answer claims")

// flowTables hands the flow table of an agent over its planned restarts, and keeps
// the tables of other agents. core/flowtable describes the protocol.
type flowTables struct {
	*agent
	run    uint64
	client *http.Client
	// firstView is closed when the agent has its first view.
	firstView chan struct{}
	viewSeen  bool

	// restore is the search for the table of the last run, which began at
	// restoreBegan. It is over if restoreEnded is set. claiming has the keepers
	// that are being asked. All are guarded by the lock of the process.
	restore      *flowtable.Restore
	restoreBegan time.Duration
	restoreEnded bool
	claiming     map[netip.Addr]bool
	outcome      RestoreStatus

	// mu guards kept, which is used by requests of other agents.
	mu         sync.Mutex
	kept       *flowtable.Retention
	lastExpire time.Duration
	transfers  chan struct{}
}

// RestoreStatus tells how an agent has started with regard to its flow table.
type RestoreStatus struct {
	// Result is "table", or why there is none, or empty while the agent looks for
	// one.
	Result string `json:"result,omitempty"`
	// Flows is the number of flows in the table, AgeMS the time since its export.
	Flows int   `json:"flows"`
	AgeMS int64 `json:"age_ms"`
	// TookMS is the time from the first view to the result.
	TookMS int64 `json:"took_ms"`
}

// FlowTableStatus is the state of the transfer of flow tables at an agent.
type FlowTableStatus struct {
	Restore RestoreStatus `json:"restore"`
	// Kept is the number of tables that the agent keeps for others, Bytes their
	// size.
	Kept  int `json:"kept"`
	Bytes int `json:"bytes"`
}

func newFlowTables(a *agent, run uint64) *flowTables {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &flowTables{
		agent: a, run: run, firstView: make(chan struct{}), claiming: map[netip.Addr]bool{}, kept: flowtable.NewRetention(), transfers: make(chan struct{}, maxTransfers),
		restore: flowtable.NewRestore(a.Settings.IP, run),
		client:  &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: claimRepeatInterval + time.Second}},
	}
}

// newRun returns the random number of this run of the agent.
func newRun() uint64 { return rand.Uint64() }

func (t *flowTables) count(action, result string) {
	t.Metrics.GetOrCreateCounter(fmt.Sprintf("trefoilweir_flow_tables_total{action=%q,result=%q}", action, result)).Inc()
}

func (t *flowTables) countBytes(direction string, n int) {
	t.Metrics.GetOrCreateCounter(fmt.Sprintf("trefoilweir_flow_table_bytes_total{direction=%q}", direction)).Add(n)
}

// noteView notes the first view. The caller holds the lock of the process.
func (t *flowTables) noteView() {
	if !t.viewSeen && t.view.Usable() {
		t.viewSeen = true
		close(t.firstView)
	}
}

// expire removes outdated tables from time to time.
func (t *flowTables) expire(now time.Duration) {
	if now-t.lastExpire < expireInterval {
		return
	}
	t.lastExpire = now
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept.Expire(now)
}

// size returns the number of kept tables and their size in bytes.
func (t *flowTables) size() (tables, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kept.Size()
}

func (t *flowTables) tableStatus() *FlowTableStatus {
	kept, bytes := t.size()
	return &FlowTableStatus{Restore: t.outcome, Kept: kept, Bytes: bytes}
}

// keepers returns the agents that may keep the table of an agent, except this one.
// The caller holds the lock of the process.
func (t *flowTables) keepers(owner netip.Addr) []netip.Addr {
	dataCentre := t.Settings.DataCentre
	if target := t.view.TargetAt(owner); target != nil && owner != t.Settings.IP {
		dataCentre = target.DataCentre
	}
	var keepers []netip.Addr
	for _, a := range flowtable.Keepers(flowtable.Members(t.view, t.now()), fleet.Member{VM: owner, DataCentre: dataCentre}) {
		if a != t.Settings.IP {
			keepers = append(keepers, a)
		}
	}
	return keepers
}

func (t *flowTables) url(keeper netip.Addr) string {
	return "http://" + netip.AddrPortFrom(keeper, t.Settings.PeerPort).String() + PathFlows
}
