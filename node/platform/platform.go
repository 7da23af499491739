// Package platform is a client of the platform's configuration service. The
// service holds values by key. Each value has a revision, and a client can read
// a value or watch it for changes.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
)

// Keys of the values that a process reads.
const (
	// KeyManifest is the key of the manifest of the published configuration.
	KeyManifest = "manifest"
	// KeyVMs is the key of the list of VMs.
	KeyVMs = "vms"
)

const (
	// DefaultTimeout is the default timeout of a read. The platform responds
	// within milliseconds.
	DefaultTimeout = 2 * time.Second
	// maxBodySize bounds the body of a response, in bytes. A value has at most
	// 1 MB, except the list of VMs, which is longer in a large fleet.
	maxBodySize = 8 << 20
	// minBackoff and maxBackoff bound the delay after all base URLs failed.
	// maxBackoff is shorter than the time within which a change must be in
	// force, so that a process reaches a recovered platform within that time.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// maxIdleConnsPerHost covers two watches and several reads of
	// configuration parts.
	maxIdleConnsPerHost = 8
)

// ErrNotFound reports that the platform has no such key. It is a valid response
// and causes no backoff.
var ErrNotFound = errors.New("platform has no such key")

// Value is the value of a key.
type Value struct {
	// Revision rises whenever the value changes.
	Revision uint64 `json:"revision"`
	// Epoch counts how often the platform returned from an older copy of its state,
	// after which it gives out revisions again. It is 0 if the platform does not
	// tell.
	Epoch uint64 `json:"epoch,omitempty"`
	// Data is the value as JSON.
	Data json.RawMessage `json:"value"`
}

// Options configures a Reader.
type Options struct {
	// URLs are the base URLs of the platform. The Reader uses the first one
	// that responds until it fails, and then the next one.
	URLs []string
	// Timeout bounds a read. The timeout of a watch is its wait plus Timeout.
	// Zero means DefaultTimeout.
	Timeout time.Duration
	// Seed seeds the jitter of the backoff.
	Seed uint64
	// Metrics receives counters of calls and errors. It is optional.
	Metrics *metrics.Set
}

// Reader reads and watches values. It is safe for concurrent use. After all base
// URLs failed, calls are delayed by an exponential backoff with jitter, so that
// the processes do not all call a recovered platform at the same time.
type Reader struct {
	urls    []*url.URL
	timeout time.Duration
	client  *http.Client
	calls   *metrics.Counter
	errors  *metrics.Counter

	mu           sync.Mutex
	random       *rand.Rand
	preferred    int
	failedRounds int
	notBefore    time.Time
}

// New returns a Reader.
func New(o Options) (*Reader, error) {
	if len(o.URLs) == 0 {
		return nil, trace.BadParameter("platform: no base URL given")
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	r := &Reader{
		timeout: o.Timeout,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
		}},
		random: rand.New(rand.NewPCG(o.Seed, 1)),
		calls:  o.Metrics.GetOrCreateCounter("trefoilweir_platform_calls_total"),
		errors: o.Metrics.GetOrCreateCounter("trefoilweir_platform_errors_total"),
	}
	for _, base := range o.URLs {
		u, err := url.Parse(strings.TrimSuffix(base, "/"))
		if err != nil {
			return nil, trace.BadParameter("platform base URL %q: %v", base, err)
		}
		r.urls = append(r.urls, u)
	}
	return r, nil
}

// Close closes idle connections.
func (r *Reader) Close() { r.client.CloseIdleConnections() }

// Get returns the value of a key.
func (r *Reader) Get(ctx context.Context, key string) (Value, error) {
	return r.call(ctx, key, nil, r.timeout)
}

// Watch returns the value of a key as soon as its revision is above after. If
// that does not happen within wait, it returns the current value.
func (r *Reader) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return r.call(ctx, key, query, wait+r.timeout)
}

// call sends a request to each base URL, at most once, until one responds.
func (r *Reader) call(ctx context.Context, key string, query url.Values, timeout time.Duration) (Value, error) {
	if err := r.waitForBackoff(ctx); err != nil {
		return Value{}, trace.Wrap(err)
	}
	var errs []error
	for range r.urls {
		index := r.preferredIndex()
		v, err := r.read(ctx, r.urls[index], key, query, timeout)
		if err == nil || errors.Is(err, ErrNotFound) {
			r.resetBackoff()
			return v, err
		}
		if ctx.Err() != nil {
			return Value{}, trace.Wrap(ctx.Err())
		}
		errs = append(errs, err)
		r.errors.Inc()
		r.preferNext(index)
	}
	r.startBackoff()
	return Value{}, trace.NewAggregate(errs...)
}

func (r *Reader) read(ctx context.Context, base *url.URL, key string, query url.Values, timeout time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	u := base.JoinPath("v1", "values", key)
	u.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Value{}, trace.Wrap(err)
	}
	r.calls.Inc()
	response, err := r.client.Do(request)
	if err != nil {
		return Value{}, trace.ConnectionProblem(err, "platform %s: request failed", base.Host)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodySize+1))
	switch {
	case err != nil:
		return Value{}, trace.ConnectionProblem(err, "platform %s: cannot read the response for key %s", base.Host, key)
	case response.StatusCode == http.StatusNotFound:
		return Value{}, trace.Wrap(ErrNotFound, "key %s", key)
	case response.StatusCode != http.StatusOK:
		return Value{}, trace.ConnectionProblem(nil, "platform %s responded with %s for key %s", base.Host, response.Status, key)
	case len(body) > maxBodySize:
		return Value{}, trace.LimitExceeded("platform %s: response for key %s is over %d bytes", base.Host, key, maxBodySize)
	}
	var v Value
	if err := json.Unmarshal(body, &v); err != nil {
		return Value{}, trace.BadParameter("platform %s: cannot decode the response for key %s: %v", base.Host, key, err)
	}
	return v, nil
}

// waitForBackoff waits until the backoff is over or ctx ends.
func (r *Reader) waitForBackoff(ctx context.Context) error {
	r.mu.Lock()
	wait := time.Until(r.notBefore)
	r.mu.Unlock()
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (r *Reader) preferredIndex() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.preferred
}

// preferNext switches to the next base URL, unless another call has already
// switched.
func (r *Reader) preferNext(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.preferred == index {
		r.preferred = (index + 1) % len(r.urls)
	}
}

func (r *Reader) resetBackoff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedRounds, r.notBefore = 0, time.Time{}
}

func (r *Reader) startBackoff() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.notBefore) {
		return
	}
	backoff := min(minBackoff<<min(r.failedRounds, 10), maxBackoff)
	r.failedRounds++
	r.notBefore = time.Now().Add(backoff/2 + time.Duration(r.random.Int64N(int64(backoff/2))))
}
