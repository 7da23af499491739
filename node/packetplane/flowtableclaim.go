package packetplane

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/core/flowtable"
	"trefoilweir.example/node/telemetry"
)

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
