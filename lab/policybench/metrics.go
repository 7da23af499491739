package policybench

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	window = time.Second
	// leastMean is the mean utilization below which a window is left out.
	leastMean = 0.2
	quantile  = 0.99
)

type metrics struct {
	sim        *sim
	latency    *hdrhistogram.Histogram
	busy       [][]time.Duration // by window, then target
	done       int
	good       int
	refused    int
	handedOver int
	retries    int
	messages   int
}

func newMetrics(s *sim) *metrics {
	return &metrics{sim: s, latency: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

func (m *metrics) finished(d time.Duration) {
	m.done++
	if d <= m.sim.spec.Deadline {
		m.good++
	}
	// Values are within the range of the histogram by construction.
	_ = m.latency.RecordValue(max(1, int64(d/time.Microsecond)))
}

// occupied spreads the time a slot was busy over the windows.
func (m *metrics) occupied(target int, from, to time.Duration) {
	for from < to {
		w := int(from / window)
		for len(m.busy) <= w {
			m.busy = append(m.busy, make([]time.Duration, m.sim.spec.Targets))
		}
		end := min(to, time.Duration(w+1)*window)
		m.busy[w][target] += end - from
		from = end
	}
}

// imbalance is defined in section 1.6 of the design. The first window, which
// starts empty, and those after the last arrival are left out. It is 0 if no
// window counts.
func (m *metrics) imbalance() float64 {
	var values []float64
	for w := 1; w < min(len(m.busy), int(m.sim.end/window)); w++ {
		if v, ok := m.windowImbalance(w); ok {
			values = append(values, v)
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(math.Ceil(quantile*float64(len(values))))-1]
}

func (m *metrics) windowImbalance(w int) (float64, bool) {
	highest, sum, speeds := 0.0, 0.0, 0.0
	for t, busy := range m.busy[w] {
		speed := m.sim.speedAt(t, time.Duration(w)*window+window/2)
		u := busy.Seconds() / window.Seconds() / (float64(m.sim.spec.Slots) * speed)
		highest = max(highest, u)
		sum += u
		speeds += speed
	}
	mean := sum / float64(len(m.busy[w]))
	// With speeds relative to their mean, the limit is comparable between
	// services; taken as they are, full targets of speed 4 count as 25%.
	meanSpeed := speeds / float64(len(m.busy[w]))
	return highest / mean, mean*meanSpeed > leastMean
}

func (m *metrics) result() Result {
	s := m.sim.spec
	ms := func(q float64) float64 { return float64(m.latency.ValueAtQuantile(q)) / 1000 }
	total := s.total()
	return Result{
		Policy: s.Policy, Case: s.Case, Size: s.size(), SpeedRatio: s.SpeedRatio, Load: s.Load, Seed: s.Seed,
		Requests: total, Finished: m.done, Imbalance: round(m.imbalance()), P50: ms(50), P99: ms(99),
		Refused: m.refused, HandedOver: m.handedOver, Retries: m.retries,
		Goodput:  round(float64(m.good) / m.sim.end.Seconds()),
		Messages: round(float64(m.messages) / float64(total)), SimSeconds: round(m.sim.end.Seconds()),
	}
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }
