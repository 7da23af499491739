// Package load runs HTTP/3 callers against services and judges the outcome
// from both sides: from what the callers saw and from what the targets logged.
package load

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/lab/keys"
)

// Service is a service under load.
type Service struct {
	Name    string
	Address netip.AddrPort
	// Weight is the share of the requests, relative to the other services.
	Weight int
}

// Mix names a mix of requests.
type Mix string

// The mixes.
const (
	// MixFull has all kinds of requests.
	MixFull Mix = "full"
	// MixMap has only requests for a hall map.
	MixMap Mix = "map"
)

// Options describe a run.
type Options struct {
	Services []Service
	// CAFile holds the authority of the services' certificates.
	CAFile string
	// Seed determines the plan of all requests.
	Seed uint64
	// Requests is the number of requests without the tickers.
	Requests int
	// Rate is the mean number of requests per second. Arrivals are a Poisson
	// process that does not wait for answers.
	Rate float64
	// Sessions is the number of sessions at a time, over all services.
	Sessions int
	// RequestsPerSession is the number of requests of a session.
	RequestsPerSession int
	// Tickers is the number of tickers per service. They stay open during the
	// whole run.
	Tickers int
	// TickInterval is the time between the lines of a ticker.
	TickInterval time.Duration
	// WorkMS is the mean work of a request at speed 1, in milliseconds.
	WorkMS float64
	// Mix selects the kinds of requests.
	Mix Mix
	// NoTickets leaves out the Idempotency-Key, so that a request with an
	// unknown outcome is not repeated.
	NoTickets bool
	// MaxAttempts bounds the attempts of a request.
	MaxAttempts int
	// Timeout bounds one attempt.
	Timeout time.Duration
	// IdleTimeout bounds the time until a caller notices that its agent is
	// gone without a trace.
	IdleTimeout time.Duration
	// Log receives events.
	Log *zap.Logger
}

// Defaults returns options without services and files.
func Defaults() Options {
	return Options{
		Seed: 1, Requests: 2000, Rate: 100, Sessions: 40, RequestsPerSession: 12, Tickers: 4,
		TickInterval: 200 * time.Millisecond, WorkMS: 40, Mix: MixFull, MaxAttempts: 5,
		Timeout: 15 * time.Second, IdleTimeout: 10 * time.Second, Log: zap.NewNop(),
	}
}

// tlsConfig returns the TLS settings of callers of a service.
func (o *Options) tlsConfig(service string) (*tls.Config, error) {
	pem, err := os.ReadFile(o.CAFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("%s holds no certificate", o.CAFile)
	}
	return &tls.Config{RootCAs: roots, ServerName: keys.ServiceDNSName(service), NextProtos: []string{"h3"}}, nil
}
