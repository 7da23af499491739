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
	// idleTimeout is how long a connection may receive nothing before it is
	// closed. It bounds how long requests wait for a VM that was replaced.
	idleTimeout = 3 * time.Second
	// keepAliveInterval is the interval of keep-alive packets. They keep a
	// connection open while a request waits for its response.
	keepAliveInterval = time.Second
	// handshakeTimeout bounds the wait for a peer that does not respond.
	handshakeTimeout = time.Second
	// maxIncomingStreams limits the concurrent requests of one peer.
	maxIncomingStreams = 10_000
)

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIdleTimeout:       idleTimeout,
		KeepAlivePeriod:      keepAliveInterval,
		MaxIncomingStreams:   maxIncomingStreams,
	}
}

// Server serves requests of peers.
type Server struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	http      *http3.Server
}

// NewServer returns a server that is bound to addr. config is the server
// configuration of LoadTLS.
func NewServer(addr netip.AddrPort, config *tls.Config, handler http.Handler) (*Server, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.Wrap(err, "peer address %s cannot be opened", addr)
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

// Serve handles requests until ctx ends, then closes all connections. It may be
// called only once.
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
