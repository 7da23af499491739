// Package keys writes the certificates and keys of a lab system: a certificate
// authority (CA), one certificate for the links between the processes of the
// system (peer links), one certificate per service, and the keys file. The keys
// file holds numbered generations of keys for each purpose, one of them active.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

const (
	// PeerDNSName is the DNS name in the certificate of the peer links.
	PeerDNSName = "peer.trefoilweir.internal"
	// KeysFile is the name of the file with the key generations.
	KeysFile = "keys.json"

	keyBytes            = 16
	certificateValidity = 30 * 24 * time.Hour
	// backdate sets the start of validity into the past, so that a machine
	// with a slow clock accepts a new certificate.
	backdate = time.Hour
)

// ServiceDNSName returns the DNS name in the certificate of a service.
func ServiceDNSName(service string) string { return service + ".test" }

// Write creates dir if necessary and writes a new CA certificate, the
// certificates of the peer links and the services, and the keys file. A new
// keys file holds generation 1; keys in an existing file are kept.
func Write(dir string, services []string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	ca, err := newAuthority()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", ca.certificate.Raw); err != nil {
		return trace.Wrap(err)
	}
	if err := ca.issue(dir, "peer", PeerDNSName); err != nil {
		return trace.Wrap(err)
	}
	for _, service := range services {
		if err := ca.issue(dir, "service-"+service, ServiceDNSName(service)); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(WriteGenerations(dir, 1, 1))
}

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority() (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	template := newTemplate("trefoilweir lab CA")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	certificate, err := x509.ParseCertificate(der)
	return &authority{certificate, key}, trace.Wrap(err)
}

func newTemplate(name string) *x509.Certificate {
	// Reads from rand.Reader never fail.
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(certificateValidity),
	}
}

// issue writes a certificate for both ends of mutual TLS, and its private key.
func (a *authority) issue(dir, baseName, dnsName string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	template := newTemplate(dnsName)
	template.DNSNames = []string{dnsName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := writePEM(filepath.Join(dir, baseName+".pem"), "CERTIFICATE", der); err != nil {
		return trace.Wrap(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(writePEM(filepath.Join(dir, baseName+"-key.pem"), "PRIVATE KEY", keyDER))
}

func writePEM(path, blockType string, der []byte) error {
	block := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return trace.ConvertSystemError(os.WriteFile(path, block, 0o600))
}

// purposeKeys holds the keys of one purpose by generation number. It is a value
// of the keys file.
type purposeKeys struct {
	Active int               `json:"active"`
	Keys   map[string]string `json:"generations"`
}

// WriteGenerations adds the missing generations from 1 to last to the keys file
// in dir and sets the active generation. It keeps existing keys. It replaces
// the file atomically, so that a reader never sees a partial file.
func WriteGenerations(dir string, last, active int) error {
	path := filepath.Join(dir, KeysFile)
	file, err := readGenerations(path)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, purpose := range []string{"connid", "datagram", "ticket"} {
		g := file[purpose]
		if g.Keys == nil {
			g.Keys = map[string]string{}
		}
		for n := 1; n <= last; n++ {
			if name := strconv.Itoa(n); g.Keys[name] == "" {
				g.Keys[name] = newKey()
			}
		}
		g.Active = active
		file[purpose] = g
	}
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.Rename(path+".new", path))
}

func readGenerations(path string) (map[string]purposeKeys, error) {
	file := map[string]purposeKeys{}
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return file, nil
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return file, trace.Wrap(json.Unmarshal(data, &file))
}

func newKey() string {
	key := make([]byte, keyBytes)
	// Reads from rand.Reader never fail.
	_, _ = rand.Read(key)
	return hex.EncodeToString(key)
}
