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

type purposeKeys struct {
	Active      int               `json:"active"`
	Generations map[string]string `json:"generations"`
}

func readKeys(t *testing.T, dir string) map[string]purposeKeys {
	data, err := os.ReadFile(filepath.Join(dir, keys.KeysFile))
	assert.NilError(t, err)
	file := map[string]purposeKeys{}
	assert.NilError(t, json.Unmarshal(data, &file))
	return file
}

// Guards against certificates that clients or servers cannot verify under their
// DNS names.
func TestCertificatesVerify(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, keys.Write(dir, []string{"booking"}))
	ca, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	assert.NilError(t, err)
	roots := x509.NewCertPool()
	assert.Assert(t, roots.AppendCertsFromPEM(ca))
	for baseName, name := range map[string]string{"peer": keys.PeerDNSName, "service-booking": "booking.test"} {
		pair, err := tls.LoadX509KeyPair(filepath.Join(dir, baseName+".pem"), filepath.Join(dir, baseName+"-key.pem"))
		assert.NilError(t, err)
		for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
			_, err = pair.Leaf.Verify(x509.VerifyOptions{Roots: roots, DNSName: name, KeyUsages: []x509.ExtKeyUsage{usage}})
			assert.NilError(t, err)
		}
	}
}

// Guards against a rotation that replaces the keys of an earlier generation.
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
