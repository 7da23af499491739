package policybench

import (
	"time"

	"trefoilweir.example/core/spread"
)

const (
	// beatEvery is the age that reported loads reach in the packet plane
	// between agents of one data centre.
	beatEvery = 100 * time.Millisecond
	// serviceWeight is the weight of one request in the mean service time.
	serviceWeight = 0.05
)

// spreading places each flow like the packet plane: the flow's home chooses by
// its own exact load and the reported loads of the others, with what it has
// placed since.
type spreading struct {
	queues
	// reported are the loads at the last beat, placed what each home has
	// placed since.
	reported []float64
	placed   [][]float64
	service  []float64
}

func newSpreading(s *sim) *spreading {
	n := s.spec.Targets
	p := &spreading{reported: make([]float64, n), placed: make([][]float64, n), service: make([]float64, n)}
	for home := range p.placed {
		p.placed[home] = make([]float64, n)
	}
	p.queues = queues{sim: s, choose: p.place, waiting: map[int][]*request{}}
	p.beat()
	return p
}

func (p *spreading) load(t int) float64 { return float64(p.sim.busy[t] + len(p.waiting[t])) }

func (p *spreading) beat() {
	for t := range p.reported {
		p.reported[t] = p.load(t)
		clear(p.placed[t])
	}
	if p.sim.left > 0 {
		p.sim.after(beatEvery, p.beat)
	}
}

func (p *spreading) place(r *request) int {
	spec := p.sim.spec
	at := int(r.flow % uint64(spec.Targets))
	candidates := make([]spread.Candidate, spec.Targets)
	for t := range candidates {
		busy := p.reported[t] + p.placed[at][t]
		if t == at {
			busy = p.load(t)
		}
		candidates[t] = spread.Candidate{Slots: spec.Slots, Busy: busy, ServiceTime: time.Duration(p.service[t])}
	}
	to := spread.Choose(candidates, r.flow^uint64(r.work))
	p.placed[at][to]++
	return to
}

// done learns the service time from what the target took.
func (p *spreading) done(t int, r *request, shed bool) {
	took := float64(r.work) / p.sim.speedAt(t, p.sim.now)
	if p.service[t] == 0 {
		p.service[t] = took
	}
	p.service[t] += serviceWeight * (took - p.service[t])
	p.queues.done(t, r, shed)
}
