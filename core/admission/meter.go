package admission

import (
	"math"
	"time"
)

const (
	// utilizationTime is the time constant of the utilization. It has to be
	// well below the window of a second in which imbalance is measured.
	utilizationTime = 300 * time.Millisecond
	// serviceWeight is the weight of the newest sample in a mean service
	// time. With exponential work, 1/64 leaves a standard error near 9%.
	serviceWeight = 1.0 / 64
	// fewSamples is the number of samples below which a mean is not used.
	fewSamples = 16
)

// meter measures the local target.
type meter struct {
	// utilization is the mean number of requests on the target, running or
	// waiting, per slot.
	utilization float64
	service     average
}

func (t *meter) advance(dt time.Duration, requests, slots int) {
	if dt <= 0 {
		return
	}
	keep := math.Exp(-float64(dt) / float64(utilizationTime))
	t.utilization = t.utilization*keep + float64(requests)/float64(slots)*(1-keep)
}

func (t *meter) served(d time.Duration) { t.service.add(d) }

// serviceTime is zero until enough requests have been measured.
func (t *meter) serviceTime() time.Duration { return t.service.value() }

// average is an exponentially weighted mean that starts as a plain mean.
type average struct {
	mean float64
	n    int
}

func (a *average) add(d time.Duration) {
	a.n++
	w := max(serviceWeight, 1/float64(a.n))
	a.mean += (float64(d) - a.mean) * w
}

func (a *average) value() time.Duration {
	if a.n < fewSamples {
		return 0
	}
	return time.Duration(a.mean)
}
