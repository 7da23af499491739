package admission

import (
	"math"
	"time"
)

const (
	// utilizationTimeConstant is the time constant of the mean utilization. It
	// is well below the window of a second in which imbalance is measured.
	utilizationTimeConstant = 300 * time.Millisecond
	// serviceTimeWeight is the weight of the newest sample in a mean service
	// time. With exponentially distributed work, 1/64 gives a standard error
	// near 9%.
	serviceTimeWeight = 1.0 / 64
	// minSamples is the number of samples from which a mean is used.
	minSamples = 16
)

// meter measures the local target.
type meter struct {
	// utilization is the recent mean number of requests, running or waiting,
	// per slot.
	utilization  float64
	serviceTimes ewma
}

func (m *meter) advance(dt time.Duration, requests, slots int) {
	if dt <= 0 {
		return
	}
	keep := math.Exp(-float64(dt) / float64(utilizationTimeConstant))
	m.utilization = m.utilization*keep + float64(requests)/float64(slots)*(1-keep)
}

func (m *meter) addServiceTime(d time.Duration) { m.serviceTimes.add(d) }

// serviceTime returns the mean service time, or zero until enough requests have
// been measured.
func (m *meter) serviceTime() time.Duration { return m.serviceTimes.value() }

// ewma is an exponentially weighted moving average. Up to 1/serviceTimeWeight
// samples, it is the plain mean.
type ewma struct {
	mean float64
	n    int
}

func (a *ewma) add(d time.Duration) {
	a.n++
	w := max(serviceTimeWeight, 1/float64(a.n))
	a.mean += (float64(d) - a.mean) * w
}

func (a *ewma) value() time.Duration {
	if a.n < minSamples {
		return 0
	}
	return time.Duration(a.mean)
}
