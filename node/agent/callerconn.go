package agent

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	// goAwaySpread is the period over which a draining agent sends GOAWAY to
	// its connections, so that its callers do not all reconnect at once.
	goAwaySpread = time.Second
	// closeGrace is how long a connection without requests stays open after
	// GOAWAY. The caller closes the connection once it has all answers; closing
	// it earlier could truncate an answer whose last packets were lost.
	closeGrace = 3 * time.Second
)

// callerConnKey is the context key of a request's *callerConn.
type callerConnKey struct{}

// callerConn is the connection of one caller.
type callerConn struct {
	quic     *quic.Conn
	server   *http3.Server
	now      func() time.Duration
	accepted time.Duration
	// goAwayDelay is this connection's random delay of GOAWAY, less than
	// goAwaySpread.
	goAwayDelay time.Duration

	openRequests atomic.Int64
	// idleSince is when the connection was accepted, GOAWAY was sent or the
	// last request ended, in nanoseconds on the clock of now.
	idleSince  atomic.Int64
	goAwaySent atomic.Bool
}

// countRequests wraps handler. It counts the open requests of the connection
// and stores the connection in their contexts.
func (c *callerConn) countRequests(handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.openRequests.Add(1)
		defer func() {
			c.idleSince.Store(int64(c.now()))
			c.openRequests.Add(-1)
		}()
		handler(w, r.WithContext(context.WithValue(r.Context(), callerConnKey{}, c)))
	})
}

// goAway sends GOAWAY, which asks the caller to open no more requests on this
// connection.
func (c *callerConn) goAway() {
	if c.goAwaySent.Swap(true) {
		return
	}
	c.idleSince.Store(int64(c.now()))
	// Shutdown returns when the caller has closed the connection.
	go func() { _ = c.server.Shutdown(context.Background()) }()
}

// idleFor returns how long the connection has had no request.
func (c *callerConn) idleFor() time.Duration {
	if c.openRequests.Load() > 0 {
		return 0
	}
	return c.now() - time.Duration(c.idleSince.Load())
}

// closeIfIdle closes the connection if GOAWAY was sent and there has been no
// request for closeGrace.
func (c *callerConn) closeIfIdle() {
	if c.goAwaySent.Load() && c.idleFor() > closeGrace {
		_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "")
	}
}

// cutOff closes the connection together with its open requests.
func (c *callerConn) cutOff(reason string) {
	_ = c.quic.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason)
}
