package process

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
	"trefoilweir.example/node/ops"
	"trefoilweir.example/node/peer"
	"trefoilweir.example/node/settings"
)

// writeCredentials writes a keys file and a certificate that is also the
// certificate authority.
func writeCredentials(t *testing.T) (files settings.TLS, keysFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{peer.DNSName}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	write := func(name string, data []byte) string {
		file := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(file, data, 0o600))
		return file
	}
	ca := write("ca.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}))
	keyFile := write("key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}))
	purpose := `{"active":0,"generations":{"0":"000102030405060708090a0b0c0d0e0f"}}`
	keysFile = write("keys.json", []byte(`{"connid":`+purpose+`,"datagram":`+purpose+`,"ticket":`+purpose+`}`))
	return settings.TLS{CA: ca, Certificate: ca, Key: keyFile}, keysFile
}

// startFakePlatform starts a platform with one configuration and an empty list
// of VMs, and returns its base URL.
func startFakePlatform(t *testing.T) string {
	t.Helper()
	manifest, parts, err := config.SplitFile([]byte(`{"version":3,"preset":"ordinary","agent_networks":["127.0.0.0/8"],
		"presets":{"ordinary":{}},"services":[]}`))
	assert.NilError(t, err)
	values := map[string]json.RawMessage{"manifest": manifest, "vms": []byte("[]")}
	for hash, data := range parts {
		values["parts/"+hash] = data
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		value, ok := values[strings.TrimPrefix(r.URL.Path, "/v1/values/")]
		switch {
		case !ok:
			http.NotFound(w, r)
		case r.URL.Query().Get("after") == "1":
			<-r.Context().Done()
		default:
			_ = json.NewEncoder(w).Encode(map[string]any{"revision": 1, "value": value})
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// fakeRole panics at each start while panics is above zero, and counts it down.
// Then it serves until it is stopped.
type fakeRole struct {
	panics  *int
	stopped chan struct{}
	once    sync.Once
}

func (f *fakeRole) Serve(ctx context.Context) error {
	if *f.panics > 0 {
		*f.panics--
		panic("fault in a role")
	}
	select {
	case <-f.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeRole) stop(context.Context) error { f.once.Do(func() { close(f.stopped) }); return nil }

func (f *fakeRole) status() any { return map[string]int{"flows": 5} }

func (f *fakeRole) peerHandler() http.Handler { return http.NotFoundHandler() }

func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

type operator struct {
	client *http.Client
	base   string
}

func (o operator) send(t *testing.T, method, path string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, o.base+path, nil)
	assert.NilError(t, err)
	response, err := o.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

// Guards against a role whose panic ends the process, a role that is created
// before there is a configuration, and a drain that does not end the process.
func TestProcess(t *testing.T) {
	tls, keysFile := writeCredentials(t)
	common := settings.Common{Name: "b1", DataCentre: "dhg", PeerAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		OperatorAddress: freePort(t), Platform: []string{startFakePlatform(t)}, TLS: tls, KeysFile: keysFile, LogLevel: "info"}
	panics := 1
	var log bytes.Buffer
	deps, err := newProcess(common, config.RoleBalancer, &log, func(p dependencies) (role, error) {
		assert.Equal(t, p.source.Current().Version, uint64(3))
		return &fakeRole{panics: &panics, stopped: make(chan struct{})}, nil
	})
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- deps.Run(context.Background()) }()
	_, clientTLS, err := peer.LoadTLS(tls)
	assert.NilError(t, err)
	o := operator{&http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS}}, "https://" + common.OperatorAddress.String()}
	defer o.client.CloseIdleConnections()
	deadline := time.Now().Add(10 * time.Second)
	for {
		code, body := o.send(t, http.MethodGet, ops.PathHealth)
		if _, metrics := o.send(t, http.MethodGet, ops.PathMetrics); code == http.StatusOK &&
			strings.Contains(metrics, `trefoilweir_panics_total{part="balancer"} 1`) {
			break
		}
		assert.Assert(t, time.Now().Before(deadline), "%d %s", code, body)
		time.Sleep(10 * time.Millisecond)
	}
	_, body := o.send(t, http.MethodGet, ops.PathStatus)
	assert.Assert(t, strings.Contains(body, `"version": 3`) && strings.Contains(body, `"flows": 5`), body)
	code, _ := o.send(t, http.MethodPost, ops.PathDrain)
	assert.Equal(t, code, http.StatusAccepted)
	select {
	case err := <-done:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("process did not end after a drain")
	}
	assert.Assert(t, strings.Contains(log.String(), `"message":"part panicked"`))
}

// Guards against an operator port that accepts a client without a certificate
// of the cluster.
func TestOperatorPortNeedsCertificate(t *testing.T) {
	tls, _ := writeCredentials(t)
	server, client, err := peer.LoadTLS(tls)
	assert.NilError(t, err)
	_, err = ops.New(ops.Options{TLS: client})
	assert.ErrorContains(t, err, "client certificate")
	log := zap.NewNop()
	s, err := ops.New(ops.Options{TLS: server, Log: log, Healthy: func() error { return errors.New("not yet") }})
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.ServeListener(ctx, l) }()
	healthStatus := func(withCertificate bool) int {
		config := client.Clone()
		if !withCertificate {
			config.Certificates = nil
		}
		o := operator{&http.Client{Transport: &http.Transport{TLSClientConfig: config}}, "https://" + l.Addr().String()}
		defer o.client.CloseIdleConnections()
		code, _ := o.send(t, http.MethodGet, ops.PathHealth)
		return code
	}
	assert.Equal(t, healthStatus(true), http.StatusServiceUnavailable)
	assert.Equal(t, healthStatus(false), 0)
}
