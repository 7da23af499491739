package config

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"

	"trefoilweir.example/core/strictjson"
)

// Limits of a configuration. They are far above the sizes that the system is
// designed for. They reject values that are mistakes, such as a wrong unit.
const (
	// MaxNameLen is the longest name, in bytes.
	MaxNameLen = 63
	// MaxPathPrefixLen is the longest path prefix of a class, in bytes.
	MaxPathPrefixLen = 256
	// The constants from MaxPresets to MaxServices bound the lengths of lists.
	// MaxClassesPerService also bounds the number of metrics, because each
	// class has its own.
	MaxPresets           = 64
	MaxClassesPerService = 64
	MaxAgentNetworks     = 256
	MaxTargetsPerService = 10_000
	MaxServices          = 100_000
	// MaxHandOverPeers bounds the messages sent for one request.
	MaxHandOverPeers = 16
	// MaxQueuePerSlot is the largest queue, in requests per slot.
	MaxQueuePerSlot = 1000
	// MaxColdStartMS is ten minutes, in milliseconds.
	MaxColdStartMS = 600_000
	// MaxDeadlineMS is one day, in milliseconds.
	MaxDeadlineMS = 86_400_000
	// MaxSlots bounds the requests that a target runs at once. Datagrams carry
	// the numbers of running and queued requests in 16 bits each.
	MaxSlots = 10_000
	// MaxConnections bounds the caller connections of one agent.
	MaxConnections = 1_000_000
	// MinSpeed and MaxSpeed bound the rated speed of a target.
	MinSpeed = 0.01
	MaxSpeed = 100.0
)

// validator collects the errors of a configuration.
type validator struct {
	errs Errors
}

func (c *Config) validate() Errors {
	v := &validator{}
	v.topLevel(c)
	for i := range c.Services {
		v.service(elementPath("services", i), &c.Services[i], c.AgentNetworks)
	}
	v.unique(c.Services)
	return v.errs
}

// topLevel checks the configuration except for the content of its services.
func (v *validator) topLevel(c *Config) {
	if c.Version == 0 {
		v.errs.Addf("version", "0 or missing, want at least 1")
	}
	v.networks(c.AgentNetworks)
	v.presets(c)
	v.count("services", len(c.Services), 0, MaxServices)
}

func (v *validator) count(path string, n, lowest, highest int) {
	if n < lowest || n > highest {
		v.errs.Addf(path, "%d entries, want %d to %d entries", n, lowest, highest)
	}
}

func (v *validator) inRange(path string, n, lowest, highest int, unit string) {
	if n < lowest || n > highest {
		v.errs.Addf(path, "%d %s, want %d to %d %s", n, unit, lowest, highest, unit)
	}
}

// name checks that a name has only characters that are safe in metric labels,
// log lines and paths of values on the platform.
func (v *validator) name(path, name string) {
	if name == "" {
		v.errs.Addf(path, "is missing or empty")
		return
	}
	if len(name) > MaxNameLen {
		v.errs.Addf(path, "%d bytes, want at most %d bytes", len(name), MaxNameLen)
		return
	}
	for i := range len(name) {
		if !isNameByte(name[i], i == 0) {
			v.errs.Addf(path, "%q, want letters, digits, '-', '_' and '.', and a letter or digit first", name)
			return
		}
	}
}

func isNameByte(b byte, first bool) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	default:
		return !first && (b == '-' || b == '_' || b == '.')
	}
}

func (v *validator) networks(networks []netip.Prefix) {
	v.count("agent_networks", len(networks), 1, MaxAgentNetworks)
	for i, n := range networks {
		path := elementPath("agent_networks", i)
		switch {
		case !n.IsValid():
			v.errs.Addf(path, "is missing, want an IPv4 network such as 192.0.2.0/24")
		case !n.Addr().Is4():
			v.errs.Addf(path, "%s is not IPv4, and agents are addressed by IPv4", n)
		case n.Masked() != n:
			v.errs.Addf(path, "%s has bits after the prefix, want %s", n, n.Masked())
		}
	}
}

func (v *validator) presets(c *Config) {
	v.count("presets", len(c.Presets), 1, MaxPresets)
	names := slices.Sorted(maps.Keys(c.Presets))
	for _, name := range names {
		path := strictjson.JoinPath("presets", name)
		v.name(path, name)
		p := c.Presets[name]
		v.preset(path, &p)
	}
	if _, ok := c.Presets[c.Preset]; !ok {
		v.errs.Addf("preset", "%q is not among the presets: %s", c.Preset, strings.Join(names, ", "))
	}
}

func (v *validator) preset(path string, p *Preset) {
	minPeers := 0
	if p.HandOver {
		minPeers = 1
	}
	v.inRange(fieldPath(path, "hand_over_peers"), p.HandOverPeers, minPeers, MaxHandOverPeers, "peers")
	v.inRange(fieldPath(path, "queue_per_slot"), p.QueuePerSlot, 0, MaxQueuePerSlot, "requests per slot")
	v.inRange(fieldPath(path, "retry_budget_percent"), p.RetryBudgetPercent, 0, 100, "percent")
	v.inRange(fieldPath(path, "cold_start_ms"), p.ColdStartMS, 0, MaxColdStartMS, "ms")
	if p.Bias != BiasBalance && p.Bias != BiasLatency {
		v.errs.Addf(fieldPath(path, "bias"), "%q, want balance or latency", p.Bias)
	}
}

func (v *validator) service(path string, s *Service, networks []netip.Prefix) {
	v.name(fieldPath(path, "name"), s.Name)
	if s.ID == 0 {
		v.errs.Addf(fieldPath(path, "id"), "0 or missing, want at least 1")
	}
	v.address(fieldPath(path, "address"), s.Address)
	v.classes(path, s.Classes)
	v.count(fieldPath(path, "targets"), len(s.Targets), 0, MaxTargetsPerService)
	// The path of a target is formatted only if the target is not valid. With
	// 160,000 targets, formatting would take most of the validation time.
	for i := range s.Targets {
		if !s.Targets[i].isValid(networks) {
			v.target(elementPath(fieldPath(path, "targets"), i), &s.Targets[i], networks)
		}
	}
}

func (v *validator) address(path string, a netip.AddrPort) {
	switch {
	case !a.IsValid():
		v.errs.Addf(path, "is missing, want address:port")
	case a.Port() == 0:
		v.errs.Addf(path, "port 0, want 1 to 65535")
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		v.errs.Addf(path, "%s is not the address of one machine", a.Addr())
	case a.Addr().Zone() != "":
		v.errs.Addf(path, "%s has a zone, and zones are valid on one machine only", a.Addr())
	case a.Addr().Is4In6():
		v.errs.Addf(path, "%s is IPv4 written as IPv6, want %s", a.Addr(), a.Addr().Unmap())
	}
}

func (v *validator) classes(path string, classes []Class) {
	list := fieldPath(path, "classes")
	v.count(list, len(classes), 1, MaxClassesPerService)
	names, prefixes := map[string]int{}, map[string]int{}
	for i := range classes {
		c, classPath := &classes[i], elementPath(list, i)
		v.name(fieldPath(classPath, "name"), c.Name)
		if !strings.HasPrefix(c.PathPrefix, "/") || len(c.PathPrefix) > MaxPathPrefixLen {
			v.errs.Addf(fieldPath(classPath, "path_prefix"), "%q, want a path that starts with / and has at most %d bytes", c.PathPrefix, MaxPathPrefixLen)
		}
		v.inRange(fieldPath(classPath, "deadline_ms"), c.DeadlineMS, 0, MaxDeadlineMS, "ms")
		checkDuplicate(v, names, c.Name, list, i, "name")
		checkDuplicate(v, prefixes, c.PathPrefix, list, i, "path_prefix")
	}
}

// checkDuplicate adds an error if an earlier element of the list has the same
// value. It ignores the zero value, which other checks report.
func checkDuplicate[K comparable](v *validator, seen map[K]int, value K, list string, i int, fieldName string) {
	var zero K
	if value == zero {
		return
	}
	if first, ok := seen[value]; ok {
		v.errs.Addf(fieldPath(elementPath(list, i), fieldName), "%v is also the %s of %s", value, fieldName, elementPath(list, first))
		return
	}
	seen[value] = i
}

func containedIn(networks []netip.Prefix, a netip.Addr) bool {
	for _, n := range networks {
		if n.Contains(a) {
			return true
		}
	}
	return false
}

// isValid reports whether the fields of a target pass all checks. It does not
// check that they are unique. The method target of validator reports the
// errors of a target that is not valid.
func (t *Target) isValid(networks []netip.Prefix) bool {
	var v validator
	v.targetFields(t, networks)
	return len(v.errs) == 0
}

func (v *validator) target(path string, t *Target, networks []netip.Prefix) {
	var fields validator
	fields.targetFields(t, networks)
	for _, e := range fields.errs {
		v.errs.Addf(fieldPath(path, e.Path), "%s", e.Reason)
	}
}

func (v *validator) targetFields(t *Target, networks []netip.Prefix) {
	v.name("name", t.Name)
	v.name("data_centre", t.DataCentre)
	v.address("agent", t.Agent)
	if a := t.Agent.Addr(); a.IsValid() && !a.Is4() {
		v.errs.Addf("agent", "%s is not IPv4, and agents are addressed by IPv4", a)
	} else if a.IsValid() && !containedIn(networks, a) {
		v.errs.Addf("agent", "%s is in none of the agent_networks, so balancers would not forward to it", a)
	}
	v.address("peer", t.Peer)
	v.inRange("slots", t.Slots, 1, MaxSlots, "slots")
	v.inRange("connections", t.Connections, 1, MaxConnections, "connections")
	if math.IsNaN(t.Speed) || t.Speed < MinSpeed || t.Speed > MaxSpeed {
		v.errs.Addf("speed", "%g times the rated speed, want %g to %g", t.Speed, MinSpeed, MaxSpeed)
	}
	if t.State != TargetActive && t.State != TargetDraining {
		v.errs.Addf("state", "%q, want active or draining", t.State)
	}
}
