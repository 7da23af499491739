package load

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// recorder collects what the callers see.
type recorder struct {
	log     *zap.Logger
	mu      sync.Mutex
	results Results
	flows   []openedFlow
	// tickers are the connections whose end is recorded as a broken ticker.
	tickers map[*flow]bool
}

type openedFlow struct {
	flow    *flow
	service string
}

func newRecorder(log *zap.Logger) *recorder { return &recorder{log: log, tickers: map[*flow]bool{}} }

func (r *recorder) opened(service Service, f *flow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flows = append(r.flows, openedFlow{f, service.Name})
}

func (r *recorder) failedDial(service Service, begin time.Time, err error) {
	r.log.Warn("connection is not established", zap.String("service", service.Name), zap.Error(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results.FailedDials = append(r.results.FailedDials, begin)
}

func (r *recorder) brokenTicker(service Service, f *flow, err error) {
	r.log.Warn("ticker ended early", zap.String("service", service.Name), zap.Error(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tickers[f] = true
	r.addBroken(service.Name, err)
}

// addBroken requires the lock.
func (r *recorder) addBroken(service string, cause error) {
	text := "ended without an error"
	if cause != nil {
		text = cause.Error()
	}
	r.results.BrokenFlows = append(r.results.BrokenFlows, BrokenFlow{service, time.Now(), text})
}

func (r *recorder) add(result Result) {
	if result.Outcome != Finished {
		r.log.Info("request not finished", zap.Any("result", result))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results.Requests = append(r.results.Requests, result)
}

// finish counts the connections and returns the results.
func (r *recorder) finish() Results {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results.Flows = len(r.flows)
	for _, o := range r.flows {
		cause, broken := o.flow.broken()
		if broken && !r.tickers[o.flow] {
			r.log.Warn("connection ended early", zap.String("service", o.service), zap.Error(cause))
			r.addBroken(o.service, cause)
		}
	}
	return r.results
}
