package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilweir.example/node/settings"
)

type authority struct {
	t    *testing.T
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	dir  string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir(), cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}}
	a.key = a.issueCertificate("ca", a.cert, a.cert, nil)
	return a
}

func (a *authority) issueCertificate(name string, template, parent *x509.Certificate, signer *ecdsa.PrivateKey) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	a.writePEM(name+".crt", "CERTIFICATE", der)
	a.writePEM(name+".key", "PRIVATE KEY", keyDER)
	return key
}

func (a *authority) writePEM(name, kind string, der []byte) {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(a.t, os.WriteFile(filepath.Join(a.dir, name), block, 0o600))
}

func (a *authority) newTLSConfigs(dnsName string) (server, client *tls.Config) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{dnsName},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	a.issueCertificate("process", template, a.cert, a.key)
	server, client, err := LoadTLS(settings.TLS{
		CA:          filepath.Join(a.dir, "ca.crt"),
		Certificate: filepath.Join(a.dir, "process.crt"),
		Key:         filepath.Join(a.dir, "process.key"),
	})
	assert.NilError(a.t, err)
	return server, client
}

func serve(t *testing.T, addr netip.AddrPort, config *tls.Config, handler http.HandlerFunc) (netip.AddrPort, func()) {
	server, err := NewServer(addr, config, handler)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	stop := func() {
		cancel()
		assert.NilError(t, <-done)
	}
	return server.Addr(), stop
}

func newTestClient(t *testing.T, config *tls.Config) *Client {
	client := NewClient(config)
	t.Cleanup(func() { assert.NilError(t, client.Close()) })
	return client
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// TestRoundTrip checks that request and response bodies arrive unchanged, and
// that a status code other than 2xx is returned as an error.
func TestRoundTrip(t *testing.T) {
	server, client := newAuthority(t).newTLSConfigs(DNSName)
	addr, stop := serve(t, loopback, server, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/echo" {
			http.Error(w, "no such message", http.StatusNotFound)
			return
		}
		_, _ = io.Copy(w, r.Body)
	})
	defer stop()
	c := newTestClient(t, client)
	answer, err := c.RoundTrip(t.Context(), addr, http.MethodPost, "/echo", []byte("hello"))
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "hello")

	_, err = c.RoundTrip(t.Context(), addr, http.MethodGet, "/other", nil)
	var status *StatusError
	assert.Assert(t, errors.As(err, &status))
	assert.Equal(t, status.Code, http.StatusNotFound)
}

// TestRefusesForeignPeers checks that both sides refuse a certificate that
// another CA signed or that is issued for another DNS name.
func TestRefusesForeignPeers(t *testing.T) {
	own := newAuthority(t)
	goodServer, goodClient := own.newTLSConfigs(DNSName)
	otherNameServer, otherNameClient := own.newTLSConfigs("service.example")
	foreignServer, foreignClient := newAuthority(t).newTLSConfigs(DNSName)
	cases := map[string]struct{ server, client *tls.Config }{
		"client of another cluster": {goodServer, withRootsOf(foreignClient, goodClient)},
		"server of another cluster": {foreignServer, goodClient},
		"client with another name":  {goodServer, otherNameClient},
		"server with another name":  {otherNameServer, goodClient},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr, stop := serve(t, loopback, c.server, func(http.ResponseWriter, *http.Request) {
				t.Error("the handler ran")
			})
			defer stop()
			_, err := newTestClient(t, c.client).RoundTrip(t.Context(), addr, http.MethodGet, "/", nil)
			assert.Assert(t, err != nil)
		})
	}
}

// withRootsOf returns the client configuration with the CA of trusting. The
// client then accepts the server, so that only the server can refuse.
func withRootsOf(client, trusting *tls.Config) *tls.Config {
	client = client.Clone()
	client.RootCAs = trusting.RootCAs
	return client
}

// TestReplacedProcessIsReached checks that a client reaches a process that was
// restarted at the same address. The pooled connection to the old process never
// receives a response and must expire.
func TestReplacedProcessIsReached(t *testing.T) {
	server, client := newAuthority(t).newTLSConfigs(DNSName)
	ok := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	addr, stop := serve(t, loopback, server, ok)
	c := newTestClient(t, client)
	_, err := c.RoundTrip(t.Context(), addr, http.MethodGet, "/", nil)
	assert.NilError(t, err)
	stop()
	_, stop = serve(t, addr, server, ok)
	defer stop()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if _, err = c.RoundTrip(ctx, addr, http.MethodGet, "/", nil); err == nil {
			break
		}
	}
	assert.NilError(t, err)
}
