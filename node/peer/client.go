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
	// maxAnswer bounds the answer that RoundTrip reads, in bytes. The largest
	// answer is a configuration part of at most 1 MB.
	maxAnswer = 4 << 20
	// sweepInterval is how often unused connections are closed, because
	// keep-alives would keep them open for ever.
	sweepInterval = 30 * time.Second
)

// StatusError is an answer with a status other than 2xx.
type StatusError struct {
	Code int
	Body []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("peer answered %d %s: %.200s", e.Code, http.StatusText(e.Code), e.Body)
}

// Client sends requests to other processes of the cluster. It keeps one
// connection per address and is safe for concurrent use.
type Client struct {
	transport *http3.Transport

	mu       sync.Mutex
	sweeping bool
	closed   bool
	sweep    *time.Timer
}

// NewClient returns a client. The TLS configuration is that of TLS.
func NewClient(config *tls.Config) *Client {
	quicConfig := quicConfig()
	quicConfig.MaxIncomingStreams = 0
	return &Client{transport: &http3.Transport{
		TLSClientConfig:    config,
		QUICConfig:         quicConfig,
		DisableCompression: true,
	}}
}

// Do sends a request to the process at addr. The request's URL needs only a
// path and query; its Host stays as it is. The caller closes the body of the
// response.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, request *http.Request) (*http.Response, error) {
	out := request.WithContext(ctx)
	target := *request.URL
	target.Scheme, target.Host = "https", addr.String()
	out.URL = &target
	c.scheduleSweep()
	response, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, trace.Wrap(err, "peer %s", addr)
	}
	return response, nil
}

// RoundTrip sends one message and returns the body of the answer. An answer
// with a status other than 2xx gives a *StatusError.
func (c *Client) RoundTrip(ctx context.Context, addr netip.AddrPort, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, "https://"+DNSName+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.BadParameter("peer request %s %s: %v", method, path, err)
	}
	if len(body) == 0 {
		request.Body, request.GetBody = nil, nil
	}
	response, err := c.Do(ctx, addr, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return nil, trace.Wrap(err, "answer of peer %s", addr)
	}
	if len(answer) > maxAnswer {
		return nil, trace.LimitExceeded("answer of peer %s is over %d bytes", addr, maxAnswer)
	}
	if response.StatusCode/100 != 2 {
		return nil, &StatusError{Code: response.StatusCode, Body: answer}
	}
	return answer, nil
}

func (c *Client) scheduleSweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sweeping || c.closed {
		return
	}
	c.sweeping = true
	c.sweep = time.AfterFunc(sweepInterval, func() {
		c.mu.Lock()
		c.sweeping = false
		c.mu.Unlock()
		c.transport.CloseIdleConnections()
	})
}

// Close ends all connections.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	if c.sweep != nil {
		c.sweep.Stop()
	}
	c.mu.Unlock()
	return trace.Wrap(c.transport.Close())
}
