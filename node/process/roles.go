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
	return newProcess(s.Common, config.RoleBalancer, out, func(p parts) (role, error) {
		return balancerRole{balancer.New(balancer.Options{
			Settings: *s, Source: p.source, Keys: p.keys, Incarnation: incarnation(),
			Log: p.log.Named("balancer"), Metrics: p.metrics,
		})}, nil
	})
}

// NewAgent returns an agent process that writes its log to out.
func NewAgent(s *settings.Agent, out io.Writer) (*Process, error) {
	return newProcess(s.Common, config.RoleAgent, out, func(p parts) (role, error) {
		a, err := agent.New(agent.Options{
			Settings: *s, Source: p.source, Keys: p.keys, Peers: p.peers, Incarnation: incarnation(),
			Log: p.log.Named("agent"), Metrics: p.metrics,
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		return agentRole{a}, nil
	})
}

// incarnation is random, so that a process that replaces another at the same
// address differs from it, also in the low 16 bits that connection IDs carry.
func incarnation() uint64 {
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
