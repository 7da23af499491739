package agent

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/admission"
)

// recordingMachine is a machine that records its events and decides nothing.
type recordingMachine struct{ events []admission.Event }

func (m *recordingMachine) Step(_ time.Duration, ev admission.Event) []admission.Action {
	m.events = append(m.events, ev)
	return nil
}

func (m *recordingMachine) Load() admission.Load { return admission.Load{} }

// Guards against decisions on an outdated view after a pause of the process.
func TestPauseRefreshesBeforeTheNextDecision(t *testing.T) {
	m := &recordingMachine{}
	g := newGate()
	now := time.Duration(0)
	g.now = func() time.Duration { return now }
	g.current = m
	g.onResume = func() []gateInput { return []gateInput{{event: admission.Reconfigure{}}} }
	now = admission.PauseGap / 2
	g.checkPause()
	assert.Equal(t, len(m.events), 0)
	now += admission.PauseGap + time.Millisecond
	g.checkPause()
	g.handle(gateInput{event: admission.Arrive{ID: 1}, arrival: &request{}})
	assert.Equal(t, len(m.events), 2)
	assert.DeepEqual(t, m.events[0], admission.Event(admission.Reconfigure{}))
}

// Guards against a panic in admission that terminates the agent or leaves
// requests unanswered.
func TestPanicInAdmissionIsContained(t *testing.T) {
	events := make(chan string)
	c := newCluster(t, tickerOrText(events, new(atomic.Int64), "ok"))
	a, client := c.agents[0], c.client()
	ticker, err := client.Get(c.url("/ticker"))
	assert.NilError(t, err)
	// An Arrive event without its request makes the gate panic.
	assert.Assert(t, a.gate.post(gateInput{event: admission.Arrive{ID: 1 << 60}}))
	eventually(t, "a counted panic", func() bool {
		return a.metric(`trefoilweir_agent_panics_total{part="admission"}`) > 0
	})
	status, body := get(t, client, c.url("/map"))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "ok")
	close(events)
	_, err = io.ReadAll(ticker.Body)
	assert.NilError(t, err)
	eventually(t, "no open request", func() bool { return a.Status().Requests == 0 })
}
