package settings

import (
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/strictjson"
)

// Defaults and limits.
const (
	// DefaultLogLevel is the log level if none is set.
	DefaultLogLevel = "info"
	// DefaultLingerMS is the default minimum time for which a stopping balancer
	// continues to forward, in milliseconds. It covers the lag of the
	// platform's VM list, from which a fabric learns that a balancer is
	// leaving.
	DefaultLingerMS = 5000
	// MaxLingerMS and MaxDrainLimitMS bound the settings, in milliseconds. They
	// are ten minutes, and one day, because a flow such as a ticker stays open
	// for hours.
	MaxLingerMS     = 600_000
	MaxDrainLimitMS = 86_400_000
)

// SetDefaults sets the default values of optional settings.
func (b *Balancer) SetDefaults() {
	b.LogLevel = DefaultLogLevel
	b.LingerMS = DefaultLingerMS
}

// SetDefaults sets the default values of optional settings.
func (a *Agent) SetDefaults() { a.LogLevel = DefaultLogLevel }

// FileError reports all errors of one file.
type FileError struct {
	// File is the path of the file as the caller gave it.
	File string
	// Faults are the errors, each with the path of its field.
	Faults strictjson.Errors
}

// Error implements error. It returns a line with file, field and reason for each
// fault.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.File + ": " + f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults.
func (e *FileError) Unwrap() error { return e.Faults }

// LoadBalancer reads the settings file of a balancer.
func LoadBalancer(file string) (*Balancer, error) {
	var b Balancer
	return &b, load(file, &b, func(e *strictjson.Errors) { b.validate(e) })
}

// LoadAgent reads the settings file of an agent.
func LoadAgent(file string) (*Agent, error) {
	var a Agent
	return &a, load(file, &a, func(e *strictjson.Errors) { a.validate(e) })
}

func load(file string, dst any, validate func(*strictjson.Errors)) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	errs := strictjson.Decode(data, dst)
	// A field with a wrong type keeps its zero value. Validation would report
	// the field a second time, as missing.
	var invalid strictjson.Errors
	if !isSyntaxError(errs) {
		validate(&invalid)
	}
	errs = append(errs, omitReported(errs, invalid)...)
	if len(errs) > 0 {
		return &FileError{File: file, Faults: errs}
	}
	return nil
}

func isSyntaxError(errs strictjson.Errors) bool {
	return len(errs) == 1 && errs[0].Path == ""
}

func omitReported(reported, errs strictjson.Errors) strictjson.Errors {
	var out strictjson.Errors
	for _, e := range errs {
		duplicate := false
		for _, f := range reported {
			duplicate = duplicate || f.Path == e.Path || strings.HasPrefix(e.Path, f.Path+".")
		}
		if !duplicate {
			out = append(out, e)
		}
	}
	return out
}

func (c *Common) validate(e *strictjson.Errors) {
	requireText(e, "name", c.Name)
	requireText(e, "data_centre", c.DataCentre)
	requireAddress(e, "datagram_address", c.DatagramAddress)
	requireAddress(e, "peer_address", c.PeerAddress)
	requireAddress(e, "operator_address", c.OperatorAddress)
	requireText(e, "keys_file", c.KeysFile)
	requireText(e, "tls.ca", c.TLS.CA)
	requireText(e, "tls.certificate", c.TLS.Certificate)
	requireText(e, "tls.key", c.TLS.Key)
	if c.DatagramAddress.IsValid() && c.DatagramAddress == c.PeerAddress && c.PeerAddress.Port() != 0 {
		e.Addf("peer_address", "%s is also the datagram address, and both use UDP", c.PeerAddress)
	}
	c.validatePlatform(e)
	switch c.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		e.Addf("log_level", "%q, want debug, info, warn or error", c.LogLevel)
	}
}

func (c *Common) validatePlatform(e *strictjson.Errors) {
	if len(c.Platform) == 0 {
		e.Addf("platform", "no base URL of the configuration service, want at least one")
	}
	for i, base := range c.Platform {
		u, err := url.Parse(base)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			e.Addf(elementPath("platform", i), "%q is not a base URL such as http://192.0.2.1:8500", base)
		}
	}
}

func (b *Balancer) validate(e *strictjson.Errors) {
	b.Common.validate(e)
	seen := map[netip.AddrPort]string{}
	for _, service := range sortedKeys(b.Listen) {
		path := strictjson.JoinPath("listen", service)
		a := b.Listen[service]
		requireAddress(e, path, a)
		if other, ok := seen[a]; ok && a.Port() != 0 {
			e.Addf(path, "%s is also the address of service %s", a, other)
		}
		seen[a] = service
	}
	checkMilliseconds(e, "linger_ms", b.LingerMS, MaxLingerMS)
}

func (a *Agent) validate(e *strictjson.Errors) {
	a.Common.validate(e)
	// Connection IDs hold an IPv4 address.
	if d := a.DatagramAddress; d.IsValid() && !d.Addr().Unmap().Is4() {
		e.Addf("datagram_address", "%s is not IPv4, and agents are addressed by IPv4", d)
	}
	requireText(e, "service", a.Service)
	requireText(e, "target", a.Target)
	requireAddress(e, "target_address", a.TargetAddress)
	if a.TargetAddress.IsValid() && a.TargetAddress.Port() == 0 {
		e.Addf("target_address", "port 0, want the port of the target")
	}
	requireText(e, "service_certificate", a.ServiceCertificate)
	requireText(e, "service_key", a.ServiceKey)
	checkMilliseconds(e, "drain_limit_ms", a.DrainLimitMS, MaxDrainLimitMS)
}
