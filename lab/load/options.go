// Package load generates HTTP/3 requests to services and checks the outcome
// against what the callers saw and what the targets logged.
//
// A caller opens sessions one after another. A session uses one connection,
// called a flow, at a time. A request that must not run twice carries a ticket
// in the Idempotency-Key header; a retry after an unknown outcome uses the same
// ticket. A ticker is a request whose answer is a line per interval until
// the caller ends it. A verdict says whether an attempt ran; see core/verdict.
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

// Service is a service that receives requests.
type Service struct {
	Name    string
	Address netip.AddrPort
	// Weight is the share of the service in the requests, relative to the
	// weights of the other services.
	Weight int
}

// Mix selects the kinds of requests in a run.
type Mix string

// The mixes.
const (
	// MixFull has all kinds of requests.
	MixFull Mix = "full"
	// MixMap has only requests of KindMap, for a hall map.
	MixMap Mix = "map"
)

// Options configures a run.
type Options struct {
	Services []Service
	// CAFile is the PEM file of the certificate authority (CA) of the
	// services.
	CAFile string
	// Seed determines the plan of all requests.
	Seed uint64
	// Requests is the number of requests, excluding tickers.
	Requests int
	// Rate is the mean number of requests per second. Arrivals are a Poisson
	// process that is independent of the answers (open loop).
	Rate float64
	// Sessions is the number of concurrent sessions, over all services.
	Sessions int
	// RequestsPerSession is the number of requests after which a session ends.
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
	// NoTickets omits the Idempotency-Key, so that a request with an unknown
	// outcome is not retried.
	NoTickets bool
	// MaxAttempts limits the number of attempts of a request.
	MaxAttempts int
	// Timeout is the limit of one attempt.
	Timeout time.Duration
	// IdleTimeout is the QUIC idle timeout. It limits the time until a caller
	// detects that its agent ended without closing the connection.
	IdleTimeout time.Duration
	// Log receives events.
	Log *zap.Logger
}

// Defaults returns the default options. Services and CAFile are not set.
func Defaults() Options {
	return Options{
		Seed: 1, Requests: 2000, Rate: 100, Sessions: 40, RequestsPerSession: 12, Tickers: 4,
		TickInterval: 200 * time.Millisecond, WorkMS: 40, Mix: MixFull, MaxAttempts: 5,
		Timeout: 15 * time.Second, IdleTimeout: 10 * time.Second, Log: zap.NewNop(),
	}
}

// tlsConfig returns the TLS configuration of the callers of a service.
func (o *Options) tlsConfig(service string) (*tls.Config, error) {
	pem, err := os.ReadFile(o.CAFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("CA file %s holds no certificate", o.CAFile)
	}
	return &tls.Config{RootCAs: roots, ServerName: keys.ServiceDNSName(service), NextProtos: []string{"h3"}}, nil
}
