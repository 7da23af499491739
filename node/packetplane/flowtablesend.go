package packetplane

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/core/flowtable"
	"trefoilweir.example/node/telemetry"
)

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
