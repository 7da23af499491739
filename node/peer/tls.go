// Package peer connects the processes of a cluster to each other over HTTP/3
// with mutual TLS. A peer is another process of the same cluster; its
// certificate is signed by the cluster's certificate authority.
package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/gravitational/trace"

	"trefoilweir.example/node/settings"
)

// DNSName is the DNS name in the certificate of every process.
const DNSName = "peer.trefoilweir.internal"

// LoadTLS reads the certificate files of a process and returns its TLS
// configurations as a server and as a client of peers. Each side requires a
// certificate that is signed by the cluster CA and issued for DNSName.
func LoadTLS(files settings.TLS) (server, client *tls.Config, err error) {
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, nil, trace.Wrap(trace.ConvertSystemError(err), "tls.ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, trace.BadParameter("tls.ca: %s contains no PEM certificate", files.CA)
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, nil, trace.BadParameter("tls.certificate %s and tls.key %s cannot be loaded: %v", files.Certificate, files.Key, err)
	}
	base := tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		// A resumed session would skip the check of the peer's name.
		SessionTicketsDisabled: true,
	}
	server, client = base.Clone(), base.Clone()
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = pool
	server.VerifyConnection = verifyClientName
	client.RootCAs = pool
	client.ServerName = DNSName
	return server, client, nil
}

// verifyClientName checks that the client certificate is issued for DNSName.
// crypto/tls verifies names only on the client side.
func verifyClientName(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("peer sent no client certificate")
	}
	return state.PeerCertificates[0].VerifyHostname(DNSName)
}
