package process

import (
	"time"

	"trefoilweir.example/node/confsync"
)

// Status is the status of a process, as the operator port shows it.
type Status struct {
	// Name, Role and DataCentre identify the process.
	Name       string `json:"name"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	// Healthy reports whether the role runs and the process is not draining.
	// Reason says why the process is not healthy.
	Healthy bool   `json:"healthy"`
	Reason  string `json:"reason,omitempty"`
	// UptimeSeconds is the time since the process started.
	UptimeSeconds int64 `json:"uptime_seconds"`
	// Configuration is the status of the configuration in force.
	Configuration confsync.Status `json:"configuration"`
	// Detail is the status of the role, if it runs.
	Detail any `json:"detail,omitempty"`
}

// Status returns the current status of the process.
func (p *Process) Status() Status {
	s := Status{
		Name: p.common.Name, Role: string(p.roleName), DataCentre: p.common.DataCentre, Healthy: true,
		UptimeSeconds: int64(time.Since(p.startTime) / time.Second), Configuration: p.configSync.Status(),
	}
	if err := p.healthy(); err != nil {
		s.Healthy, s.Reason = false, err.Error()
	}
	if r := p.currentRole.Load(); r != nil {
		s.Detail = (*r).status()
	}
	return s
}
