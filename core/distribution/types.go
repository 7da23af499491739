// Package distribution decides where a process gets configurations from and
// which one it uses. It has no I/O: events are its input, actions its output,
// and time and seed are parameters.
//
// A config.Head identifies a configuration. The platform publishes
// configurations. In each data centre, a few processes (readers) poll the
// platform, and each other process polls one of its two parents in a tree below
// the readers. In addition, every process exchanges heads with a random peer at
// a fixed interval.
//
// Invariants:
//   - A Machine never adopts a head that is not above the current one in the
//     order of config.CompareHeads.
//   - A head whose configuration is invalid is not fetched again, as long as it
//     is among the last maxRejected such heads.
//   - Ready is emitted at most once, and not before the first Adopt.
//   - At most one Poll and one Fetch are in progress.
package distribution

import (
	"time"

	"trefoilweir.example/core/config"
)

// Times and limits of the protocol.
const (
	// Readers is the number of processes of a data centre that poll the
	// platform. Two may fail together without delay to the others.
	Readers = 3
	// FanOut is the maximum number of processes with the same first parent.
	FanOut = 8
	// StartPeers is the number of peers that a starting process queries.
	StartPeers = 3
	// StartWait is how long a starting process waits for answers.
	StartWait = 2 * time.Second
	// ExchangeEvery is the interval at which a process queries a random peer.
	// The query and its answer exchange their heads.
	ExchangeEvery = 5 * time.Second
	// PauseGap is the gap between ticks above which the process counts as
	// having been paused.
	PauseGap = time.Second
	// TickEvery is the interval of Tick events.
	TickEvery = 250 * time.Millisecond
	// orphanTimeout is how long polls may fail before a process that is not a
	// reader queries the platform.
	orphanTimeout = 10 * time.Second
	// orphanIntervalPerVM makes the interval of these queries grow with the
	// fleet, so that 14,000 orphans make 100 calls per second.
	orphanIntervalPerVM = 10 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failed poll. The upper
	// bound is the time in which a change must be active once the platform is
	// reachable again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// minPollInterval is the minimum time between polls after more than
	// maxEmptyPolls polls in a row were answered early with nothing new. A few
	// such answers are normal: the process learned of the change elsewhere at
	// the same time, or the list of VMs changed.
	minPollInterval = time.Second
	maxEmptyPolls   = 3
	// maxRejected is the maximum number of invalid heads, and of conflicting
	// heads, that are stored.
	maxRejected = 64
	// maxCandidates is the maximum number of stored candidates for a fetch.
	maxCandidates = 8
)

// Source is where a configuration can be fetched from: the platform, or a peer,
// identified by the name of its VM.
type Source string

// Platform is the configuration service.
const Platform Source = ""

// String returns the name of the peer, or "platform".
func (s Source) String() string {
	if s == Platform {
		return "platform"
	}
	return string(s)
}

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Events.
type (
	// Start begins the start-up phase. It is the first event.
	Start struct{}
	// VMList carries a new list of VMs. The list must not change afterwards.
	VMList struct{ VMs []config.VM }
	// Polled is the answer to the Poll with the same ID. Head is the head that
	// From has now.
	Polled struct {
		ID   uint64
		From Source
		Head config.Head
	}
	// PollFailed reports that the Poll with the same ID got no answer.
	PollFailed struct {
		ID   uint64
		From Source
	}
	// QueryAnswered is the answer to a Query. A peer without a configuration
	// answers with the zero Head.
	QueryAnswered struct {
		From Source
		Head config.Head
	}
	// QueryFailed reports that a Query got no answer.
	QueryFailed struct{ From Source }
	// PeerQueried reports a query that a peer sent to this process. Head is the
	// head that the peer has.
	PeerQueried struct {
		From Source
		Head config.Head
	}
	// Fetched reports that a configuration was fetched and is valid. Head may be
	// above the one of the Fetch, if From has adopted another since.
	Fetched struct {
		From Source
		Head config.Head
	}
	// FetchFailed reports that a configuration could not be fetched.
	FetchFailed struct {
		From Source
		Head config.Head
	}
	// Invalid reports that a configuration was fetched and is invalid.
	Invalid struct {
		From Source
		Head config.Head
	}
	// Tick reports that time has passed. It is sent every TickEvery.
	Tick struct{}
)

func (Start) isEvent()         {}
func (VMList) isEvent()        {}
func (Polled) isEvent()        {}
func (PollFailed) isEvent()    {}
func (QueryAnswered) isEvent() {}
func (QueryFailed) isEvent()   {}
func (PeerQueried) isEvent()   {}
func (Fetched) isEvent()       {}
func (FetchFailed) isEvent()   {}
func (Invalid) isEvent()       {}
func (Tick) isEvent()          {}

// Action is an output of a Machine.
type Action interface{ isAction() }

// Actions.
type (
	// Poll asks From to answer as soon as it has a head above Have, or when the
	// poll times out. It replaces the previous Poll, whose answer is ignored.
	Poll struct {
		ID   uint64
		From Source
		Have config.Head
	}
	// Query asks To for its head at once, and tells a peer the head of this
	// process. A Query to the platform also requests the list of VMs.
	Query struct {
		To   Source
		Have config.Head
	}
	// Fetch requests the configuration of a head and validates it.
	Fetch struct {
		From Source
		Head config.Head
	}
	// Adopt makes a fetched configuration the current one.
	Adopt struct{ Head config.Head }
	// Ready ends the start-up phase. The process may serve from then on.
	Ready struct{}
	// Alarm reports a condition to operators.
	Alarm struct {
		Kind AlarmKind
		From Source
		Head config.Head
	}
)

func (Poll) isAction()  {}
func (Query) isAction() {}
func (Fetch) isAction() {}
func (Adopt) isAction() {}
func (Ready) isAction() {}
func (Alarm) isAction() {}

// AlarmKind is the kind of an Alarm. Its value is a stable key for logs and
// metrics.
type AlarmKind string

// The kinds of alarms.
const (
	// AlarmConflict means that two configurations have the same version.
	AlarmConflict AlarmKind = "version_conflict"
	// AlarmInvalid means that a published configuration is invalid.
	AlarmInvalid AlarmKind = "invalid_configuration"
	// AlarmStale means that the head of the platform is below the current one.
	AlarmStale AlarmKind = "stale_platform"
	// AlarmPaused means that the process was paused for longer than PauseGap.
	AlarmPaused AlarmKind = "process_paused"
	// AlarmOrphan means that neither parent answers.
	AlarmOrphan AlarmKind = "parents_unreachable"
)
