package load

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// tickerLead is the time between the start of the tickers and the first
// request.
const tickerLead = 200 * time.Millisecond

// run is a run of callers.
type run struct {
	options *Options
	tls     []*tls.Config
	record  *recorder
}

// Run starts the callers and returns when all requests have ended.
func Run(ctx context.Context, options Options) (Results, error) {
	r := &run{options: &options, record: newRecorder(options.Log)}
	for _, service := range options.Services {
		config, err := options.tlsConfig(service.Name)
		if err != nil {
			return Results{}, trace.Wrap(err)
		}
		r.tls = append(r.tls, config)
	}
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	tickers := r.startTickers(ctx, stop)
	sleep(ctx, tickerLead)
	r.runSessions(ctx)
	cancel()
	tickers.Wait()
	return r.record.finish(), nil
}

func (r *run) session(service int) *session {
	return &session{options: r.options, service: r.options.Services[service], tls: r.tls[service], record: r.record}
}

func (r *run) startTickers(ctx, stop context.Context) *sync.WaitGroup {
	var group sync.WaitGroup
	for i, service := range r.options.Services {
		for n := range r.options.Tickers {
			id := fmt.Sprintf("%s-%d-ticker-%d", service.Name, r.options.Seed, n)
			group.Go(func() {
				s := r.session(i)
				r.record.add(s.ticker(ctx, stop, id))
				s.finish()
			})
		}
	}
	return &group
}

// runSessions deals the requests of each service to its sessions in turn.
func (r *run) runSessions(ctx context.Context) {
	begin := time.Now()
	hands := make(map[[2]int][]planned)
	perService := max(1, r.options.Sessions/len(r.options.Services))
	dealt := make([]int, len(r.options.Services))
	for _, p := range plan(r.options) {
		hand := [2]int{p.service, dealt[p.service] % perService}
		dealt[p.service]++
		hands[hand] = append(hands[hand], p)
	}
	var group sync.WaitGroup
	for key, requests := range hands {
		group.Go(func() { r.runCaller(ctx, key[0], requests, begin) })
	}
	group.Wait()
}

// runCaller runs one session after the other. A session that has sent its last
// request ends in the background, so that it does not delay the next one.
func (r *run) runCaller(ctx context.Context, service int, requests []planned, begin time.Time) {
	var group sync.WaitGroup
	for len(requests) > 0 {
		n := min(r.options.RequestsPerSession, len(requests))
		s := r.session(service)
		var open sync.WaitGroup
		for i := range requests[:n] {
			p := &requests[i]
			sleep(ctx, time.Until(begin.Add(p.at)))
			open.Go(func() { r.record.add(s.do(ctx, p, begin)) })
		}
		group.Go(func() {
			open.Wait()
			s.finish()
		})
		requests = requests[n:]
	}
	group.Wait()
}
