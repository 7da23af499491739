// Package ops serves the operator port of a process: HTTPS with mutual TLS and
// certificates of the cluster's certificate authority. It returns the status,
// metrics and health of the process, and starts a drain.
package ops

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/node/telemetry"
)

// Paths of the operator port.
const (
	PathStatus  = "/status"
	PathMetrics = "/metrics"
	PathHealth  = "/healthz"
	PathDrain   = "/drain"
)

const (
	// headerTimeout bounds the time to read the headers of a request. It
	// limits slow and silent clients.
	headerTimeout = 5 * time.Second
	// stopTimeout bounds the wait for responses in progress when the server
	// stops.
	stopTimeout = time.Second
)

// Options configures a Server.
type Options struct {
	// Address is the address to listen on.
	Address netip.AddrPort
	// TLS must require and verify a client certificate of the cluster.
	TLS *tls.Config
	// Status returns the value that /status encodes as JSON.
	Status func() any
	// Healthy returns nil if the process can serve, and else the reason.
	Healthy func() error
	// Drain starts the planned stop of the process. It must not block.
	Drain func()
	// Metrics are returned by /metrics, with those of the Go runtime.
	Metrics *metrics.Set
	// Log receives drain requests and errors of the server.
	Log *zap.Logger
}

// Server serves the operator port. Serve can be called again after it returned.
type Server struct {
	options Options
	log     *zap.Logger
}

// New returns a Server.
func New(o Options) (*Server, error) {
	if o.TLS == nil || o.TLS.ClientAuth != tls.RequireAndVerifyClientCert {
		return nil, trace.BadParameter("operator port: the TLS configuration must require a client certificate")
	}
	return &Server{options: o, log: o.Log.Named("ops")}, nil
}

// Listen binds the operator address.
func (s *Server) Listen() (net.Listener, error) {
	l, err := net.Listen("tcp", s.options.Address.String())
	return l, trace.Wrap(err, "listen on operator address %s", s.options.Address)
}

// Serve listens on the operator address and serves requests until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	l, err := s.Listen()
	if err != nil {
		return trace.Wrap(err)
	}
	return s.ServeListener(ctx, l)
}

// ServeListener serves requests on l until ctx ends, and closes l.
func (s *Server) ServeListener(ctx context.Context, l net.Listener) error {
	config := s.options.TLS.Clone()
	config.NextProtos = []string{"h2", "http/1.1"}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, TLSConfig: config, ErrorLog: zap.NewStdLog(s.log)}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
		_ = server.Close()
	})
	err := server.ServeTLS(l, "", "")
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// Handler returns the handler of the operator port.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, s.status)
	mux.HandleFunc("GET "+PathMetrics, s.metrics)
	mux.HandleFunc("GET "+PathHealth, s.health)
	mux.HandleFunc("POST "+PathDrain, s.drain)
	return mux
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	data, err := json.MarshalIndent(s.options.Status(), "", "  ")
	if err != nil {
		s.log.Error("cannot encode status", telemetry.Error(err))
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	var out bytes.Buffer
	s.options.Metrics.WritePrometheus(&out)
	metrics.WriteProcessMetrics(&out)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write(out.Bytes())
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if err := s.options.Healthy(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.log.Info("drain requested", zap.String("operator", r.RemoteAddr))
	s.options.Drain()
	w.WriteHeader(http.StatusAccepted)
	_, _ = w.Write([]byte("draining\n"))
}
