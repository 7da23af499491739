package load

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"
	"trefoilweir.example/lab/keys"
)

// Guards against a flow that counts as broken after a graceful shutdown: the
// server rejects a request after GOAWAY, and then the caller's HTTP/3 library
// closes the connection without an error.
func TestRequestRejectedAfterGoAway(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, keys.Write(dir, []string{"booking"}))
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "service-booking.pem"), filepath.Join(dir, "service-booking-key.pem"))
	assert.NilError(t, err)
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer socket.Close()
	server := &http3.Server{
		TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{pair}}),
		Handler:   http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}
	defer server.Close()
	go func() { _ = server.Serve(socket) }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	address := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	f, err := dial(ctx, Service{Name: "booking", Address: address}, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h3"}}, 5*time.Second)
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	for n := 0; ; n++ {
		assert.NilError(t, ctx.Err(), "no request was rejected")
		r := &attemptRequest{planned: &plannedRequest{id: "r", kind: KindMap, uri: "/"}, service: "booking", address: address.String(), id: "r"}
		attempt := r.send(ctx, f, time.Second)
		if n == 0 {
			go func() { stopped <- server.Shutdown(ctx) }()
		}
		if attempt.Sent && attempt.Explicit {
			break
		}
		if !f.alive() {
			t.Skip("the connection was closed before a request could be rejected")
		}
	}
	<-f.conn.Context().Done()
	cause, broken := f.broken()
	assert.Assert(t, !broken, "%v", cause)
}
