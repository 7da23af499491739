package policybench

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
	"trefoilweir.example/core/config"
)

// Policies lists the names of all policies.
var Policies = []string{
	"uniform", "hash", "static", "central-least-busy", "central-fastest",
	"local", "balance", "latency", "spread",
}

func newPolicy(s *sim) policy {
	switch s.spec.Policy {
	case "uniform":
		return &targetQueues{sim: s, choose: func(*request) int { return s.rng.IntN(s.spec.Targets) }}
	case "hash":
		return &targetQueues{sim: s, choose: func(r *request) int { return homeTarget(s.spec, r) }}
	case "static":
		return &targetQueues{sim: s, choose: func(*request) int { return weightedTarget(s) }}
	case "central-least-busy":
		return &centralQueue{sim: s, score: utilizationScore}
	case "central-fastest":
		return &centralQueue{sim: s, score: speedScore}
	case "spread":
		return newLoadSpread(s)
	case "local":
		return newAdmissionPolicy(s, config.BiasBalance, false)
	case "balance":
		return newAdmissionPolicy(s, config.BiasBalance, true)
	case "latency":
		return newAdmissionPolicy(s, config.BiasLatency, true)
	}
	panic("policybench: unknown policy " + s.spec.Policy)
}

// homeTarget returns the target that a flow hashes to. Like a balancer, it uses
// rendezvous hashing weighted by slots and configured speed.
func homeTarget(spec Spec, r *request) int {
	best, bestScore := 0, math.Inf(-1)
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:], r.flow)
	for t := range spec.Targets {
		binary.LittleEndian.PutUint64(key[8:], uint64(t)+spec.Seed<<8)
		u := (float64(xxhash.Sum64(key[:])>>11) + 0.5) / (1 << 53)
		if score := -spec.speed(t) * float64(spec.Slots) / math.Log(u); score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}

func weightedTarget(s *sim) int {
	x := s.rng.Float64() * s.spec.capacity()
	for t := range s.spec.Targets {
		if x -= s.spec.speed(t) * float64(s.spec.Slots); x < 0 {
			return t
		}
	}
	return s.spec.Targets - 1
}

// targetQueues assigns each request to a target on arrival. Each target has a
// bounded queue.
type targetQueues struct {
	sim     *sim
	choose  func(*request) int
	waiting map[int][]*request
}

func (q *targetQueues) arrive(r *request) {
	t := q.choose(r)
	switch {
	case q.sim.hasFreeSlot(t):
		q.sim.run(t, r)
	case len(q.waiting[t]) >= queuePerSlot*q.sim.spec.Slots:
		q.sim.refuse()
	default:
		if q.waiting == nil {
			q.waiting = map[int][]*request{}
		}
		q.waiting[t] = append(q.waiting[t], r)
	}
}

func (q *targetQueues) done(t int, r *request, shed bool) {
	q.sim.conclude(r, shed)
	for len(q.waiting[t]) > 0 && q.sim.hasFreeSlot(t) {
		next := q.waiting[t][0]
		q.waiting[t] = q.waiting[t][1:]
		if q.sim.deadlinePassed(next) {
			q.sim.refuse()
			continue
		}
		q.sim.run(t, next)
	}
}

func (s *sim) conclude(r *request, shed bool) {
	if shed {
		s.refuse()
	} else {
		s.finish(r)
	}
}

func (s *sim) deadlinePassed(r *request) bool { return s.now > r.arrivedAt+s.spec.Deadline }

// centralQueue is one queue in front of all targets, with exact and immediate
// knowledge of their load. It starts the oldest request on the free target with
// the lowest score.
type centralQueue struct {
	sim     *sim
	score   func(s *sim, target int) float64
	waiting []*request
}

// utilizationScore is the current utilization of a target, as imbalance compares
// it.
func utilizationScore(s *sim, t int) float64 {
	return float64(s.busySlots[t]) / (float64(s.spec.Slots) * s.speedAt(t, s.now))
}

func speedScore(s *sim, t int) float64 { return -s.speedAt(t, s.now) }

func (c *centralQueue) arrive(r *request) {
	if t, ok := c.pickTarget(); ok {
		c.sim.run(t, r)
		return
	}
	if len(c.waiting) >= queuePerSlot*c.sim.spec.Slots*c.sim.spec.Targets {
		c.sim.refuse()
		return
	}
	c.waiting = append(c.waiting, r)
}

func (c *centralQueue) done(_ int, r *request, shed bool) {
	c.sim.conclude(r, shed)
	for len(c.waiting) > 0 {
		t, ok := c.pickTarget()
		if !ok {
			return
		}
		next := c.waiting[0]
		c.waiting = c.waiting[1:]
		if c.sim.deadlinePassed(next) {
			c.sim.refuse()
			continue
		}
		c.sim.run(t, next)
	}
}

// pickTarget returns a free target with the lowest score, and false if no target
// is free. It breaks ties at random.
func (c *centralQueue) pickTarget() (int, bool) {
	best, ties, bestScore := -1, 0, 0.0
	for t := range c.sim.spec.Targets {
		if !c.sim.hasFreeSlot(t) {
			continue
		}
		score := c.score(c.sim, t)
		switch {
		case best < 0 || score < bestScore:
			best, bestScore, ties = t, score, 1
		case score == bestScore:
			if ties++; c.sim.rng.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best, best >= 0
}
