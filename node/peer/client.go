package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go/http3"
)

const (
	// maxResponseBytes limits the body that RoundTrip reads. The largest
	// response is a configuration part of at most 1 MB.
	maxResponseBytes = 4 << 20
	// sweepInterval is how often unused connections are closed. Keep-alive
	// packets would otherwise keep them open for ever.
	sweepInterval = 30 * time.Second
)

// StatusError reports a response with a status code other than 2xx.
type StatusError struct {
	Code int
	Body []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("peer responded with status %d %s: %.200s", e.Code, http.StatusText(e.Code), e.Body)
}

// Client sends requests to peers. It keeps one connection per address and is
// safe for concurrent use.
type Client struct {
	transport *http3.Transport

	mu             sync.Mutex
	sweepScheduled bool
	closed         bool
	sweepTimer     *time.Timer
}

// NewClient returns a client. config is the client configuration of LoadTLS.
func NewClient(config *tls.Config) *Client {
	quicConfig := quicConfig()
	quicConfig.MaxIncomingStreams = 0
	return &Client{transport: &http3.Transport{
		TLSClientConfig:    config,
		QUICConfig:         quicConfig,
		DisableCompression: true,
	}}
}

// Do sends a request to the peer at addr. Only the path and query of the
// request's URL are used; the request's Host is sent unchanged. The caller
// closes the response body.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, request *http.Request) (*http.Response, error) {
	out := request.WithContext(ctx)
	target := *request.URL
	target.Scheme, target.Host = "https", addr.String()
	out.URL = &target
	c.scheduleSweep()
	response, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, trace.Wrap(err, "request to peer %s failed", addr)
	}
	return response, nil
}

// RoundTrip sends a request with the given body to the peer at addr and returns
// the body of the response. It returns a *StatusError if the status code is not
// 2xx.
func (c *Client) RoundTrip(ctx context.Context, addr netip.AddrPort, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, "https://"+DNSName+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.BadParameter("peer request %s %s is not valid: %v", method, path, err)
	}
	if len(body) == 0 {
		request.Body, request.GetBody = nil, nil
	}
	response, err := c.Do(ctx, addr, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, trace.Wrap(err, "response of peer %s cannot be read", addr)
	}
	if len(data) > maxResponseBytes {
		return nil, trace.LimitExceeded("response of peer %s exceeds %d bytes", addr, maxResponseBytes)
	}
	if response.StatusCode/100 != 2 {
		return nil, &StatusError{Code: response.StatusCode, Body: data}
	}
	return data, nil
}

func (c *Client) scheduleSweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sweepScheduled || c.closed {
		return
	}
	c.sweepScheduled = true
	c.sweepTimer = time.AfterFunc(sweepInterval, func() {
		c.mu.Lock()
		c.sweepScheduled = false
		c.mu.Unlock()
		c.transport.CloseIdleConnections()
	})
}

// Close closes all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	if c.sweepTimer != nil {
		c.sweepTimer.Stop()
	}
	c.mu.Unlock()
	return trace.Wrap(c.transport.Close())
}
