package keys_test

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/lab/keys"
)

type generations struct {
	Active      int               `json:"active"`
	Generations map[string]string `json:"generations"`
}

func readKeys(t *testing.T, dir string) map[string]generations {
	data, err := os.ReadFile(filepath.Join(dir, keys.KeysFile))
	assert.NilError(t, err)
	file := map[string]generations{}
	assert.NilError(t, json.Unmarshal(data, &file))
	return file
}

// Guards against certificates that fail verification by their names.
func TestCertificatesVerify(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, keys.Write(dir, []string{"booking"}))
	ca, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	assert.NilError(t, err)
	roots := x509.NewCertPool()
	assert.Assert(t, roots.AppendCertsFromPEM(ca))
	for base, name := range map[string]string{"peer": keys.PeerDNSName, "service-booking": "booking.test"} {
		pair, err := tls.LoadX509KeyPair(filepath.Join(dir, base+".pem"), filepath.Join(dir, base+"-key.pem"))
		assert.NilError(t, err)
		for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
			_, err = pair.Leaf.Verify(x509.VerifyOptions{Roots: roots, DNSName: name, KeyUsages: []x509.ExtKeyUsage{usage}})
			assert.NilError(t, err)
		}
	}
}

// Guards against a rotation that replaces a key in use.
func TestRotationKeepsEarlierKeys(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, keys.Write(dir, nil))
	before := readKeys(t, dir)
	assert.NilError(t, keys.WriteGenerations(dir, 2, 2))
	after := readKeys(t, dir)
	for _, purpose := range []string{"connid", "datagram", "ticket"} {
		assert.Equal(t, after[purpose].Generations["1"], before[purpose].Generations["1"])
		assert.Equal(t, len(after[purpose].Generations["2"]), 32)
		assert.Equal(t, after[purpose].Active, 2)
	}
}
