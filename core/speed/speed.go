// Package speed estimates how fast a target is, apart from the routes whose
// requests it happened to get.
//
// A request's time is the product of the work of its route, the speed of the
// target and a random factor with a long tail. So the estimator works with
// logarithms, in which the three add up and the tail is short. It keeps a mean
// for each route and reports their unweighted mean, which does not depend on the
// share of each route in the requests of this target.
package speed

import (
	"math"
	"time"
)

const (
	// meanWindow is the number of requests over which a mean is taken. The deviation
	// of one logarithm is about 0.6, so that of the mean is about 0.06.
	meanWindow = 100
	// priorWeight is the number of requests that count as much as the mean of the
	// service: the variance of one logarithm, 0.36, divided by that between
	// targets of a service, 0.04.
	priorWeight = 9
	// routePriorWeight is the same for the mean of a route, relative to that of
	// the target.
	routePriorWeight = 4
	// maxDeviation bounds by how much one request changes the means, so that
	// the few long requests do not decide.
	maxDeviation = 1.0
	// recentWeight is the weight of a request in the mean of the recent
	// deviations, and changeThreshold the mean at which the speed counts as
	// changed. A target that becomes four times slower is found after seven
	// requests. Random deviations of the recent mean are about 0.13.
	recentWeight    = 0.1
	changeThreshold = 0.5
	// meanWindowAfterChange is the number of requests that the means stand for after
	// a change.
	meanWindowAfterChange = 20
	// logMeanOffset is the difference between the logarithm of the mean time and
	// the mean of the logarithms, for times with a deviation of 0.5 of which 3%
	// are seven times longer. The same value at all targets adds no noise.
	logMeanOffset = 0.25
	// maxRoutes bounds the routes with a mean of their own.
	maxRoutes = 256
)

// average is a mean of logarithms with the number of requests that it stands
// for.
type average struct{ mean, n float64 }

func (a *average) add(x float64) {
	a.n = min(a.n+1, meanWindow)
	a.mean += (x - a.mean) / a.n
}

// Estimator estimates the speed of one target. Its zero value is ready to use.
type Estimator[R comparable] struct {
	routes map[R]*average
	// all has the requests of all routes.
	all average
	// recent is the mean of the recent deviations.
	recent float64
}

// Observe records the time of a request that did not wait.
func (e *Estimator[R]) Observe(route R, took time.Duration) {
	if took <= 0 {
		return
	}
	x := math.Log(took.Seconds())
	if e.routes == nil {
		e.routes = map[R]*average{}
	}
	r := e.routes[route]
	if r == nil {
		r = &average{}
		if len(e.routes) < maxRoutes {
			e.routes[route] = r
		}
	}
	expected := x
	if e.all.n > 0 {
		expected = e.routeMean(r)
	}
	d := min(max(x-expected, -maxDeviation), maxDeviation)
	e.all.add(expected + d)
	r.add(expected + d)
	if e.recent += recentWeight * (d - e.recent); math.Abs(e.recent) > changeThreshold {
		e.shift()
	}
}

// shift adapts all means to a change of the speed.
func (e *Estimator[R]) shift() {
	for _, r := range e.routes {
		r.mean += e.recent
		r.n = min(r.n, meanWindowAfterChange)
	}
	e.all.mean += e.recent
	e.all.n = min(e.all.n, meanWindowAfterChange)
	e.recent = 0
}

// routeMean returns the mean of a route, which is close to that of the target
// while the route has few requests.
func (e *Estimator[R]) routeMean(r *average) float64 {
	return (r.n*r.mean + routePriorWeight*e.all.mean) / (r.n + routePriorWeight)
}

// ServiceTime returns the mean time of a request that does not wait, for equal
// shares of the routes, or 0 if there were no requests. It is close to
// serviceMean, the mean of the service's targets, while the target had few
// requests. A serviceMean of 0 is not known.
func (e *Estimator[R]) ServiceTime(serviceMean time.Duration) time.Duration {
	if e.all.n == 0 {
		return 0
	}
	sum := 0.0
	for _, r := range e.routes {
		sum += e.routeMean(r)
	}
	estimate := sum/float64(len(e.routes)) + logMeanOffset
	if serviceMean > 0 {
		estimate = (e.all.n*estimate + priorWeight*math.Log(serviceMean.Seconds())) / (e.all.n + priorWeight)
	}
	return time.Duration(math.Exp(estimate) * float64(time.Second))
}

// Reset forgets all requests, because the target was replaced.
func (e *Estimator[R]) Reset() { *e = Estimator[R]{} }
