// Package fleet holds one process's copy of the packet plane's state: the
// targets of each service, the routes, and the revision that orders changes.
// It has no I/O and no clock; callers pass the current time.
//
// Terms:
//   - A view is the copy that one process holds.
//   - An entry is the record of one target, under its ID. An entry is listed
//     until it is removed. A removed entry counts as lapsed if its target was
//     ready and the platform was disturbed recently: it may be listed again.
//   - The revision orders all changes of one epoch. A new epoch begins when the
//     platform returns from an older copy of its state: its revisions go back and
//     are given out again. The version numbers only the contents of the routes.
//   - The homes of a flow are the agents of its service in the order in which
//     they are preferred for the flow.
//   - A service is named if the routes name it. An entry of another service is kept
//     and counts as removed until a version of the routes names its service.
//   - A reader is an agent that watches the platform. A gateway is a process
//     that gets changes from another data centre.
//   - The parents of a process are those from which it requests the age of their
//     views. The process is their child.
//   - A drain request asks that targets of a data centre get no new flows. The
//     data centre is drained.
//   - A target is cold while it is warming up. Its warm-up limit bounds the new
//     flows that it gets in a second until then.
//   - The history of a view is the time for which it knows which entries were
//     removed and to which services addresses led. It has a gap if the view has
//     skipped changes.
//   - The platform is disturbed when a reader cannot reach it, or not in time.
//
// Invariants:
//   - A view applies a change of a target only if its revision is above the
//     one that the view has for the target. A removal counts as a change.
//   - The epoch and the version of the routes never decrease. Revisions of
//     different epochs are not compared.
//   - A new epoch replaces a known state of a target only by a later one, or by
//     its removal. Views with the same progress may differ in a target whose
//     later incarnation only some of them know, until the target writes again.
//   - A drain request that is known stays in force until a later state of the
//     platform lacks it. A new epoch does not undo it before DrainGrace.
//   - Deltas made from one view lead another view to the same content, in any
//     order and with repetitions.
//   - A view knows all changes up to its revision. A delta that does not continue
//     from there does not raise the revision.
package fleet

import (
	"net/netip"
	"time"
)

// TargetState is the state that a target reports.
type TargetState string

// The states of a target.
const (
	// Ready targets take new flows.
	Ready TargetState = "ready"
	// Draining targets keep their flows and are about to leave.
	Draining TargetState = "draining"
)

// Target is one incarnation of a target.
type Target struct {
	ID         string         `json:"id"`
	Service    string         `json:"service"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data_centre"`
	// Slots is the number of requests that the target serves concurrently.
	Slots int         `json:"slots"`
	State TargetState `json:"state"`
	// WarmupMS is the remaining warm-up time of the target, in milliseconds.
	// The target is slow until then.
	WarmupMS int `json:"warmup_ms,omitempty"`
	// StartUnixMS is the start time of the target in Unix milliseconds. It
	// differs between two incarnations with one ID.
	StartUnixMS int64 `json:"born"`
}

// Agent returns the address of the VM on which the target and its agent run.
func (t *Target) Agent() netip.Addr { return t.Address.Addr() }

// Change is the newest state of one entry. Target is nil if the entry was
// removed or cannot be read.
type Change struct {
	ID       string  `json:"id"`
	Revision uint64  `json:"revision"`
	Target   *Target `json:"target,omitempty"`
	// AgeMS is the time since the sender learned the state, in milliseconds. It is 0
	// unless the target is warming up.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Last is the state of a removed entry before its removal, and RemovedMS is
	// the time since then, in milliseconds. The target may still run and hold
	// flows. Last is nil if the sender does not know it. It is set beside Target if
	// no version of the sender names the service of Target, which counts as removed
	// then.
	Last      *Target `json:"last,omitempty"`
	RemovedMS int64   `json:"removed_ms,omitempty"`
}

// RouteKind says whether the requests of a route may be repeated.
type RouteKind string

// The kinds of routes.
const (
	Idempotent    RouteKind = "idempotent"
	NotIdempotent RouteKind = "not_idempotent"
	Download      RouteKind = "download"
)

// WeightedService is one service of a route that splits its flows among
// several.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route sends new flows for an address to a service.
type Route struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service,omitempty"`
	// Split, if it is not empty, is used instead of Service.
	Split []WeightedService `json:"split,omitempty"`
	Kind  RouteKind         `json:"kind"`
	// TimeoutMS and ObjectiveMS apply to one request, in milliseconds.
	TimeoutMS   int `json:"timeout_ms"`
	ObjectiveMS int `json:"objective_ms"`
	// Priority 0 is the highest.
	Priority int `json:"priority"`
	// AllowedRegions has the regions whose targets may get new flows of the
	// route. Empty means all regions.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
}

// Service has the settings of one service.
type Service struct {
	Name string `json:"name"`
	// WarmupPerSecond bounds the new flows that a target gets in any second while
	// it is warming up. 0 means no limit.
	WarmupPerSecond float64 `json:"warmup_per_second,omitempty"`
}

// Config is one version of the routes.
type Config struct {
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	// Services has the services that the version names. It is nil if the sender
	// is of a release that does not tell them.
	Services []Service `json:"services,omitempty"`
	// IdleTimeoutMS is the time after which an idle flow may be discarded, in
	// milliseconds.
	IdleTimeoutMS int `json:"idle_timeout_ms"`
}

// PastService is a service to which an address led AgoMS ago, in milliseconds.
type PastService struct {
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service"`
	AgoMS   int64          `json:"ago_ms"`
}

// Delta holds the changes since a revision.
type Delta struct {
	// Epoch is the epoch of all revisions in the delta.
	Epoch uint64 `json:"epoch,omitempty"`
	// Revision is the revision up to which the sender knows all changes.
	Revision uint64 `json:"revision"`
	// After is the revision after which the delta has all changes, unless it is
	// full. It is 0 if the sender is of a release that does not tell it.
	After uint64 `json:"after,omitempty"`
	// Full says that targets not named in Changes are removed.
	// ListingRevision is the revision of the listing if the delta was made
	// from a listing at the platform, otherwise 0.
	Full            bool   `json:"full,omitempty"`
	ListingRevision uint64 `json:"-"`
	// WatchedAfter is the revision after which the delta has all changes and
	// versions if it was made from a watch at the platform, otherwise 0.
	WatchedAfter uint64   `json:"-"`
	Changes      []Change `json:"changes,omitempty"`
	// Config is nil if it has not changed, or if Patch is set.
	Config *Config      `json:"config,omitempty"`
	Patch  *ConfigPatch `json:"patch,omitempty"`
	// ConfigRevision is the revision of the version that Config or Patch leads
	// to.
	ConfigRevision uint64 `json:"config_revision,omitempty"`
	// PastServices are services to which addresses led before the sender's
	// version of the routes. With a Patch in a delta that is not full they are
	// those that addresses led to between the two versions.
	PastServices []PastService `json:"past_services,omitempty"`
	// Drains has the requests to drain data centres. It is nil if the sender does
	// not know them, or is of a release that does not tell them. DrainChanges has
	// their changes if the delta is the answer to a watch at the platform.
	Drains       *Drains       `json:"drains,omitempty"`
	DrainChanges *DrainChanges `json:"-"`
	// UnreadableDrains counts the drain requests at the platform that name no data
	// centre. They are ignored.
	UnreadableDrains int `json:"-"`
	// ConfirmedMS is the time since the sender's revision was last known to be
	// the newest, in milliseconds.
	ConfirmedMS int64 `json:"confirmed_ms"`
	// DisturbedMS is the time since the platform was last found disturbed, in
	// milliseconds, or nil if it never was.
	DisturbedMS *int64 `json:"disturbed_ms,omitempty"`
	// RemovalsKnownMS is set if the delta names all entries that were removed in
	// the time before it of this length, in milliseconds, and the services to which
	// addresses led in that time.
	RemovalsKnownMS *int64 `json:"removals_known_ms,omitempty"`
	// RemovalsSettled says that the sender has taken it, since it started, that no
	// process knows more removals than it does. Earlier releases do not tell it.
	RemovalsSettled bool `json:"removals_settled,omitempty"`
	// RemovalsRevision is set if the sender knows the removals only up to this
	// revision, because its view is older than the start of the receiver's history.
	RemovalsRevision uint64 `json:"removals_revision,omitempty"`
}

// Retention times and grace periods of a view.
const (
	// RemovedEntryRetention is how long a view keeps a removed entry. Peers
	// that are further behind get a full delta.
	RemovedEntryRetention = 60 * time.Second
	// ReturnGrace is how long after an outage of the platform the entries that
	// were removed during it may be listed again.
	ReturnGrace = 2 * time.Second
	// RetiredRouteRetention is how long packets of open flows are still
	// forwarded on a removed route.
	RetiredRouteRetention = 60 * time.Second
)
