package packetplane

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flowtable"
	"trefoilweir.example/node/telemetry"
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

// handOver ends the forwarding of packets and sends the agent's table, and those of
// agents that are down, to their keepers. It returns in time for the process to end
// within its grace period.
func (t *flowTables) handOver(ctx context.Context) {
	own, tables, timeout := t.export()
	if len(tables) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := t.now()
	var sends sync.WaitGroup
	for _, table := range tables {
		sends.Go(func() { t.sendTable(ctx, table, began) })
	}
	sends.Wait()
	t.Log.Info("flow tables handed over", zap.Int("flows", own), zap.Int("tables", len(tables)), zap.Duration("took", t.now()-began))
}

// exportedTable is a table to send, with its keepers.
type exportedTable struct {
	flowtable.KeptEntry
	keepers []netip.Addr
}

// export makes the process forward no further packets, and returns the tables to
// send, the number of flows in its own one, and the time that the transfer may
// take.
func (t *flowTables) export() (flows int, tables []exportedTable, timeout time.Duration) {
	t.agent.Process.mu.Lock()
	defer t.agent.Process.mu.Unlock()
	now := t.now()
	t.halted = true
	timeout = min(handOverTimeout, t.Settings.StopGrace-handOverMargin-(now-t.stopStart))
	own := t.machine.ExportTable(now)
	own.EarlierRuns = t.restore.EarlierRuns()
	t.mu.Lock()
	entries := t.kept.Close(now)
	t.mu.Unlock()
	if raw, err := own.Encode(); err != nil {
		t.count("send", "too_large")
		t.Log.Error("cannot encode the flow table; the next run starts without it", zap.Int("flows", len(own.Flows)), telemetry.Error(err))
	} else {
		entries = append(entries, flowtable.KeptEntry{Agent: t.Settings.IP, Entry: flowtable.Entry{Table: raw}})
	}
	for _, e := range entries {
		tables = append(tables, exportedTable{e, t.keepers(e.Agent)})
	}
	return len(own.Flows), tables, timeout
}

// sendTable sends a table to the first keepers that take it.
func (t *flowTables) sendTable(ctx context.Context, table exportedTable, exportedAt time.Duration) {
	next := make(chan netip.Addr, len(table.keepers))
	for _, keeper := range table.keepers {
		next <- keeper
	}
	close(next)
	var copies sync.WaitGroup
	for range flowtable.Copies {
		copies.Go(func() {
			for keeper := range next {
				entry := flowtable.Entry{Age: table.Age + t.now() - exportedAt, Table: table.Table}
				err := t.put(ctx, keeper, entry.Encode())
				if err == nil {
					t.count("send", "sent")
					t.Log.Info("flow table sent", telemetry.Peer(keeper.String()), zap.Stringer("agent", table.Agent), zap.Int("bytes", len(table.Table)), zap.Duration("took", t.now()-exportedAt))
					return
				}
				t.count("send", "failed")
				t.Log.Info("keeper does not take the flow table", telemetry.Peer(keeper.String()), zap.Stringer("agent", table.Agent), telemetry.Error(err))
				if ctx.Err() != nil {
					return
				}
			}
		})
	}
	copies.Wait()
}

func (t *flowTables) put(ctx context.Context, keeper netip.Addr, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, t.url(keeper), bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		reason, err := io.ReadAll(io.LimitReader(response.Body, entryOverhead))
		return trace.Errorf("status %d: %s (%v)", response.StatusCode, bytes.TrimSpace(reason), err)
	}
	t.countBytes("sent", len(body))
	return nil
}

func (t *flowTables) url(keeper netip.Addr) string {
	return "http://" + netip.AddrPortFrom(keeper, t.Settings.PeerPort).String() + PathFlows
}

// restoreLoop looks for the table of the last run once the agent has a view. Then it
// tells the keepers that have not answered that the agent runs, so that no later
// run uses a table from before this one.
func (t *flowTables) restoreLoop(ctx context.Context) error {
	if !t.Settings.FirstStart {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.firstView:
		}
		for pause := t.claimAll(ctx); pause > 0; pause = t.claimAll(ctx) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pause):
			}
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// claimAll begins to ask the keepers that are due, and returns the time until they
// are asked again, or 0 after claimRepeatTime.
func (t *flowTables) claimAll(ctx context.Context) (pause time.Duration) {
	t.step("flow_tables", func(now time.Duration) {
		if t.restoreBegan == 0 {
			t.restoreBegan = now
		}
		t.checkRestore(now)
		if now-t.restoreBegan > claimRepeatTime {
			return
		}
		for _, keeper := range t.keepers(t.Settings.IP) {
			if t.claiming[keeper] || t.restoreEnded && t.restore.Answered(keeper) {
				continue
			}
			t.claiming[keeper] = true
			t.restore.Ask(keeper)
			go t.claim(ctx, keeper)
		}
		if pause = flowtable.AttemptInterval; t.restoreEnded {
			pause = claimRepeatInterval
		}
	})
	return pause
}

// claim asks one keeper for the table.
func (t *flowTables) claim(ctx context.Context, keeper netip.Addr) {
	body, err := t.post(ctx, keeper)
	t.step("flow_tables", func(now time.Duration) {
		delete(t.claiming, keeper)
		var answer *flowtable.Answer
		if err == nil {
			if answer, err = flowtable.DecodeAnswer(body); err == nil {
				err = t.restore.Record(now, keeper, answer)
			}
		}
		switch {
		case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, errNoKeeper):
			t.count("claim", "refused")
			t.restore.Refused(keeper)
		case err != nil:
			t.count("claim", "failed")
			t.Log.Debug("keeper does not answer a claim", telemetry.Peer(keeper.String()), telemetry.Error(err))
		case answer.Table == nil:
			t.count("claim", "none")
		default:
			t.count("claim", "table")
			t.Log.Info("flow table received", telemetry.Peer(keeper.String()), zap.Int("bytes", len(answer.Table)), zap.Int64("age_ms", answer.Age.Milliseconds()))
		}
		t.checkRestore(now)
	})
}

// checkRestore ends the search for the table when it is over. The caller holds the
// lock of the process.
func (t *flowTables) checkRestore(now time.Duration) {
	if t.restoreEnded || !t.restore.Done(now, t.restoreBegan) {
		return
	}
	t.restoreEnded = true
	table, age, reason := t.restore.Table(now)
	if table == nil {
		t.machine.EndRestore(now, reason, &t.out)
	} else if reason = t.machine.ImportTable(now, table, age, &t.out); reason == "" {
		reason = "table"
	}
	t.flush(now)
	t.outcome = RestoreStatus{Result: reason, TookMS: (now - t.restoreBegan).Milliseconds()}
	if table != nil {
		t.outcome.Flows, t.outcome.AgeMS = len(table.Flows), age.Milliseconds()
	}
	t.count("restore", reason)
	t.Log.Info("search for the flow table of the last run ended", telemetry.Reason(reason), zap.Int("flows", t.outcome.Flows), zap.Int64("age_ms", t.outcome.AgeMS),
		zap.Int64("took_ms", t.outcome.TookMS), zap.Int("earlier_runs", len(t.restore.EarlierRuns())))
}

func (t *flowTables) post(ctx context.Context, keeper netip.Addr) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	url := fmt.Sprintf("%s?%s=%s&%s=%d", t.url(keeper), queryAgent, t.Settings.IP, queryRun, t.run)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errNoKeeper
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, flowtable.MaxTableBytes+entryOverhead))
	return body, trace.Wrap(err)
}

// ServeHTTP serves the keeper's side of the transfer.
func (t *flowTables) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut:
		t.serveTable(w, r)
	case http.MethodPost:
		t.serveClaim(w, r)
	default:
		w.Header().Set("Allow", "PUT, POST")
		http.Error(w, "method is not supported", http.StatusMethodNotAllowed)
	}
}

// serveTable receives a table to keep. A stopping agent takes none.
func (t *flowTables) serveTable(w http.ResponseWriter, r *http.Request) {
	select {
	case t.transfers <- struct{}{}:
		defer func() { <-t.transfers }()
	case <-time.After(transferWait):
		t.count("keep", "busy")
		http.Error(w, "too many transfers", http.StatusServiceUnavailable)
		return
	}
	if t.isStopping() {
		t.count("keep", "stopping")
		http.Error(w, flowtable.ErrClosed.Error(), http.StatusServiceUnavailable)
		return
	}
	// A sender that has vanished must not occupy a transfer.
	err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(receiveTimeout))
	var body []byte
	if err == nil {
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, flowtable.MaxTableBytes+entryOverhead))
	}
	if err != nil {
		t.count("keep", "cut_off")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.countBytes("received", len(body))
	entry, err := flowtable.DecodeEntry(body)
	if err == nil {
		t.mu.Lock()
		err = t.kept.Put(t.now(), entry)
		t.mu.Unlock()
	}
	result, status := "kept", http.StatusNoContent
	switch {
	case err == nil:
	case errors.Is(err, flowtable.ErrClosed):
		result, status = "stopping", http.StatusServiceUnavailable
	case errors.Is(err, flowtable.ErrFull):
		result, status = "full", http.StatusInsufficientStorage
	case errors.Is(err, flowtable.ErrOutdated):
		result, status = "outdated", http.StatusConflict
	default:
		result, status = "invalid", http.StatusBadRequest
	}
	t.count("keep", result)
	t.Log.Debug("flow table offered", telemetry.Peer(r.RemoteAddr), telemetry.Reason(result), zap.Int("bytes", len(body)))
	if err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	w.WriteHeader(status)
}

func (t *flowTables) isStopping() bool {
	t.agent.Process.mu.Lock()
	defer t.agent.Process.mu.Unlock()
	return t.stopping
}

// serveClaim answers a claim with the table, if there is one.
func (t *flowTables) serveClaim(w http.ResponseWriter, r *http.Request) {
	agent, err := netip.ParseAddr(r.URL.Query().Get(queryAgent))
	if err != nil || !agent.Is4() {
		http.Error(w, queryAgent+" is not an address", http.StatusBadRequest)
		return
	}
	run, err := strconv.ParseUint(r.URL.Query().Get(queryRun), 10, 64)
	if err != nil {
		http.Error(w, queryRun+" is not a number", http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	answer := t.kept.Claim(t.now(), agent, run)
	t.mu.Unlock()
	if answer.Table != nil {
		t.count("give", "table")
		t.Log.Info("flow table given to its agent", zap.Stringer("agent", agent), zap.Int("bytes", len(answer.Table)), zap.Int64("age_ms", answer.Age.Milliseconds()))
	}
	if _, err := w.Write(answer.Encode()); err != nil {
		t.Log.Debug("cannot send an answer to a claim", telemetry.Error(err))
	}
}
