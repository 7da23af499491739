package process

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/config"
	"trefoilweir.example/node/agent"
	"trefoilweir.example/node/balancer"
	"trefoilweir.example/node/settings"
)

// NewBalancer returns a balancer process that writes its log to out.
func NewBalancer(s *settings.Balancer, out io.Writer) (*Process, error) {
	return newProcess(s.Common, config.RoleBalancer, out, func(deps dependencies) (role, error) {
		return balancerRole{balancer.New(balancer.Options{
			Settings: *s, Source: deps.source, Keys: deps.keys, Incarnation: newIncarnation(),
			Log: deps.log.Named("balancer"), Metrics: deps.metrics,
		})}, nil
	})
}

// NewAgent returns an agent process that writes its log to out.
func NewAgent(s *settings.Agent, out io.Writer) (*Process, error) {
	return newProcess(s.Common, config.RoleAgent, out, func(deps dependencies) (role, error) {
		a, err := agent.New(agent.Options{
			Settings: *s, Source: deps.source, Keys: deps.keys, Peers: deps.peers, Incarnation: newIncarnation(),
			Log: deps.log.Named("agent"), Metrics: deps.metrics,
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		return agentRole{a}, nil
	})
}

// newIncarnation returns a random incarnation. A role that replaces another at
// the same address therefore has a different incarnation, also in the low 16
// bits that connection IDs carry.
func newIncarnation() uint64 {
	var b [8]byte
	// Read never fails.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

type balancerRole struct{ *balancer.Balancer }

func (b balancerRole) stop(ctx context.Context) error { return b.Shutdown(ctx) }

func (b balancerRole) status() any { return b.Status() }

func (b balancerRole) peerHandler() http.Handler { return nil }

type agentRole struct{ *agent.Agent }

func (a agentRole) stop(ctx context.Context) error { return a.Drain(ctx) }

func (a agentRole) status() any { return a.Status() }

func (a agentRole) peerHandler() http.Handler { return a.PeerHandler() }
