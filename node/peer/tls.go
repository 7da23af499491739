// Package peer is the link between the system's own processes: HTTP/3 with
// mutual TLS under the cluster's certificate authority.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"

	"trefoilweir.example/node/settings"
)

// DNSName is the DNS name that the certificate of every process carries.
const DNSName = "peer.trefoilweir.internal"

// LoadTLS loads the certificates of a process and returns the configurations for
// both ends of the peer link. Each end verifies the other against the cluster
// CA and Name.
func LoadTLS(files settings.TLS) (server, client *tls.Config, err error) {
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, nil, trace.Wrap(trace.ConvertSystemError(err), "tls.ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, trace.BadParameter("tls.ca: %s has no certificate", files.CA)
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, nil, trace.BadParameter("tls.certificate %s and tls.key %s: %v", files.Certificate, files.Key, err)
	}
	base := tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		// A resumed session would skip the check of the name.
		SessionTicketsDisabled: true,
	}
	server, client = base.Clone(), base.Clone()
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = pool
	server.VerifyConnection = verifyName
	client.RootCAs = pool
	client.ServerName = DNSName
	return server, client, nil
}

// verifyName checks the name of a client certificate. crypto/tls checks names
// only at the client.
func verifyName(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("no client certificate")
	}
	return state.PeerCertificates[0].VerifyHostname(DNSName)
}
