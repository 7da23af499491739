package load

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// recorder collects the results of the callers.
type recorder struct {
	log     *zap.Logger
	mu      sync.Mutex
	results Results
	flows   []openedFlow
	// brokenTickers holds the connections with a recorded broken ticker. They
	// are not counted again as broken connections.
	brokenTickers map[*flow]bool
}

type openedFlow struct {
	flow    *flow
	service string
}

func newRecorder(log *zap.Logger) *recorder {
	return &recorder{log: log, brokenTickers: map[*flow]bool{}}
}

func (r *recorder) addFlow(service Service, f *flow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows = append(r.flows, openedFlow{f, service.Name})
}

func (r *recorder) addFailedDial(service Service, begin time.Time, err error) {
	r.log.Warn("connection not established", zap.String("service", service.Name), zap.Error(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results.FailedDials = append(r.results.FailedDials, begin)
}

func (r *recorder) addBrokenTicker(service Service, f *flow, err error) {
	r.log.Warn("ticker failed before its caller closed it", zap.String("service", service.Name), zap.Error(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenTickers[f] = true
	r.addBrokenFlow(service.Name, err)
}

// addBrokenFlow records a broken flow. The caller must hold r.mu.
func (r *recorder) addBrokenFlow(service string, cause error) {
	text := "ended without an error"
	if cause != nil {
		text = cause.Error()
	}
	r.results.BrokenFlows = append(r.results.BrokenFlows, BrokenFlow{service, time.Now(), text})
}

func (r *recorder) addResult(result Result) {
	if result.Outcome != Finished {
		r.log.Info("request not finished", zap.Any("result", result))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results.Requests = append(r.results.Requests, result)
}

// finalResults counts the connections, adds the broken ones and returns the
// results.
func (r *recorder) finalResults() Results {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results.Flows = len(r.flows)
	for _, o := range r.flows {
		cause, broken := o.flow.broken()
		if broken && !r.brokenTickers[o.flow] {
			r.log.Warn("connection ended before the caller or the target closed it", zap.String("service", o.service), zap.Error(cause))
			r.addBrokenFlow(o.service, cause)
		}
	}
	return r.results
}
