package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// packetSize is the size of QUIC packets, in bytes. Path MTU discovery is
	// off, because a balancer adds its header to every packet.
	packetSize = 1252
	// idleTimeout is how long a caller may be silent before its connection
	// counts as dead.
	idleTimeout = 60 * time.Second
	// keepAlivePeriod keeps connections open while their tickers have no
	// events.
	keepAlivePeriod = 15 * time.Second
	// unusedTimeout is how long a connection may have no requests before the
	// agent ends it. The agent sends GOAWAY first: a request that the caller
	// sends at that moment is then rejected and known not to have run.
	unusedTimeout = 5 * time.Minute
	// maxStreams is how many open requests a connection may have.
	maxStreams = 256
	// streamWindow and connectionWindow limit what the agent buffers per stream
	// and per connection, in bytes.
	streamWindow     = 1 << 20
	connectionWindow = 2 << 20
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes = 64 << 10
)

// callerServer accepts the callers' connections and serves HTTP/3 on each of
// them.
type callerServer struct {
	transport *quic.Transport
	listener  *quic.Listener
	handler   http.HandlerFunc
	now       func() time.Duration
	metrics   *instruments

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// newCallerServer starts to listen on the packet connection. admit decides on
// each new connection; its context ends with the connection.
func newCallerServer(conn *packetConn, ids *connIDGenerator, certificate tls.Certificate, admit func(context.Context) error) (*callerServer, error) {
	reset := quic.StatelessResetKey(ids.keys.ResetKey(ids.service))
	token := quic.TokenGeneratorKey(ids.keys.TokenKey())
	transport := &quic.Transport{
		Conn:                  conn,
		ConnectionIDGenerator: ids,
		StatelessResetKey:     &reset,
		TokenGeneratorKey:     &token,
		ConnContext: func(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
			return ctx, admit(ctx)
		},
	}
	config := http3.ConfigureTLSConfig(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
	})
	listener, err := transport.Listen(config, &quic.Config{
		MaxIdleTimeout:             idleTimeout,
		KeepAlivePeriod:            keepAlivePeriod,
		MaxIncomingStreams:         maxStreams,
		MaxStreamReceiveWindow:     streamWindow,
		MaxConnectionReceiveWindow: connectionWindow,
		InitialPacketSize:          packetSize,
		DisablePathMTUDiscovery:    true,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &callerServer{
		transport: transport, listener: listener, now: conn.now, metrics: conn.metrics,
		conns: make(map[*callerConn]struct{}),
	}, nil
}

// accept serves connections until ctx ends.
func (c *callerServer) accept(ctx context.Context) error {
	for {
		conn, err := c.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
				return nil
			}
			return trace.Wrap(err)
		}
		go c.serve(conn)
	}
}

// serve handles one connection. Each connection has its own http3.Server,
// because Shutdown, which sends GOAWAY, affects all connections of a server.
func (c *callerServer) serve(conn *quic.Conn) {
	cc := &callerConn{quic: conn, now: c.now, accepted: c.now(), goAwayDelay: rand.N(goAwaySpread)}
	cc.idleSince.Store(int64(cc.accepted))
	cc.server = &http3.Server{
		Handler:        cc.countRequests(c.handler),
		MaxHeaderBytes: maxHeaderBytes,
	}
	c.mu.Lock()
	c.conns[cc] = struct{}{}
	c.mu.Unlock()
	defer func() {
		if p := recover(); p != nil {
			c.metrics.panicked("connection")
		}
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
		c.mu.Lock()
		delete(c.conns, cc)
		c.mu.Unlock()
	}()
	_ = cc.server.ServeQUICConn(conn)
}

func (c *callerServer) list() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]*callerConn, 0, len(c.conns))
	for cc := range c.conns {
		conns = append(conns, cc)
	}
	return conns
}

// close closes the listener and all connections at once.
func (c *callerServer) close() error {
	err := c.listener.Close()
	for _, cc := range c.list() {
		cc.cutOff("agent stopped")
	}
	return trace.NewAggregate(err, c.transport.Close())
}
