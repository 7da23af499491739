package load

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	dialTimeout = 3 * time.Second
	// keepAlivesPerIdleTimeout is the number of keep-alive packets during an
	// idle timeout.
	keepAlivesPerIdleTimeout = 5
)

// flow is one QUIC connection of a caller, with a UDP socket of its own.
type flow struct {
	transport *quic.Transport
	conn      *quic.Conn
	http      *http3.ClientConn
	// requests tracks the requests in progress.
	requests sync.WaitGroup
	// closing reports whether the caller closes the connection.
	closing atomic.Bool
	// interrupted reports whether the connection ended during a request.
	interrupted atomic.Bool
}

func dial(ctx context.Context, service Service, tlsConfig *tls.Config, idleTimeout time.Duration) (*flow, error) {
	socket, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	transport := &quic.Transport{Conn: socket}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	config := &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: idleTimeout / keepAlivesPerIdleTimeout, HandshakeIdleTimeout: dialTimeout}
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(service.Address), tlsConfig, config)
	if err != nil {
		transport.Close()
		socket.Close()
		return nil, trace.Wrap(err)
	}
	f := &flow{transport: transport, conn: conn, http: (&http3.Transport{DisableCompression: true}).NewClientConn(conn)}
	context.AfterFunc(conn.Context(), func() {
		transport.Close()
		socket.Close()
	})
	return f, nil
}

// beginRequest records the start of a request. The caller must call end when the
// request has ended.
func (f *flow) beginRequest() (end func()) {
	f.requests.Add(1)
	return f.requests.Done
}

func (f *flow) alive() bool { return f.conn.Context().Err() == nil }

// closeWhenIdle waits for the requests in progress and closes the connection. It
// does not mark a connection that has already ended as closed by the caller.
func (f *flow) closeWhenIdle() {
	f.requests.Wait()
	if !f.alive() {
		return
	}
	f.closing.Store(true)
	_ = f.http.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	<-f.conn.Context().Done()
}

// broken reports whether the connection ended although neither the caller nor
// the target closed it, and the cause. A server that sent GOAWAY may close a
// connection without an error if no request is in progress.
func (f *flow) broken() (cause error, broken bool) {
	if f.alive() || f.closing.Load() {
		return nil, false
	}
	cause = context.Cause(f.conn.Context())
	var closed *quic.ApplicationError
	graceful := errors.As(cause, &closed) && closed.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError)
	if graceful && !f.interrupted.Load() {
		return nil, false
	}
	return cause, true
}
