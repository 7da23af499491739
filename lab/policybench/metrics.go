package policybench

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	imbalanceWindow = time.Second
	// minMeanUtilization is the mean utilization below which a window does not
	// count towards the imbalance.
	minMeanUtilization = 0.2
	imbalanceQuantile  = 0.99
)

type metrics struct {
	sim            *sim
	latency        *hdrhistogram.Histogram
	busyTime       [][]time.Duration // by window, then target
	finished       int
	withinDeadline int
	refused        int
	handedOver     int
	retries        int
	messages       int
}

func newMetrics(s *sim) *metrics {
	return &metrics{sim: s, latency: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

func (m *metrics) recordFinished(d time.Duration) {
	m.finished++
	if d <= m.sim.spec.Deadline {
		m.withinDeadline++
	}
	// RecordValue fails only for a value above the range of the histogram, which
	// a simulated latency does not reach.
	_ = m.latency.RecordValue(max(1, int64(d/time.Microsecond)))
}

// addBusyTime adds the busy time of a slot to the windows that it overlaps.
func (m *metrics) addBusyTime(target int, from, to time.Duration) {
	for from < to {
		w := int(from / imbalanceWindow)
		for len(m.busyTime) <= w {
			m.busyTime = append(m.busyTime, make([]time.Duration, m.sim.spec.Targets))
		}
		end := min(to, time.Duration(w+1)*imbalanceWindow)
		m.busyTime[w][target] += end - from
		from = end
	}
}

// imbalance returns the imbalanceQuantile, over the windows, of the highest
// utilization of a target relative to the mean of all targets, as section 1.6
// of the design defines it. The first window, in which the system starts empty,
// and the windows after the last arrival do not count. It returns 0 if no window
// counts.
func (m *metrics) imbalance() float64 {
	var values []float64
	for w := 1; w < min(len(m.busyTime), int(m.sim.duration/imbalanceWindow)); w++ {
		if v, ok := m.windowImbalance(w); ok {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(math.Ceil(imbalanceQuantile*float64(len(values))))-1]
}

func (m *metrics) windowImbalance(w int) (float64, bool) {
	highest, sum, speeds := 0.0, 0.0, 0.0
	for t, busy := range m.busyTime[w] {
		speed := m.sim.speedAt(t, time.Duration(w)*imbalanceWindow+imbalanceWindow/2)
		u := busy.Seconds() / imbalanceWindow.Seconds() / (float64(m.sim.spec.Slots) * speed)
		highest = max(highest, u)
		sum += u
		speeds += speed
	}
	mean := sum / float64(len(m.busyTime[w]))
	// The lower limit applies to the utilization with speeds relative to their
	// mean, so that it is comparable between services. With absolute speeds,
	// fully busy targets of speed 4 would count as 25% utilized.
	meanSpeed := speeds / float64(len(m.busyTime[w]))
	return highest / mean, mean*meanSpeed > minMeanUtilization
}

func (m *metrics) result() Result {
	s := m.sim.spec
	ms := func(q float64) float64 { return float64(m.latency.ValueAtQuantile(q)) / 1000 }
	total := s.requestCount()
	return Result{
		Policy: s.Policy, Case: s.Case, Size: s.size(), SpeedRatio: s.SpeedRatio, Load: s.Load, Seed: s.Seed,
		Requests: total, Finished: m.finished, Imbalance: round(m.imbalance()), P50: ms(50), P99: ms(99),
		Refused: m.refused, HandedOver: m.handedOver, Retries: m.retries,
		Goodput:  round(float64(m.withinDeadline) / m.sim.duration.Seconds()),
		Messages: round(float64(m.messages) / float64(total)), SimSeconds: round(m.sim.duration.Seconds()),
	}
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }
