package admission

import "time"

// Machine is the state of one agent's admission. It is not safe for
// concurrent use.
type Machine struct{ limits Limits }

// New returns the machine of an agent. The seed breaks ties between peers.
func New(limits Limits, peers []Peer, seed uint64) *Machine {
	return &Machine{limits: limits}
}

// Step applies one event at the time now, and returns the actions it leads
// to, in order. now never decreases.
func (m *Machine) Step(now time.Duration, ev Event) []Action { return nil }

// Load returns what the agent reports of itself.
func (m *Machine) Load() Load { return Load{} }
