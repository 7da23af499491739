package packetplane

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/node/telemetry"
)

// Paths of the operator's port.
const (
	PathMetrics = "/metrics"
	PathStatus  = "/status"
)

// Status is what a process tells operators.
type Status struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	Service    string `json:"service,omitempty"`
	Stopping   bool   `json:"stopping"`
	UptimeMS   int64  `json:"uptime_ms"`
	// Version, Revision and ViewAgeMS are of the view that decisions use.
	Version   uint64 `json:"version"`
	Revision  uint64 `json:"revision"`
	ViewAgeMS int64  `json:"view_age_ms"`
	Reader    bool   `json:"reader"`
	// Sizes are the sizes of tables.
	Sizes map[string]int `json:"sizes"`
	// Targets are the numbers of listed targets by service.
	Targets map[string]int `json:"targets"`
}

// unknownAge stands for the age of a view that was never confirmed.
const unknownAge = -1

func ageMS(v *fleet.View, now time.Duration) int64 {
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
		Name: p.Settings.Name, Role: p.name, DataCentre: p.Settings.DataCentre, Service: p.Settings.Service, Stopping: p.stopping,
		UptimeMS: now.Milliseconds(), Version: p.view.Version(), Revision: p.view.Revision(), ViewAgeMS: ageMS(p.view, now),
		Reader: p.sync.Place().Reader, Sizes: p.role.sizes(), Targets: map[string]int{},
	}
	for _, service := range p.view.Services() {
		s.Targets[service] = len(p.view.Targets(service))
	}
	return s
}

// operatorHandler serves metrics and status.
func (p *Process) operatorHandler() http.Handler {
	p.gauges()
	mux := http.NewServeMux()
	mux.HandleFunc(PathMetrics, func(w http.ResponseWriter, _ *http.Request) {
		p.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc(PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(p.status()); err != nil {
			p.Log.Debug("status not sent", telemetry.Error(err))
		}
	})
	return mux
}

// gauges registers the ages and sizes.
func (p *Process) gauges() {
	locked := func(value func() float64) func() float64 {
		return func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return value()
		}
	}
	p.Metrics.NewGauge("trefoilweir_view_age_seconds", locked(func() float64 {
		const ms = 1000
		return float64(ageMS(p.view, p.now())) / ms
	}))
	p.Metrics.NewGauge("trefoilweir_view_version", locked(func() float64 { return float64(p.view.Version()) }))
	for name := range p.role.sizes() {
		p.Metrics.NewGauge(`trefoilweir_table_entries{table="`+name+`"}`, locked(func() float64 { return float64(p.role.sizes()[name]) }))
	}
}
