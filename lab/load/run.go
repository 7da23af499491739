package load

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// tickerHeadStart is the time between the start of the tickers and the start of
// the sessions.
const tickerHeadStart = 200 * time.Millisecond

// runner holds the state of a run.
type runner struct {
	options    *Options
	tlsConfigs []*tls.Config
	recorder   *recorder
}

// Run starts the callers and returns the results when all requests and tickers
// have ended.
func Run(ctx context.Context, options Options) (Results, error) {
	r := &runner{options: &options, recorder: newRecorder(options.Log)}
	for _, service := range options.Services {
		config, err := options.tlsConfig(service.Name)
		if err != nil {
			return Results{}, trace.Wrap(err)
		}
		r.tlsConfigs = append(r.tlsConfigs, config)
	}
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	tickers := r.startTickers(ctx, stop)
	sleep(ctx, tickerHeadStart)
	r.runSessions(ctx)
	cancel()
	tickers.Wait()
	return r.recorder.finalResults(), nil
}

func (r *runner) newSession(serviceIndex int) *session {
	return &session{options: r.options, service: r.options.Services[serviceIndex], tlsConfig: r.tlsConfigs[serviceIndex], recorder: r.recorder}
}

func (r *runner) startTickers(ctx, stop context.Context) *sync.WaitGroup {
	var group sync.WaitGroup
	for i, service := range r.options.Services {
		for n := range r.options.Tickers {
			id := fmt.Sprintf("%s-%d-ticker-%d", service.Name, r.options.Seed, n)
			group.Go(func() {
				s := r.newSession(i)
				r.recorder.addResult(s.runTicker(ctx, stop, id))
				s.closeFlows()
			})
		}
	}
	return &group
}

// runSessions distributes the requests of each service round-robin to its
// callers and waits for them.
func (r *runner) runSessions(ctx context.Context) {
	begin := time.Now()
	perCaller := make(map[[2]int][]plannedRequest)
	callersPerService := max(1, r.options.Sessions/len(r.options.Services))
	assigned := make([]int, len(r.options.Services))
	for _, p := range plan(r.options) {
		caller := [2]int{p.serviceIndex, assigned[p.serviceIndex] % callersPerService}
		assigned[p.serviceIndex]++
		perCaller[caller] = append(perCaller[caller], p)
	}
	var group sync.WaitGroup
	for caller, requests := range perCaller {
		group.Go(func() { r.runCaller(ctx, caller[0], requests, begin) })
	}
	group.Wait()
}

// runCaller runs one session after another. After the last request of a session
// has started, the session closes in the background, so that it does not delay
// the next one.
func (r *runner) runCaller(ctx context.Context, serviceIndex int, requests []plannedRequest, begin time.Time) {
	var group sync.WaitGroup
	for len(requests) > 0 {
		n := min(r.options.RequestsPerSession, len(requests))
		s := r.newSession(serviceIndex)
		var inFlight sync.WaitGroup
		for i := range requests[:n] {
			p := &requests[i]
			sleep(ctx, time.Until(begin.Add(p.offset)))
			inFlight.Go(func() { r.recorder.addResult(s.do(ctx, p, begin)) })
		}
		group.Go(func() {
			inFlight.Wait()
			s.closeFlows()
		})
		requests = requests[n:]
	}
	group.Wait()
}
