package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/admission"
)

// scriptedMachine records its events.
type scriptedMachine struct{ events []admission.Event }

func (m *scriptedMachine) Step(_ time.Duration, ev admission.Event) []admission.Action {
	m.events = append(m.events, ev)
	return nil
}

func (m *scriptedMachine) Load() admission.Load { return admission.Load{} }

// Guards against decisions on a view that is as old as a pause of the process.
func TestPauseRefreshesBeforeTheNextDecision(t *testing.T) {
	m := &scriptedMachine{}
	g := newGate()
	now := time.Duration(0)
	g.now = func() time.Duration { return now }
	g.current = m
	g.resumed = func() []gateInput { return []gateInput{{event: admission.Reconfigure{}}} }
	now = admission.PauseLimit / 2
	g.checkPause()
	assert.Equal(t, len(m.events), 0)
	now += admission.PauseLimit + time.Millisecond
	g.checkPause()
	g.handle(gateInput{event: admission.Arrive{ID: 1}, arrival: &request{}})
	assert.Equal(t, len(m.events), 2)
	assert.DeepEqual(t, m.events[0], admission.Event(admission.Reconfigure{}))
}
