package process

import (
	"time"

	"trefoilweir.example/node/confsync"
)

// Status is what the operator port shows.
type Status struct {
	// Name, Role and DataCentre say which process this is.
	Name       string `json:"name"`
	Role       string `json:"role"`
	DataCentre string `json:"data_centre"`
	// Healthy says that the process serves and is not draining. Reason says
	// why not.
	Healthy bool   `json:"healthy"`
	Reason  string `json:"reason,omitempty"`
	// UptimeSeconds is the time since the start.
	UptimeSeconds int64 `json:"uptime_seconds"`
	// Configuration is what is in force.
	Configuration confsync.Status `json:"configuration"`
	// Detail is the status of the role.
	Detail any `json:"detail,omitempty"`
}

// Status returns what the operator port shows.
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
