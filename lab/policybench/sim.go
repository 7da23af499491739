package policybench

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// request is one arrival. All policies of a seed see the same ones.
type request struct {
	at   time.Duration
	flow uint64
	work time.Duration
	// shed is a random number that decides whether a shedding target sheds
	// the request's first attempt there.
	shed float64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// policy decides where requests run.
type policy interface {
	arrive(r *request)
	// done reports the end of a request on a target. shed says that the
	// target did not run it.
	done(target int, r *request, shed bool)
}

// sim is the event loop with the targets.
type sim struct {
	spec    Spec
	now     time.Duration
	end     time.Duration
	seq     uint64
	events  eventHeap
	rng     *rand.Rand
	busy    []int
	policy  policy
	metrics *metrics
	left    int
}

// Run performs one run.
func Run(spec Spec) Result {
	spec = spec.withDefaults()
	s := &sim{spec: spec, busy: make([]int, spec.Targets), left: spec.total()}
	s.end = time.Duration(float64(s.left) / spec.rate() * float64(time.Second))
	s.metrics = newMetrics(s)
	s.rng = rand.New(rand.NewPCG(spec.Seed, 2))
	s.policy = newPolicy(s)
	s.scheduleArrivals()
	for s.left > 0 && len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.metrics.result()
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + d, s.seq, do})
}

// scheduleArrivals draws from its own source, so that policies do not change
// the arrivals.
func (s *sim) scheduleArrivals() {
	rng := rand.New(rand.NewPCG(s.spec.Seed, 1))
	flows := make([]uint64, flowsPerTarget*s.spec.Targets)
	for i := range flows {
		flows[i] = rng.Uint64()
	}
	mean := float64(time.Second) / s.spec.rate()
	remaining := s.left
	var next func()
	next = func() {
		i := rng.IntN(len(flows))
		if rng.IntN(requestsPerFlow) == 0 {
			flows[i] = rng.Uint64()
		}
		work := time.Duration(rng.ExpFloat64() * float64(s.spec.MeanWork))
		r := &request{at: s.now, flow: flows[i], work: work, shed: rng.Float64()}
		if remaining--; remaining > 0 {
			s.after(time.Duration(rng.ExpFloat64()*mean), next)
		}
		s.policy.arrive(r)
	}
	s.after(0, next)
}

// speedAt is the speed of a target at a time, with the disturbance of the
// case.
func (s *sim) speedAt(target int, at time.Duration) float64 {
	v := s.spec.speed(target)
	switch {
	case target != disturbed:
	case s.spec.Case == CaseSlow && at > s.end/2:
		return v / 2
	case s.spec.Case == CaseCold && at < coldTime:
		return v * (coldFactor + (1-coldFactor)*float64(at)/float64(coldTime))
	}
	return v
}

func (s *sim) free(target int) bool { return s.busy[target] < s.spec.Slots }

// run occupies a slot of a target until the request is done there.
func (s *sim) run(target int, r *request) {
	if !s.free(target) {
		panic("policy runs more requests on a target than it has slots")
	}
	began := s.now
	shed := s.spec.Case == CaseShed && target == disturbed && r.shed < shedShare
	d := time.Duration(float64(r.work) / s.speedAt(target, s.now))
	if shed {
		d = shedTime
	}
	s.busy[target]++
	s.after(d, func() {
		s.busy[target]--
		s.metrics.occupied(target, began, s.now)
		s.policy.done(target, r, shed)
	})
}

func (s *sim) finished(r *request) {
	s.left--
	s.metrics.finished(s.now - r.at)
}

func (s *sim) refused() {
	s.left--
	s.metrics.refused++
}
