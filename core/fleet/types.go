// Package fleet is a process's view of the packet plane: the targets of each
// service, the routes, and the revision that orders changes. It has no I/O and
// no clock.
//
// Invariants:
//   - A change of a target is applied only if its revision is above the one
//     that the view has for it; a removal counts as a change.
//   - The version of the routes never goes down.
//   - Deltas made from one view lead another view to the same content, in any
//     order and with repetitions.
package fleet

import (
	"net/netip"
	"time"
)

// TargetState is what a target says of itself.
type TargetState string

// The states.
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
	// Slots is the number of requests that the target runs at a time.
	Slots int         `json:"slots"`
	State TargetState `json:"state"`
	// WarmupMS is how much longer the target is slow, in milliseconds.
	WarmupMS int `json:"warmup_ms,omitempty"`
	// StartUnixMS is the start of the target in Unix milliseconds. Two incarnations
	// under one ID differ in it.
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
}

// RouteKind says what may be repeated.
type RouteKind string

// The kinds of routes.
const (
	Idempotent    RouteKind = "idempotent"
	NotIdempotent RouteKind = "not_idempotent"
	Download      RouteKind = "download"
)

// WeightedService is one service of a route with several.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route sends new flows for an address to a service.
type Route struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Service string         `json:"service,omitempty"`
	// Split replaces Service if it is not empty.
	Split []WeightedService `json:"split,omitempty"`
	Kind  RouteKind         `json:"kind"`
	// TimeoutMS and ObjectiveMS are of one request, in milliseconds.
	TimeoutMS   int `json:"timeout_ms"`
	ObjectiveMS int `json:"objective_ms"`
	// Priority 0 is the highest.
	Priority int `json:"priority"`
}

// Config is one version of the routes.
type Config struct {
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	// IdleTimeoutMS is after how long an idle flow may be discarded, in
	// milliseconds.
	IdleTimeoutMS int `json:"idle_timeout_ms"`
}

// Delta has what changed since a revision.
type Delta struct {
	// Revision is that of the newest change up to which the sender knows all.
	Revision uint64 `json:"revision"`
	// Full says that targets which are not named are gone. Listed is the
	// revision of the listing if it was made at the platform.
	Full            bool     `json:"full,omitempty"`
	ListingRevision uint64   `json:"-"`
	Changes         []Change `json:"changes,omitempty"`
	// Config is nil if it has not changed, or if Patch leads to it.
	Config *Config      `json:"config,omitempty"`
	Patch  *ConfigPatch `json:"patch,omitempty"`
	// ConfigRevision is the revision of the version that either leads to.
	ConfigRevision uint64 `json:"config_revision,omitempty"`
	// ConfirmedMS is how long ago the sender's revision was known to be the
	// newest, in milliseconds.
	ConfirmedMS int64 `json:"confirmed_ms"`
	// DisturbedMS is how long ago the platform was last found disturbed, in
	// milliseconds, nil if it was not.
	DisturbedMS *int64 `json:"disturbed_ms,omitempty"`
}

// Times of a view.
const (
	// RemovedEntryRetention is how long a removed entry is remembered. Peers that are
	// further behind get a full view.
	RemovedEntryRetention = 60 * time.Second
	// ReturnGrace is how long entries that vanished during an outage of the
	// platform may take to come back.
	ReturnGrace = 2 * time.Second
	// RetiredRouteRetention is how long packets of open flows pass on a removed route.
	RetiredRouteRetention = 60 * time.Second
)
