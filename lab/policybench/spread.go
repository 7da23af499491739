package policybench

import (
	"time"

	"trefoilweir.example/core/spread"
)

const (
	// reportInterval is the time between load reports of agents. It is the
	// maximum age that reported loads reach in the packet plane between agents
	// of one data centre.
	reportInterval = 100 * time.Millisecond
	// serviceTimeWeight is the weight of one request in the mean service time.
	serviceTimeWeight = 0.05
)

// loadSpread places each request as the packet plane places a new flow. The home
// target of the flow chooses by its own exact load and, for the other targets, by
// the reported load plus the requests that it has placed there since the report.
type loadSpread struct {
	targetQueues
	// reported holds the load of each target at the last report. placed[h][t]
	// is the number of requests that home h has placed on target t since.
	reported    []float64
	placed      [][]float64
	serviceTime []float64
	// rates has the rate at which each home places requests.
	rates []spread.Rate
}

func newLoadSpread(s *sim) *loadSpread {
	n := s.spec.Targets
	p := &loadSpread{reported: make([]float64, n), placed: make([][]float64, n), serviceTime: make([]float64, n), rates: make([]spread.Rate, n)}
	for home := range p.placed {
		p.placed[home] = make([]float64, n)
	}
	p.targetQueues = targetQueues{sim: s, choose: p.placeRequest, waiting: map[int][]*request{}}
	p.reportLoads()
	return p
}

func (p *loadSpread) load(t int) float64 { return float64(p.sim.busySlots[t] + len(p.waiting[t])) }

func (p *loadSpread) reportLoads() {
	for t := range p.reported {
		p.reported[t] = p.load(t)
		clear(p.placed[t])
	}
	if p.sim.unfinished > 0 {
		p.sim.after(reportInterval, p.reportLoads)
	}
}

func (p *loadSpread) placeRequest(r *request) int {
	spec := p.sim.spec
	home := int(r.flow % uint64(spec.Targets))
	candidates := make([]spread.Candidate, spec.Targets)
	for t := range candidates {
		busy := p.reported[t] + p.placed[home][t]
		if t == home {
			busy = p.load(t)
		}
		candidates[t] = spread.Candidate{Slots: spec.Slots, Busy: busy, ServiceTime: time.Duration(p.serviceTime[t])}
	}
	rate := &p.rates[home]
	rate.Add(p.sim.now)
	chosen := spread.Choose(candidates, rate.PerSecond(p.sim.now), r.flow^uint64(r.work))
	p.placed[home][chosen]++
	return chosen
}

// done updates the mean service time of the target with that of the request.
func (p *loadSpread) done(t int, r *request, shed bool) {
	took := float64(r.work) / p.sim.speedAt(t, p.sim.now)
	if p.serviceTime[t] == 0 {
		p.serviceTime[t] = took
	}
	p.serviceTime[t] += serviceTimeWeight * (took - p.serviceTime[t])
	p.targetQueues.done(t, r, shed)
}
