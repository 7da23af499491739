package process

import (
	"io"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/config"
	"trefoilweir.example/node/settings"
)

// NewBalancer returns a balancer process that writes its log to out.
func NewBalancer(s *settings.Balancer, out io.Writer) (*Process, error) {
	return newProcess(s.Common, config.RoleBalancer, out, func(parts) (role, error) {
		return nil, trace.NotImplemented("balancer")
	})
}

// NewAgent returns an agent process that writes its log to out.
func NewAgent(s *settings.Agent, out io.Writer) (*Process, error) {
	return newProcess(s.Common, config.RoleAgent, out, func(parts) (role, error) {
		return nil, trace.NotImplemented("agent")
	})
}
