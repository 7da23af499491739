package load

import (
	"math"
	"slices"
	"time"
)

const (
	imbalanceWindow = time.Second
	// minMeanUtilization is the mean utilization at or below which a window does
	// not count, because its targets are nearly idle.
	minMeanUtilization = 0.2
	// imbalanceQuantile is the quantile over the windows that is reported.
	imbalanceQuantile = 0.99
)

// imbalance returns the 99th percentile, over windows of one second, of the
// highest utilization of a target divided by the mean over the targets. The
// utilization of a target is its busy slot time divided by its capacity. The
// capacity is the number of slots times the weight. Targets are compared within
// their service; the percentile is over all windows of all services.
func (e *Evidence) imbalance(from, to time.Time, leaving map[string]time.Time, weight func(*targetLog) float64) float64 {
	services := map[string][]*targetLog{}
	for _, s := range e.targets {
		services[s.service] = append(services[s.service], s)
	}
	var values []float64
	for _, targets := range services {
		scale := meanWeight(targets, weight)
		for begin := from; !begin.Add(imbalanceWindow).After(to); begin = begin.Add(imbalanceWindow) {
			value, busy := windowImbalance(targets, begin, leaving, func(s *targetLog) float64 { return weight(s) / scale })
			if busy {
				values = append(values, value)
			}
		}
	}
	return quantile(values, imbalanceQuantile)
}

// speedWeight weights the slots of a target by its measured speed.
func speedWeight(s *targetLog) float64 { return s.measuredSpeed() }

// equalWeight weights all slots equally.
func equalWeight(*targetLog) float64 { return 1 }

// meanWeight returns the mean weight of the targets. Weights are divided by it,
// so that minMeanUtilization does not depend on the unit of speed.
func meanWeight(targets []*targetLog, weight func(*targetLog) float64) float64 {
	sum := 0.0
	for _, s := range targets {
		sum += weight(s)
	}
	return sum / float64(len(targets))
}

// windowImbalance returns the imbalance in one window. It omits targets that
// started after the beginning of the window or were listed as leaving before
// its end. busy is false if the targets are nearly idle.
func windowImbalance(targets []*targetLog, begin time.Time, leaving map[string]time.Time, weight func(*targetLog) float64) (value float64, busy bool) {
	highest, sum, n := 0.0, 0.0, 0
	for _, s := range targets {
		left, leaves := leaving[s.name]
		if s.firstListen.After(begin) || leaves && left.Before(begin.Add(imbalanceWindow)) {
			continue
		}
		utilization := s.busyTime(begin).Seconds() / imbalanceWindow.Seconds() / (float64(s.slots) * weight(s))
		highest = math.Max(highest, utilization)
		sum += utilization
		n++
	}
	mean := sum / float64(max(n, 1))
	if mean <= minMeanUtilization {
		return 0, false
	}
	return highest / mean, true
}

// busyTime returns the time for which slots were held, summed over the slots,
// in the window that starts at begin.
func (s *targetLog) busyTime(begin time.Time) time.Duration {
	end := begin.Add(imbalanceWindow)
	total := time.Duration(0)
	for _, use := range s.slotUse {
		from, to := use.start, use.end
		if from.Before(begin) {
			from = begin
		}
		if to.After(end) {
			to = end
		}
		total += max(0, to.Sub(from))
	}
	return total
}

// quantile returns the q-quantile of values by the nearest-rank method. It sorts
// values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	rank := int(math.Ceil(q*float64(len(values)))) - 1
	return values[max(0, rank)]
}
