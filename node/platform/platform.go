// Package platform reads the platform's configuration service: values by key,
// with revisions, that can be read and watched.
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

// Keys of values.
const (
	// KeyManifest is the manifest of the published configuration.
	KeyManifest = "manifest"
	// KeyVMs is the list of VMs.
	KeyVMs = "vms"
)

const (
	// DefaultTimeout bounds a read. The platform answers in milliseconds.
	DefaultTimeout = 2 * time.Second
	// maxBodySize bounds an answer, in bytes. A value has at most 1 MB; the list
	// of VMs of a large fleet is longer.
	maxBodySize = 8 << 20
	// minBackoff and maxBackoff bound the wait after all base URLs failed.
	// The upper bound is under the time in which a change has to be active,
	// so that a platform that has come back is noticed in that time.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// maxIdleConnsPerHost covers two watches and some reads of parts.
	maxIdleConnsPerHost = 8
)

// ErrNotFound says that the platform has no such key. It is an answer, and
// causes no backoff.
var ErrNotFound = errors.New("platform has no such key")

// Value is a value of a key.
type Value struct {
	// Revision changes with the value.
	Revision uint64 `json:"revision"`
	// Data is the value as JSON.
	Data json.RawMessage `json:"value"`
}

// Options of a Reader.
type Options struct {
	// URLs are the base URLs of the platform. The first that answers is used
	// until it fails.
	URLs []string
	// Timeout bounds a read, and is added to the wait of a watch. Default
	// DefaultTimeout.
	Timeout time.Duration
	// Seed of the jitter.
	Seed uint64
	// Metrics receives counters. Optional.
	Metrics *metrics.Set
}

// Reader reads values. It is safe for concurrent use. After a failure of all
// base URLs, calls wait for a growing time with jitter, so that a platform
// that returns is not met by all processes at once.
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
		return nil, trace.BadParameter("platform: no base URL")
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
			return nil, trace.BadParameter("platform %q: %v", base, err)
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

// Watch returns the value of a key when its revision is above after, or what
// it is after the wait.
func (r *Reader) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return r.call(ctx, key, query, wait+r.timeout)
}

// call tries each base URL once.
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
		return Value{}, trace.ConnectionProblem(err, "platform %s", base.Host)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodySize+1))
	switch {
	case err != nil:
		return Value{}, trace.ConnectionProblem(err, "platform %s: answer for %s", base.Host, key)
	case response.StatusCode == http.StatusNotFound:
		return Value{}, trace.Wrap(ErrNotFound, "key %s", key)
	case response.StatusCode != http.StatusOK:
		return Value{}, trace.ConnectionProblem(nil, "platform %s answers %s for %s", base.Host, response.Status, key)
	case len(body) > maxBodySize:
		return Value{}, trace.LimitExceeded("platform %s: value of %s is over %d bytes", base.Host, key, maxBodySize)
	}
	var v Value
	if err := json.Unmarshal(body, &v); err != nil {
		return Value{}, trace.BadParameter("platform %s: answer for %s: %v", base.Host, key, err)
	}
	return v, nil
}

// waitForBackoff waits until the backoff is over.
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

// preferNext moves on to the next base URL, unless another call did so already.
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
