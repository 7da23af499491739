package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/ticket"
	"trefoilweir.example/core/verdict"
)

// newTicket requests a ticket from agent 0.
func newTicket(t *testing.T, c *cluster) string {
	t.Helper()
	c.forwarder.routeFirstPackets(c.agents[0].Address())
	response, err := c.client().Post(c.url(ticketPath), "", nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	return string(body)
}

type ticketAnswer struct {
	status  int
	verdict string
	body    string
	header  http.Header
}

// postHold sends a request with the ticket key through an agent.
func (c *cluster) postHold(agent *testAgent, key string) ticketAnswer {
	c.t.Helper()
	c.forwarder.routeFirstPackets(agent.Address())
	request, err := http.NewRequest(http.MethodPost, c.url("/hold"), strings.NewReader("seat 1"))
	assert.NilError(c.t, err)
	request.Header.Set(keyHeader, key)
	response, err := c.client().Do(request)
	assert.NilError(c.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return ticketAnswer{response.StatusCode, response.Header.Get(verdict.Header), string(body), response.Header}
}

// answersRunNumber returns a handler that counts its runs and answers with the
// number of the run, so that a test can recognise a replayed answer.
func answersRunNumber(runs *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Seat", "1")
		fmt.Fprintf(w, "run %d", runs.Add(1))
	}
}

func assertRan(t *testing.T, a ticketAnswer, body string) {
	t.Helper()
	assert.Equal(t, a.status, http.StatusOK, a.body)
	assert.Equal(t, a.body, body)
	assert.Equal(t, a.verdict, verdict.Ran.String())
}

// Guards against a repeated request that runs a second time (I5), through the
// same or another agent, and against a repeat that does not get the answer of
// the first run.
func TestRepeatWithTicketGetsTheKeptAnswer(t *testing.T) {
	var runs atomic.Int64
	c := newCluster(t, answersRunNumber(&runs), answersRunNumber(&runs))
	key := newTicket(t, c)
	first := c.postHold(c.agents[1], key)
	assertRan(t, first, "run 1")
	eventually(t, "a completed ticket", func() bool { return c.agents[1].pendingReports.Load() == 0 })
	for _, a := range c.agents {
		again := c.postHold(a, key)
		assertRan(t, again, "run 1")
		assert.Equal(t, again.header.Get("X-Seat"), "1")
	}
	next := first.header.Get(nextTicketHeader)
	assertRan(t, c.postHold(c.agents[0], next), "run 2")
}

// Guards against a request that runs under a key that is not a ticket of the
// service. No home can decide on such a key.
func TestOtherKeysAreRefused(t *testing.T) {
	var runs atomic.Int64
	c := newCluster(t, answersRunNumber(&runs))
	foreign := c.keys.TicketCodec().Issue(ticket.Ticket{Address: c.agents[0].Address(), Incarnation: 1, Service: testService + 1})
	key := newTicket(t, c)
	for _, faulty := range []string{"mine", foreign, key[:len(key)-2] + "zz"} {
		answer := c.postHold(c.agents[0], faulty)
		assert.Equal(t, answer.status, http.StatusPreconditionRequired)
		assert.Equal(t, answer.verdict, verdict.NotRun.String())
		assert.Assert(t, strings.Contains(answer.header.Get("Link"), ticketPath))
	}
	assert.Equal(t, runs.Load(), int64(0))
}

// Guards against a request that runs after its caller got the verdict not-run. A
// refusal closes the ticket, and a repeat uses the new ticket of the refusal.
func TestRefusalClosesItsTicket(t *testing.T) {
	var runs atomic.Int64
	shedding := atomic.Bool{}
	shedding.Store(true)
	c := newCluster(t, func(w http.ResponseWriter, r *http.Request) {
		if shedding.Load() {
			shedsRequest(w, r)
			return
		}
		answersRunNumber(&runs)(w, r)
	})
	key := newTicket(t, c)
	refused := c.postHold(c.agents[0], key)
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Equal(t, refused.verdict, verdict.NotRun.String())
	shedding.Store(false)
	closed := c.postHold(c.agents[0], key)
	assert.Equal(t, closed.status, http.StatusPreconditionRequired)
	assert.Equal(t, closed.verdict, verdict.NotRun.String())
	assert.Equal(t, closed.body, "ticket closed\n")
	assert.Equal(t, runs.Load(), int64(0))
	assertRan(t, c.postHold(c.agents[0], refused.header.Get(nextTicketHeader)), "run 1")
}

// Guards against the verdict not-run while the home of the ticket does not know
// that the attempt has ended. A repeat could find the attempt running.
func TestRefusalWithoutItsHomeIsNoProof(t *testing.T) {
	var c *cluster
	c = newCluster(t, textHandler("one"), func(w http.ResponseWriter, r *http.Request) {
		c.agents[0].stop()
		shedsRequest(w, r)
	})
	answer := c.postHold(c.agents[1], newTicket(t, c))
	assert.Equal(t, answer.status, http.StatusBadGateway)
	assert.Equal(t, answer.verdict, verdict.MayHaveRun.String())
}

// Guards against a second run after an attempt whose outcome is unknown, and
// against two runs at the same time.
func TestUnknownOutcomeAndConcurrentAttemptsRunOnce(t *testing.T) {
	var runs atomic.Int64
	proceed := make(chan struct{})
	c := newCluster(t, countsRuns(&runs, func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		abortsConnection(w, r)
	}), countsRuns(&runs, textHandler("ok")))
	key := newTicket(t, c)
	first := make(chan ticketAnswer, 1)
	go func() { first <- c.postHold(c.agents[0], key) }()
	eventually(t, "a run", func() bool { return runs.Load() == 1 })
	busy := c.postHold(c.agents[1], key)
	assert.Equal(t, busy.status, http.StatusConflict)
	assert.Equal(t, busy.verdict, verdict.MayHaveRun.String())
	close(proceed)
	broken := <-first
	assert.Equal(t, broken.status, http.StatusBadGateway)
	assert.Equal(t, broken.verdict, verdict.MayHaveRun.String())
	eventually(t, "a reported end", func() bool { return c.agents[0].pendingReports.Load() == 0 })
	again := c.postHold(c.agents[1], key)
	assert.Equal(t, again.status, http.StatusBadGateway)
	assert.Equal(t, again.verdict, verdict.MayHaveRun.String())
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against a run under a ticket whose home no longer exists. Only the home
// knew whether the ticket was used.
func TestHomeGoneOrReplaced(t *testing.T) {
	var runs atomic.Int64
	c := newCluster(t, answersRunNumber(&runs), answersRunNumber(&runs))
	key := newTicket(t, c)
	c.agents[0].stop()
	silent := c.postHold(c.agents[1], key)
	assert.Equal(t, silent.status, http.StatusBadGateway)
	assert.Equal(t, silent.verdict, verdict.MayHaveRun.String())
	assert.Equal(t, silent.body, "ticket home silent\n")
	c.agents[0] = c.startAgent(0, 2, answersRunNumber(&runs))
	eventually(t, "an answer of the new process", func() bool {
		gone := c.postHold(c.agents[1], key)
		assert.Equal(t, gone.verdict, verdict.MayHaveRun.String())
		return gone.body == "ticket home gone\n"
	})
	assert.Equal(t, runs.Load(), int64(0))
}

// Guards against tickets that are lost in a planned stop. Used tickets must not
// run again and unused ones must stay usable, also at an agent that did not
// receive the succession.
func TestPlannedStopHandsTicketsOn(t *testing.T) {
	var runs atomic.Int64
	c := newCluster(t, answersRunNumber(&runs), answersRunNumber(&runs), answersRunNumber(&runs))
	used, unused := newTicket(t, c), newTicket(t, c)
	assertRan(t, c.postHold(c.agents[0], used), "run 1")
	assert.NilError(t, c.agents[0].Drain(t.Context()))
	c.agents[0].stop()
	assert.Equal(t, c.agents[0].eventCount("tickets_lost"), uint64(0))
	late := c.startAgent(0, 2, answersRunNumber(&runs))
	for _, a := range []*testAgent{c.agents[1], c.agents[2], late} {
		assertRan(t, c.postHold(a, used), "run 1")
	}
	assertRan(t, c.postHold(late, unused), "run 2")
	// A repeat gets "busy" until the end of the run is reported to the home.
	eventually(t, "a reported end", func() bool { return late.pendingReports.Load() == 0 })
	assertRan(t, c.postHold(c.agents[1], unused), "run 2")
}

// Guards against a request under a ticket that is aborted when its caller's
// connection is lost. The repeat would then get an unknown outcome.
func TestTicketedRequestOutlivesItsConnection(t *testing.T) {
	var runs atomic.Int64
	entered, proceed := make(chan struct{}, 1), make(chan struct{})
	c := newCluster(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		entered <- struct{}{}
		<-proceed
		answersRunNumber(&runs)(w, r)
	})
	a := c.agents[0]
	key := newTicket(t, c)
	lost := make(chan struct{})
	go func() {
		defer close(lost)
		request, _ := http.NewRequest(http.MethodPost, c.url("/hold"), strings.NewReader("seat 1"))
		request.Header.Set(keyHeader, key)
		if response, err := c.client().Do(request); err == nil {
			response.Body.Close()
			t.Error("the connection was not lost")
		}
	}()
	<-entered
	for _, conn := range a.callers.list() {
		conn.cutOff("test")
	}
	<-lost
	time.Sleep(10 * time.Millisecond)
	close(proceed)
	eventually(t, "the kept answer", func() bool {
		again := c.postHold(a, key)
		return again.status == http.StatusOK && again.body == "run 1"
	})
	assert.Equal(t, runs.Load(), int64(1))
}

// Guards against a target that continues to work on a request under a ticket
// after its caller has cancelled it.
func TestCancelledTicketedRequestIsCancelledAtTheTarget(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	c := newCluster(t, hangsUntilCancelled(cancelled))
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url("/hold"), strings.NewReader("seat 1"))
	assert.NilError(t, err)
	request.Header.Set(keyHeader, newTicket(t, c))
	failed := make(chan error, 1)
	client := c.client()
	go func() {
		_, err := client.Do(request)
		failed <- err
	}()
	eventually(t, "a busy slot", func() bool { return c.agents[0].Status().Busy == 1 })
	started := time.Now()
	cancel()
	assert.ErrorIs(t, <-failed, context.Canceled)
	eventually(t, "a free slot", func() bool { return c.agents[0].Status().Requests == 0 })
	assert.Assert(t, time.Since(started) < testDeadline/2, "only the deadline ended the exchange")
}
