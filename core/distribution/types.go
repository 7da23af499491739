// Package distribution decides how a process learns of configurations and
// which one it uses. It has no I/O: events go in, actions come out, and time
// and seed are parameters.
//
// Invariants:
//   - A Machine never adopts a head that is not above the current one in the
//     order of config.CompareHeads.
//   - A head that was found to be not valid is not fetched again.
//   - Ready is emitted once, after the first Adopt.
//   - At most one Poll and one Fetch are in progress.
package distribution

import (
	"time"

	"trefoilweir.example/core/config"
)

// Times and sizes of the protocol.
const (
	// Readers is how many processes of a data centre watch the platform. Two
	// may fail together without delay to the others.
	Readers = 3
	// FanOut is how many children a process of the tree has on average.
	FanOut = 8
	// StartPeers is how many peers a starting process asks.
	StartPeers = 3
	// StartWait is how long a starting process waits for peers.
	StartWait = 2 * time.Second
	// ExchangeEvery is the time between version exchanges of a process.
	ExchangeEvery = 5 * time.Second
	// PauseGap is the gap between ticks that is taken for a pause of the
	// process.
	PauseGap = time.Second
	// TickEvery is how often a process sends Tick.
	TickEvery = 250 * time.Millisecond
	// orphanAfter is how long polls may fail before a process that is not a
	// reader asks the platform.
	orphanAfter = 10 * time.Second
	// orphanPerVM spaces these questions out with the size of the fleet, so
	// that a fleet of 14,000 orphans makes 100 calls per second.
	orphanPerVM = 10 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failed poll. The upper
	// bound is the time in which a change has to be active once the platform
	// is back.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// minPoll is the least time between polls that bring nothing new, after
	// freePolls of them in a row. A few are ordinary: the change was learned
	// elsewhere at the same time, or the list of VMs changed.
	minPoll   = time.Second
	freePolls = 3
	// maxRejected bounds the memory for heads that are not valid.
	maxRejected = 64
	// maxCandidates bounds the memory for heads that could be fetched.
	maxCandidates = 8
)

// Origin is where a configuration can be fetched: the platform, or the VM of
// a peer by name.
type Origin string

// Platform is the configuration service.
const Platform Origin = ""

// String returns the name of the peer, or "platform".
func (o Origin) String() string {
	if o == Platform {
		return "platform"
	}
	return string(o)
}

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Events.
type (
	// Start begins the start-up phase. It is the first event.
	Start struct{}
	// VMList brings a new list of VMs. The list must not change afterwards.
	VMList struct{ VMs []config.VM }
	// Polled is the answer to the Poll with the same ID: what From has now.
	Polled struct {
		ID   uint64
		From Origin
		Head config.Head
	}
	// PollFailed says that the Poll with the same ID got no answer.
	PollFailed struct {
		ID   uint64
		From Origin
	}
	// Asked is the answer to an Ask. A peer without a configuration answers
	// with the zero Head.
	Asked struct {
		From Origin
		Head config.Head
	}
	// AskFailed says that an Ask got no answer.
	AskFailed struct{ From Origin }
	// Told says that a peer named its head when it asked for ours.
	Told struct {
		From Origin
		Head config.Head
	}
	// Fetched says that a configuration is there and valid. Head may be above
	// the one of the Fetch, if From has moved on.
	Fetched struct {
		From Origin
		Head config.Head
	}
	// FetchFailed says that a configuration could not be fetched.
	FetchFailed struct {
		From Origin
		Head config.Head
	}
	// Invalid says that a configuration was fetched and is not valid.
	Invalid struct {
		From Origin
		Head config.Head
	}
	// Tick passes time. It is sent every TickEvery.
	Tick struct{}
)

func (Start) isEvent()       {}
func (VMList) isEvent()      {}
func (Polled) isEvent()      {}
func (PollFailed) isEvent()  {}
func (Asked) isEvent()       {}
func (AskFailed) isEvent()   {}
func (Told) isEvent()        {}
func (Fetched) isEvent()     {}
func (FetchFailed) isEvent() {}
func (Invalid) isEvent()     {}
func (Tick) isEvent()        {}

// Action is an output of a Machine.
type Action interface{ isAction() }

// Actions.
type (
	// Poll asks From to answer when it has something above Have, or after a
	// while. It replaces the Poll before it, whose answer is ignored.
	Poll struct {
		ID   uint64
		From Origin
		Have config.Head
	}
	// Ask asks Of for its head at once and tells a peer ours. An Ask of the
	// platform asks for the list of VMs too.
	Ask struct {
		Of   Origin
		Have config.Head
	}
	// Fetch gets the configuration of a head and validates it.
	Fetch struct {
		From Origin
		Head config.Head
	}
	// Adopt puts a fetched configuration in force.
	Adopt struct{ Head config.Head }
	// Ready ends the start-up phase: the process may serve.
	Ready struct{}
	// Alarm reports something that operators should know.
	Alarm struct {
		Kind AlarmKind
		From Origin
		Head config.Head
	}
)

func (Poll) isAction()  {}
func (Ask) isAction()   {}
func (Fetch) isAction() {}
func (Adopt) isAction() {}
func (Ready) isAction() {}
func (Alarm) isAction() {}

// AlarmKind is a stable key for logs and metrics.
type AlarmKind string

// The kinds of alarms.
const (
	// AlarmConflict says that two contents are published under one version.
	AlarmConflict AlarmKind = "version_conflict"
	// AlarmInvalid says that a published configuration is not valid.
	AlarmInvalid AlarmKind = "invalid_configuration"
	// AlarmStale says that the platform has less than is in force.
	AlarmStale AlarmKind = "stale_platform"
	// AlarmPaused says that the process did not run for a while.
	AlarmPaused AlarmKind = "process_paused"
	// AlarmOrphan says that neither parent answers.
	AlarmOrphan AlarmKind = "parents_unreachable"
)
