package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// idleTimeout is when a silent connection counts as dead. A replaced VM
	// must not hold up requests for longer.
	idleTimeout = 3 * time.Second
	// keepAlive is the interval of packets that keep a connection with a
	// waiting request open.
	keepAlive = time.Second
	// handshakeTimeout bounds the wait for a peer that does not answer.
	handshakeTimeout = time.Second
	// maxStreams is how many requests one peer may have open at once.
	maxStreams = 10_000
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAlive,
		MaxIncomingStreams:   maxStreams,
	}
}

// Server answers requests of other processes of the cluster.
type Server struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	http      *http3.Server
}

// NewServer binds the address. The TLS configuration is that of TLS.
func NewServer(addr netip.AddrPort, config *tls.Config, handler http.Handler) (*Server, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err, "peer address %s", addr)
	}
	transport := &quic.Transport{Conn: socket}
	listener, err := transport.Listen(http3.ConfigureTLSConfig(config), quicConfig())
	if err != nil {
		return nil, trace.NewAggregate(err, socket.Close())
	}
	server := &http3.Server{Handler: handler, QUICConfig: quicConfig()}
	return &Server{socket: socket, transport: transport, listener: listener, http: server}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() netip.AddrPort {
	return s.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Serve answers requests until ctx ends, then closes all connections. It can
// be called once.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err := s.http.ServeListener(s.listener)
	closeErr := trace.NewAggregate(s.http.Close(), s.transport.Close(), s.socket.Close())
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, quic.ErrServerClosed) {
		err = nil
	}
	return trace.NewAggregate(err, closeErr)
}
