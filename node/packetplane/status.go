package packetplane

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/node/telemetry"
)

// HTTP paths of the port for metrics and status.
const (
	PathMetrics = "/metrics"
	PathStatus  = "/status"
)

// Status is the state of a process for its operators.
type Status struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service,omitempty"`
	Stopping   bool   `json:"stopping"`
	UptimeMS   int64  `json:"uptime_ms"`
	// Version, Epoch, Revision and ViewAgeMS describe the view that decisions
	// use.
	Version   uint64 `json:"version"`
	Epoch     uint64 `json:"epoch"`
	Revision  uint64 `json:"revision"`
	ViewAgeMS int64  `json:"view_age_ms"`
	Reader    bool   `json:"reader"`
	// Drained has the drained data centres. DrainsComplete says whether the process
	// knows the drain requests up to Revision.
	Drained        []string `json:"drained"`
	DrainsComplete bool     `json:"drains_complete"`
	// Sizes has the number of entries of each table.
	Sizes map[string]int `json:"sizes"`
	// Targets has the number of listed targets of each service.
	Targets map[string]int `json:"targets"`
	// FlowTables is the state of the transfer of flow tables, nil at a balancer.
	FlowTables *FlowTableStatus `json:"flow_tables,omitempty"`
	// Peers are other agents: at an agent those of its service that it knows, at
	// a balancer the suspected homes.
	Peers []PeerStatus `json:"peers"`
}

// PeerStatus is the state of an agent as the process knows it.
type PeerStatus struct {
	Address string `json:"address"`
	// SinceHeardMS is the time since the last message of the agent, in
	// milliseconds, or -1 if it is not known.
	SinceHeardMS int64 `json:"heard_ms"`
	// Usable reports whether new flows are sent to the agent. Reason is why
	// they are not.
	Usable bool   `json:"usable"`
	Reason string `json:"reason,omitempty"`
	// Busy is the number of requests of its target, Slots the number that the
	// target runs at a time.
	Busy uint16 `json:"busy"`
	// Fresh says that the agent knows every flow that its target holds.
	Fresh bool   `json:"fresh"`
	Slots uint16 `json:"slots"`
	// ServiceTimeMS is the mean time of a request that does not wait, in
	// milliseconds.
	ServiceTimeMS float64 `json:"service_time_ms"`
}

// loadUnitsPerMS is the number of units of relay.Load.ServiceTime in a
// millisecond.
const loadUnitsPerMS = 10

func peerStatuses(peers []plane.Peer) []PeerStatus {
	out := make([]PeerStatus, 0, len(peers))
	for _, p := range peers {
		heard := int64(unknownAge)
		if p.SinceHeard >= 0 {
			heard = p.SinceHeard.Milliseconds()
		}
		out = append(out, PeerStatus{
			Address: p.Address.String(), SinceHeardMS: heard, Usable: p.Usable, Reason: p.Reason,
			Fresh: p.Load.Flags&relay.FlagFresh != 0, Busy: p.Load.Busy, Slots: p.Load.Slots, ServiceTimeMS: float64(p.Load.ServiceTime) / loadUnitsPerMS,
		})
	}
	return out
}

// unknownAge is reported for an age that is not known, such as that of a view
// that was never confirmed.
const unknownAge = -1

func viewAgeMS(v *fleet.View, now time.Duration) int64 {
	if age := v.Age(now); age < time.Hour {
		return age.Milliseconds()
	}
	return unknownAge
}

func (p *Process) status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := Status{
		Name: p.Settings.Name, Role: p.roleName, DataCentre: p.Settings.DataCentre, Service: p.Settings.Service, Stopping: p.stopping,
		UptimeMS: now.Milliseconds(), Version: p.view.Version(), Epoch: p.view.Progress().Epoch, Revision: p.view.Revision(), ViewAgeMS: viewAgeMS(p.view, now),
		Reader: p.sync.Position().Reader, Sizes: p.role.tableSizes(), Targets: map[string]int{},
		Drained: p.view.DrainedDataCentres(), DrainsComplete: p.view.DrainsComplete(), Peers: peerStatuses(p.role.peers(now)),
	}
	if a, ok := p.role.(*agent); ok {
		s.FlowTables = a.tables.tableStatus()
	}
	for _, service := range p.view.Services() {
		s.Targets[service] = len(p.view.Targets(service))
	}
	return s
}

// operatorHandler serves metrics and status.
func (p *Process) operatorHandler() http.Handler {
	p.registerGauges()
	mux := http.NewServeMux()
	mux.HandleFunc(PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		p.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc(PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(p.status()); err != nil {
			p.Log.Debug("cannot send status", telemetry.Error(err))
		}
	})
	return mux
}

// registerGauges registers the metrics for the view and the table sizes.
func (p *Process) registerGauges() {
	locked := func(value func() float64) func() float64 {
		return func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return value()
		}
	}
	p.Metrics.NewGauge("trefoilweir_view_age_seconds", locked(func() float64 {
		const ms = 1000
		return float64(viewAgeMS(p.view, p.now())) / ms
	}))
	p.Metrics.NewGauge("trefoilweir_view_epoch", locked(func() float64 { return float64(p.view.Progress().Epoch) }))
	p.Metrics.NewGauge("trefoilweir_view_revision", locked(func() float64 { return float64(p.view.Revision()) }))
	p.Metrics.NewGauge("trefoilweir_view_version", locked(func() float64 { return float64(p.view.Version()) }))
	p.Metrics.NewGauge("trefoilweir_drained_data_centres", locked(func() float64 { return float64(len(p.view.DrainedDataCentres())) }))
	for name := range p.role.tableSizes() {
		p.Metrics.NewGauge(`trefoilweir_table_entries{table="`+name+`"}`, locked(func() float64 { return float64(p.role.tableSizes()[name]) }))
	}
}
