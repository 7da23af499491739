package policybench

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// request is one arrival. All policies get the same requests for a seed.
type request struct {
	arrivedAt time.Duration
	flow      uint64
	work      time.Duration
	// shedDraw is a random number that decides whether a target that sheds load
	// sheds the request.
	shedDraw float64
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
	// done reports that a request has ended on a target. shed reports that the
	// target did not run it.
	done(target int, r *request, shed bool)
}

// sim simulates the targets with an event loop.
type sim struct {
	spec       Spec
	now        time.Duration
	duration   time.Duration
	seq        uint64
	events     eventHeap
	rng        *rand.Rand
	busySlots  []int
	policy     policy
	metrics    *metrics
	unfinished int
}

// Run simulates one run.
func Run(spec Spec) Result {
	spec = spec.withDefaults()
	s := &sim{spec: spec, busySlots: make([]int, spec.Targets), unfinished: spec.requestCount()}
	s.duration = time.Duration(float64(s.unfinished) / spec.arrivalRate() * float64(time.Second))
	s.metrics = newMetrics(s)
	s.rng = rand.New(rand.NewPCG(spec.Seed, 2))
	s.policy = newPolicy(s)
	s.scheduleArrivals()
	for s.unfinished > 0 && len(s.events) > 0 {
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

// scheduleArrivals uses its own random source, so that the arrivals do not
// depend on the policy.
func (s *sim) scheduleArrivals() {
	rng := rand.New(rand.NewPCG(s.spec.Seed, 1))
	flows := make([]uint64, flowsPerTarget*s.spec.Targets)
	for i := range flows {
		flows[i] = rng.Uint64()
	}
	mean := float64(time.Second) / s.spec.arrivalRate()
	remaining := s.unfinished
	var next func()
	next = func() {
		i := rng.IntN(len(flows))
		if rng.IntN(requestsPerFlow) == 0 {
			flows[i] = rng.Uint64()
		}
		work := time.Duration(rng.ExpFloat64() * float64(s.spec.MeanWork))
		r := &request{arrivedAt: s.now, flow: flows[i], work: work, shedDraw: rng.Float64()}
		if remaining--; remaining > 0 {
			s.after(time.Duration(rng.ExpFloat64()*mean), next)
		}
		s.policy.arrive(r)
	}
	s.after(0, next)
}

// speedAt returns the speed of a target at a simulated time, including the
// disturbance of the case.
func (s *sim) speedAt(target int, at time.Duration) float64 {
	v := s.spec.speed(target)
	switch {
	case target != disturbedTarget:
	case s.spec.Case == CaseSlow && at > s.duration/2:
		return v / 2
	case s.spec.Case == CaseCold && at < coldStartTime:
		return v * (coldSpeedFactor + (1-coldSpeedFactor)*float64(at)/float64(coldStartTime))
	}
	return v
}

func (s *sim) hasFreeSlot(target int) bool { return s.busySlots[target] < s.spec.Slots }

// run occupies a slot of a target until the request ends there.
func (s *sim) run(target int, r *request) {
	if !s.hasFreeSlot(target) {
		panic("policybench: policy runs more requests on a target than it has slots")
	}
	startedAt := s.now
	shed := s.spec.Case == CaseShed && target == disturbedTarget && r.shedDraw < shedFraction
	d := time.Duration(float64(r.work) / s.speedAt(target, s.now))
	if shed {
		d = shedTime
	}
	s.busySlots[target]++
	s.after(d, func() {
		s.busySlots[target]--
		s.metrics.addBusyTime(target, startedAt, s.now)
		s.policy.done(target, r, shed)
	})
}

func (s *sim) finish(r *request) {
	s.unfinished--
	s.metrics.recordFinished(s.now - r.arrivedAt)
}

func (s *sim) refuse() {
	s.unfinished--
	s.metrics.refused++
}
