package system

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"trefoilweir.example/lab/keys"
	"trefoilweir.example/lab/layout"
	"trefoilweir.example/node/process"
)

const operatorTimeout = 500 * time.Millisecond

// statusClient reads the status of processes.
type statusClient struct{ client *http.Client }

func newStatusClient(dir string) (*statusClient, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "peer.pem"), filepath.Join(dir, "peer-key.pem"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ca, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca)
	config := &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: roots, ServerName: keys.PeerDNSName}
	return &statusClient{&http.Client{Timeout: operatorTimeout, Transport: &http.Transport{TLSClientConfig: config}}}, nil
}

func (o *statusClient) status(address netip.AddrPort) (process.Status, error) {
	var status process.Status
	response, err := o.client.Get("https://" + address.String() + "/status")
	if err != nil {
		return status, trace.Wrap(err)
	}
	defer response.Body.Close()
	return status, trace.Wrap(json.NewDecoder(response.Body).Decode(&status))
}

// operatorAddresses returns the operator addresses of all running balancers and
// agents by process name.
func (s *System) operatorAddresses() map[string]netip.AddrPort {
	addresses := map[string]netip.AddrPort{}
	for i := 1; i <= s.Plan.Balancers+s.Plan.SpareBalancers; i++ {
		addresses[layout.BalancerName(i)] = s.Plan.BalancerOperatorAddress(i)
	}
	for _, service := range s.Plan.Services {
		for i := 1; i <= service.Targets+service.SpareTargets; i++ {
			addresses[service.TargetName(i)] = s.Plan.OperatorAddress(service, i)
		}
	}
	for name := range addresses {
		if p := s.processes[name]; p == nil || !p.running() {
			delete(addresses, name)
		}
	}
	return addresses
}

// Statuses returns the status of each running balancer and agent that answers,
// by process name.
func (s *System) Statuses() map[string]process.Status {
	statuses := map[string]process.Status{}
	for name, address := range s.operatorAddresses() {
		if status, err := s.statusClient.status(address); err == nil {
			statuses[name] = status
		}
	}
	return statuses
}

// AwaitVersion waits until every running balancer and agent is ready and its role
// has applied the version or a higher one.
func (s *System) AwaitVersion(version uint64, limit time.Duration) error {
	return s.AwaitStatus(limit, func(status process.Status) bool {
		return status.Configuration.Ready && min(status.Configuration.Version, roleVersion(status)) >= version
	})
}

// roleVersion returns the configuration version that the role of a process has
// applied. A process adopts a version before its role applies it.
func roleVersion(status process.Status) uint64 {
	detail, _ := status.Detail.(map[string]any)
	for _, field := range []string{"config_version", "version"} {
		if version, ok := detail[field].(float64); ok {
			return uint64(version)
		}
	}
	return 0
}

// AwaitStatus waits until the status of every running balancer and agent meets a
// condition, or returns an error after the limit.
func (s *System) AwaitStatus(limit time.Duration, met func(process.Status) bool) error {
	deadline := time.Now().Add(limit)
	for {
		missing := s.unmetProcess(met)
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return trace.LimitExceeded("status of %s did not meet the condition within %s", missing, limit)
		}
		time.Sleep(pollInterval)
	}
}

// unmetProcess returns the name of a running balancer or agent that does not meet
// a condition, or an empty string.
func (s *System) unmetProcess(met func(process.Status) bool) string {
	statuses := s.Statuses()
	for name := range s.operatorAddresses() {
		if status, ok := statuses[name]; !ok || !met(status) {
			return name
		}
	}
	return ""
}
