package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/verdict"
)

// tickerOrText returns a handler that streams events under /ticker. It counts
// all other requests in others and answers them with text.
func tickerOrText(events <-chan string, others *atomic.Int64, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ticker" {
			w.(http.Flusher).Flush()
			writeEvents(w, r, events)
			return
		}
		others.Add(1)
		_, _ = io.WriteString(w, text)
	}
}

func (a *testAgent) startDrain(t *testing.T) <-chan error {
	drained := make(chan error, 1)
	go func() { drained <- a.Drain(t.Context()) }()
	eventually(t, "draining", func() bool { return a.Status().Draining && a.load.current().Draining })
	return drained
}

// Guards against a drain that breaks an open ticker (I1, I7), that starts new
// requests on its target (I6), or that returns before the last request has
// ended.
func TestDrainKeepsTickersAndHandsOverNewRequests(t *testing.T) {
	events := make(chan string)
	var one, two atomic.Int64
	c := newCluster(t, tickerOrText(events, &one, "one"), tickerOrText(nil, &two, "two"))
	a, client := c.agents[0], c.client()
	ticker, err := client.Get(c.url("/ticker"))
	assert.NilError(t, err)
	drained := a.startDrain(t)
	deadline := time.Now().Add(goAwaySpread + 500*time.Millisecond)
	sent := int64(0)
	for ; time.Now().Before(deadline); sent++ {
		event := fmt.Sprintf("event %d\n", sent)
		events <- event
		got := make([]byte, len(event))
		_, err := io.ReadFull(ticker.Body, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), event)
		status, body := get(t, client, c.url("/map"))
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "two")
	}
	assert.Equal(t, one.Load(), int64(0), "new requests on a draining target")
	assert.Equal(t, two.Load(), sent)
	select {
	case <-drained:
		t.Fatal("the drain ended before the ticker")
	default:
	}
	close(events)
	_, err = io.ReadAll(ticker.Body)
	assert.NilError(t, err)
	assert.NilError(t, <-drained)
	assert.Equal(t, a.Status().Connections, int64(0))
}

// Guards against a drain that waits for connections without requests, and
// against callers that detect the end of the agent only by a timeout.
func TestDrainClosesIdleConnections(t *testing.T) {
	c := newCluster(t, textHandler("one"), textHandler("two"))
	client := c.client()
	_, body := get(t, client, c.url("/map"))
	assert.Equal(t, body, "one")
	select {
	case err := <-c.agents[0].startDrain(t):
		assert.NilError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("the drain did not end")
	}
	_, body = get(t, client, c.url("/map"))
	assert.Equal(t, body, "two")
}

// Guards against a drain limit that has no effect or whose cut-off requests are
// not counted.
func TestDrainLimitCutsAndCounts(t *testing.T) {
	target := tickerOrText(make(chan string), new(atomic.Int64), "")
	c := newCluster(t, target)
	c.agents[0].stop()
	c.drainLimitMS = 100
	a := c.startAgent(0, 2, target)
	ticker, err := c.client().Get(c.url("/ticker"))
	assert.NilError(t, err)
	assert.NilError(t, a.Drain(t.Context()))
	_, err = io.ReadAll(ticker.Body)
	assert.Assert(t, err != nil, "the truncated ticker looks complete")
	assert.Equal(t, a.metric("trefoilweir_agent_drain_cut_requests_total"), uint64(1))
}

// Guards against a leaving VM that accepts new requests, against a wrong verdict
// when no other agent can accept them, and against a drain that ignores its
// context.
func TestLeavingVMDrainsAndRefusesTruthfully(t *testing.T) {
	var runs atomic.Int64
	c := newCluster(t, countsRuns(&runs, textHandler("one")))
	a, client := c.agents[0], c.client()
	_, _ = get(t, client, c.url("/map"))
	c.source.mu.Lock()
	leaving := config.VM{Name: "booking-1", Role: config.RoleAgent, State: config.VMLeaving, DatagramAddress: a.Address()}
	c.source.vms = append([]config.VM{leaving}, c.source.vms...)
	c.source.mu.Unlock()
	eventually(t, "draining", func() bool { return a.load.current().Draining })
	response, err := client.Get(c.url("/map"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(verdict.Header), verdict.NotRun.String())
	assert.Equal(t, runs.Load(), int64(1))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := a.Drain(ctx); err != nil {
		assert.ErrorIs(t, err, context.Canceled)
	}
}
