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
		return &queues{sim: s, choose: func(*request) int { return s.rng.IntN(s.spec.Targets) }}
	case "hash":
		return &queues{sim: s, choose: func(r *request) int { return home(s.spec, r) }}
	case "static":
		return &queues{sim: s, choose: func(*request) int { return byWeight(s) }}
	case "central-least-busy":
		return &central{sim: s, score: leastBusy}
	case "central-fastest":
		return &central{sim: s, score: fastest}
	case "spread":
		return newSpreading(s)
	case "local":
		return newOwn(s, config.BiasBalance, false)
	case "balance":
		return newOwn(s, config.BiasBalance, true)
	case "latency":
		return newOwn(s, config.BiasLatency, true)
	}
	panic("unknown policy " + s.spec.Policy)
}

// home is the target of a flow: a rendezvous hash weighted by slots and
// configured speed, as balancers place flows.
func home(spec Spec, r *request) int {
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

func byWeight(s *sim) int {
	x := s.rng.Float64() * s.spec.capacity()
	for t := range s.spec.Targets {
		if x -= s.spec.speed(t) * float64(s.spec.Slots); x < 0 {
			return t
		}
	}
	return s.spec.Targets - 1
}

// queues sends each request to one target, with a bounded queue there.
type queues struct {
	sim     *sim
	choose  func(*request) int
	waiting map[int][]*request
}

func (q *queues) arrive(r *request) {
	t := q.choose(r)
	switch {
	case q.sim.free(t):
		q.sim.run(t, r)
	case len(q.waiting[t]) >= queuePerSlot*q.sim.spec.Slots:
		q.sim.refused()
	default:
		if q.waiting == nil {
			q.waiting = map[int][]*request{}
		}
		q.waiting[t] = append(q.waiting[t], r)
	}
}

func (q *queues) done(t int, r *request, shed bool) {
	q.sim.conclude(r, shed)
	for len(q.waiting[t]) > 0 && q.sim.free(t) {
		next := q.waiting[t][0]
		q.waiting[t] = q.waiting[t][1:]
		if q.sim.late(next) {
			q.sim.refused()
			continue
		}
		q.sim.run(t, next)
	}
}

func (s *sim) conclude(r *request, shed bool) {
	if shed {
		s.refused()
	} else {
		s.finished(r)
	}
}

func (s *sim) late(r *request) bool { return s.now > r.at+s.spec.Deadline }

// central is one queue before all targets, with exact knowledge and no
// delay. It starts the oldest request on the free target of lowest score.
type central struct {
	sim     *sim
	score   func(s *sim, target int) float64
	waiting []*request
}

// leastBusy is the figure that imbalance compares, at this moment.
func leastBusy(s *sim, t int) float64 {
	return float64(s.busy[t]) / (float64(s.spec.Slots) * s.speedAt(t, s.now))
}

func fastest(s *sim, t int) float64 { return -s.speedAt(t, s.now) }

func (c *central) arrive(r *request) {
	if t, ok := c.pick(); ok {
		c.sim.run(t, r)
		return
	}
	if len(c.waiting) >= queuePerSlot*c.sim.spec.Slots*c.sim.spec.Targets {
		c.sim.refused()
		return
	}
	c.waiting = append(c.waiting, r)
}

func (c *central) done(_ int, r *request, shed bool) {
	c.sim.conclude(r, shed)
	for len(c.waiting) > 0 {
		t, ok := c.pick()
		if !ok {
			return
		}
		next := c.waiting[0]
		c.waiting = c.waiting[1:]
		if c.sim.late(next) {
			c.sim.refused()
			continue
		}
		c.sim.run(t, next)
	}
}

// pick returns a free target of lowest score; ties are broken at random.
func (c *central) pick() (int, bool) {
	best, ties, bestScore := -1, 0, 0.0
	for t := range c.sim.spec.Targets {
		if !c.sim.free(t) {
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
