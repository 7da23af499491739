package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/verdict"
)

// countsRuns returns a handler that counts the calls of handler in runs.
func countsRuns(runs *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		handler(w, r)
	}
}

// abortsConnection reads the request and closes the connection without an
// answer.
func abortsConnection(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func shedsRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(verdict.Header, verdict.NotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

func answersLate(http.ResponseWriter, *http.Request) { time.Sleep(testDeadline / 4) }

// hangsUntilCancelled returns a handler that waits until the request is
// cancelled and then sends to cancelled.
func hangsUntilCancelled(cancelled chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		cancelled <- struct{}{}
	}
}

func post(t *testing.T, c *cluster, path string, size int) (int, http.Header, string) {
	t.Helper()
	response, err := c.client().Post(c.url(path), "text/plain", strings.NewReader(strings.Repeat("b", size)))
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Header, string(body)
}

// postUntilGranted repeats a request while it is answered with the status
// ungranted. That status is also correct if no peer grants a slot in time, which
// depends on the speed of the machine.
func postUntilGranted(t *testing.T, c *cluster, path string, size, ungranted int) (int, http.Header, string) {
	t.Helper()
	started := time.Now()
	for {
		status, header, body := post(t, c, path, size)
		if status != ungranted || time.Since(started) > testTimeout {
			return status, header, body
		}
	}
}

// Guards against a wrong verdict (I4), against a second run of a request that
// may not be repeated (I5), and against a refusal without Retry-After.
func TestVerdictsWithoutPeers(t *testing.T) {
	var runs atomic.Int64
	cancelled := make(chan struct{}, 10)
	cases := map[string]struct {
		target  http.HandlerFunc
		down    bool
		path    string
		status  int
		verdict verdict.Verdict
		runs    int64
	}{
		"answer":                 {target: textHandler("ok"), path: "/hold", status: http.StatusOK, verdict: verdict.Ran, runs: 1},
		"late answer":            {target: answersLate, path: "/hold", status: http.StatusOK, verdict: verdict.Ran, runs: 1},
		"target down":            {target: textHandler("ok"), down: true, path: "/hold", status: http.StatusServiceUnavailable, verdict: verdict.NotRun},
		"target sheds":           {target: shedsRequest, path: "/hold", status: http.StatusServiceUnavailable, verdict: verdict.NotRun, runs: 1},
		"exchange breaks":        {target: abortsConnection, path: "/hold", status: http.StatusBadGateway, verdict: verdict.MayHaveRun, runs: 1},
		"target does not answer": {target: hangsUntilCancelled(cancelled), path: "/hold", status: http.StatusGatewayTimeout, verdict: verdict.MayHaveRun, runs: 1},
		"target's own 503":       {target: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, path: "/hold", status: http.StatusServiceUnavailable, verdict: verdict.Ran, runs: 1},
		"target claims a verdict": {target: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(verdict.Header, verdict.MayHaveRun.String())
		}, path: "/hold", status: http.StatusOK, verdict: verdict.MayHaveRun, runs: 1},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			runs.Store(0)
			c := newCluster(t, countsRuns(&runs, k.target))
			if k.down {
				c.agents[0].upstream.Close()
			}
			status, header, _ := post(t, c, k.path, 10)
			assert.Equal(t, status, k.status)
			assert.Equal(t, header.Get(verdict.Header), k.verdict.String())
			assert.Equal(t, runs.Load(), k.runs)
			if k.verdict == verdict.NotRun {
				assert.Assert(t, header.Get(retryAfterHeader) != "")
			}
		})
	}
	assert.Equal(t, len(cancelled), 1, "the request to the target was not cancelled exactly once")
}

// Guards against a request that fails although another target could run it.
func TestRequestsThatDidNotRunAreHandedOver(t *testing.T) {
	body := func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "%s %s %d", r.Method, r.RequestURI, n)
	}
	for name, size := range map[string]int{"small": 10, "over the replay limit": 4 * maxReplayBytes} {
		t.Run("target down, body "+name, func(t *testing.T) {
			c := newCluster(t, textHandler("one"), body)
			c.agents[0].upstream.Close()
			status, header, answer := postUntilGranted(t, c, "/hold?x=1", size, http.StatusServiceUnavailable)
			assert.Equal(t, answer, fmt.Sprintf("POST /hold?x=1 %d", size))
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, header.Get(verdict.Header), verdict.Ran.String())
			for _, link := range runHeaders {
				assert.Equal(t, header.Get(link), "", link)
			}
		})
	}
	t.Run("target sheds", func(t *testing.T) {
		c := newCluster(t, shedsRequest, body)
		status, _, answer := postUntilGranted(t, c, "/hold", 10, http.StatusServiceUnavailable)
		assert.Equal(t, answer, "POST /hold 10")
		assert.Equal(t, status, http.StatusOK)
	})
}

// Guards against a repeatable request that fails when its first target fails,
// and against a second run of a request that may not be repeated.
func TestBrokenExchangeIsRepeatedOnlyIfRepeatable(t *testing.T) {
	var runs, other atomic.Int64
	c := newCluster(t, countsRuns(&runs, abortsConnection), countsRuns(&other, textHandler("two")))
	status, _, answer := postUntilGranted(t, c, "/map", 10, http.StatusBadGateway)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, answer, "two")
	assert.Equal(t, other.Load(), int64(1))
	before := runs.Load() + other.Load()

	status, header, _ := post(t, c, "/hold", 10)
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, header.Get(verdict.Header), verdict.MayHaveRun.String())
	assert.Equal(t, runs.Load()+other.Load(), before+1)
}

// Guards against a repeat after the first byte of an answer, and against a
// truncated answer that looks complete.
func TestAnswerThatBreaksOffIsNotRepeated(t *testing.T) {
	var runs, other atomic.Int64
	c := newCluster(t, countsRuns(&runs, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "start")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}), countsRuns(&other, textHandler("two")))
	// The stream reset may arrive before the start of the answer, so either
	// call may return the error.
	response, err := c.client().Get(c.url("/map"))
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	assert.Assert(t, err != nil, "the truncated answer looks complete")
	assert.Equal(t, runs.Load(), int64(1))
	assert.Equal(t, other.Load(), int64(0))
}

// Guards against a target that continues to work after its caller has cancelled
// the request, and against a slot that is not freed.
func TestCallerThatCancels(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	var runs atomic.Int64
	c := newCluster(t, countsRuns(&runs, hangsUntilCancelled(cancelled)))
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url("/map"), nil)
	assert.NilError(t, err)
	failed := make(chan error, 1)
	client := c.client()
	go func() {
		_, err := client.Do(request)
		failed <- err
	}()
	// The slot is busy before the target receives the request. If the caller
	// cancels in between, the request does not reach the target.
	eventually(t, "a busy slot and a running request", func() bool { return c.agents[0].Status().Busy == 1 && runs.Load() == 1 })
	started := time.Now()
	cancel()
	assert.Assert(t, errors.Is(<-failed, context.Canceled))
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the request to the target was not cancelled")
	}
	assert.Assert(t, time.Since(started) < testDeadline/2, "only the deadline ended the exchange")
	eventually(t, "a free slot", func() bool {
		s := c.agents[0].Status()
		return s.Busy == 0 && s.Requests == 0
	})
}

// Guards against requests that wait at a busy agent while a peer has free slots,
// and against a target that gets more requests than it has slots.
func TestBusyAgentHandsOver(t *testing.T) {
	release := make(chan struct{})
	var peak [2]atomic.Int64
	var running [2]atomic.Int64
	waits := func(i int) http.HandlerFunc {
		return func(http.ResponseWriter, *http.Request) {
			n := running[i].Add(1)
			for old := peak[i].Load(); n > old && !peak[i].CompareAndSwap(old, n); old = peak[i].Load() {
			}
			<-release
			running[i].Add(-1)
		}
	}
	c := newCluster(t, waits(0), waits(1))
	client := c.client()
	results := make(chan int, 4)
	for range cap(results) {
		go func() {
			response, err := client.Get(c.url("/map"))
			if err != nil {
				results <- 0
				return
			}
			results <- response.StatusCode
		}()
	}
	eventually(t, "four requests at two targets", func() bool {
		return running[0].Load() == 2 && running[1].Load() == 2
	})
	close(release)
	for range cap(results) {
		assert.Equal(t, <-results, http.StatusOK)
	}
	assert.Equal(t, peak[0].Load(), int64(2))
	assert.Equal(t, peak[1].Load(), int64(2))
}

// Guards against malformed requests of peers and callers that are not rejected.
func TestFaultyRequests(t *testing.T) {
	var runs atomic.Int64
	c := newCluster(t, countsRuns(&runs, textHandler("ok")))
	a := c.agents[0]
	good := map[string]string{runServiceHeader: "1", runMethodHeader: "GET", runURIHeader: "/map", runGrantHeader: "1", runDeadlineHeader: "100"}
	for header, value := range map[string]string{runServiceHeader: "2", runMethodHeader: "", runURIHeader: "::", runGrantHeader: "x", runDeadlineHeader: "-1"} {
		request, err := http.NewRequest(http.MethodPost, "https://"+runPath, nil)
		assert.NilError(t, err)
		request.URL.Path = runPath
		for name, v := range good {
			request.Header.Set(name, v)
		}
		request.Header.Set(header, value)
		response, err := a.peers.Do(t.Context(), a.view().target.Peer, request)
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusBadRequest, header)
		assert.Equal(t, response.Header.Get(verdict.Header), verdict.NotRun.String())
	}
	request, err := http.NewRequest(http.MethodGet, c.url("/map"), nil)
	assert.NilError(t, err)
	request.Header.Set(deadlineHeader, "soon")
	response, err := c.client().Do(request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
	assert.Equal(t, runs.Load(), int64(0))
	assert.Equal(t, a.metric(`trefoilweir_agent_rejected_input_total{edge="run",reason="grant"}`), uint64(1))
	assert.Equal(t, a.metric(`trefoilweir_agent_rejected_input_total{edge="caller",reason="request"}`), uint64(1))
}

// Guards against a slow upload that is aborted while the caller keeps sending.
func TestAnswerLimitCountsFromTheLastPieceOfTheBody(t *testing.T) {
	c := newCluster(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})
	body, caller := io.Pipe()
	const pieces = 5
	go func() {
		for range pieces {
			time.Sleep(testDeadline / 3)
			_, _ = caller.Write([]byte("x"))
		}
		_ = caller.Close()
	}()
	response, err := c.client().Post(c.url("/hold"), "text/plain", body)
	assert.NilError(t, err)
	answer, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, string(answer), fmt.Sprint(pieces))
}

// Guards against an answer of a target that is mistaken for one of its agent,
// and against an answer of another handler on the peer link that is forwarded to
// a caller.
func TestPeerLinkAnswersAreToldApart(t *testing.T) {
	forges := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(runOutcomeHeader, runFailed)
		w.Header().Set(verdict.Header, verdict.NotRun.String())
		_, _ = io.WriteString(w, "forged")
	}
	c := newCluster(t, forges, forges)
	for range 2 {
		status, header, body := postUntilGranted(t, c, "/hold", 1, http.StatusServiceUnavailable)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "forged")
		assert.Equal(t, header.Get(runOutcomeHeader), "")
		c.agents[0].upstream.Close()
	}
	other := &attempt{peer: true, response: &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}}}
	assert.Equal(t, other.refusalError().Verdict, verdict.NotRun)
}
