package load

import (
	"math"
	"slices"
	"time"
)

const (
	window = time.Second
	// minMean excludes windows in which the targets are nearly idle.
	minMean = 0.2
	// imbalanceQuantile is the quantile over the windows.
	imbalanceQuantile = 0.99
)

// imbalance is the 99th percentile, over windows of one second, of the figure
// of the highest target divided by the mean over the targets. The figure of a
// target is its busy slot time divided by capacity, which is the number of
// slots times what weight returns. Services are judged one by one; the result
// is that of all windows of all services.
func (e *Evidence) imbalance(from, to time.Time, leaving map[string]time.Time, weight func(*server) float64) float64 {
	services := map[string][]*server{}
	for _, s := range e.servers {
		services[s.service] = append(services[s.service], s)
	}
	var values []float64
	for _, servers := range services {
		scale := meanOf(servers, weight)
		for begin := from; !begin.Add(window).After(to); begin = begin.Add(window) {
			value, busy := windowImbalance(servers, begin, leaving, func(s *server) float64 { return weight(s) / scale })
			if busy {
				values = append(values, value)
			}
		}
	}
	return quantile(values, imbalanceQuantile)
}

// byMeasuredSpeed weights slots with the measured speed.
func byMeasuredSpeed(s *server) float64 { return s.measuredSpeed() }

// bySlots gives the utilization of the slots.
func bySlots(*server) float64 { return 1 }

// meanOf scales speeds to a mean of 1, so that minMean does not depend on the
// unit of speed.
func meanOf(servers []*server, weight func(*server) float64) float64 {
	sum := 0.0
	for _, s := range servers {
		sum += weight(s)
	}
	return sum / float64(len(servers))
}

// windowImbalance leaves out targets that do not take part in the window.
func windowImbalance(servers []*server, begin time.Time, leaving map[string]time.Time, weight func(*server) float64) (value float64, busy bool) {
	highest, sum, n := 0.0, 0.0, 0
	for _, s := range servers {
		left, leaves := leaving[s.name]
		if s.listening.After(begin) || leaves && left.Before(begin.Add(window)) {
			continue
		}
		figure := s.busyTime(begin).Seconds() / window.Seconds() / (float64(s.slots) * weight(s))
		highest = math.Max(highest, figure)
		sum += figure
		n++
	}
	mean := sum / float64(max(n, 1))
	if mean <= minMean {
		return 0, false
	}
	return highest / mean, true
}

// busyTime is the slot time within the window that starts at begin.
func (s *server) busyTime(begin time.Time) time.Duration {
	end := begin.Add(window)
	total := time.Duration(0)
	for _, held := range s.held {
		from, to := held.start, held.end
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

// quantile returns the nearest rank.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	rank := int(math.Ceil(q*float64(len(values)))) - 1
	return values[max(0, rank)]
}
