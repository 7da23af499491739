package config

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"

	"trefoilweir.example/core/strictjson"
)

// Limits of a configuration. They are far above the sizes in the design and
// exist to refuse values that are mistakes, such as a wrong unit.
const (
	// MaxNameLen is the longest name, in bytes.
	MaxNameLen = 63
	// MaxPathPrefixLen is the longest path prefix of a class, in bytes.
	MaxPathPrefixLen = 256
	// MaxPresets, MaxClasses, MaxNetworks and MaxTargets bound lists.
	// MaxClasses bounds the number of metrics, which are per class.
	MaxPresets           = 64
	MaxClassesPerService = 64
	MaxAgentNetworks     = 256
	MaxTargetsPerService = 10_000
	MaxServices          = 100_000
	// MaxHandOverPeers bounds the messages sent for one request.
	MaxHandOverPeers = 16
	// MaxQueuePerSlot is in requests per slot.
	MaxQueuePerSlot = 1000
	// MaxColdStartMS is ten minutes, in milliseconds.
	MaxColdStartMS = 600_000
	// MaxDeadlineMS is one day, in milliseconds.
	MaxDeadlineMS = 86_400_000
	// MaxSlots bounds the requests a target runs at once. The load figures
	// in datagrams have 16 bits.
	MaxSlots = 10_000
	// MaxConnections bounds the connections of one agent.
	MaxConnections = 1_000_000
	// MinSpeed and MaxSpeed bound the rated speed of a target.
	MinSpeed = 0.01
	MaxSpeed = 100.0
)

// validator collects faults.
type validator struct {
	errs Errors
}

func (c *Config) validate() Errors {
	v := &validator{}
	v.head(c)
	for i := range c.Services {
		v.service(element("services", i), &c.Services[i], c.AgentNetworks)
	}
	v.unique(c.Services)
	return v.errs
}

// head checks everything outside the services.
func (v *validator) head(c *Config) {
	if c.Version == 0 {
		v.errs.Addf("version", "0 or missing, want at least 1")
	}
	v.networks(c.AgentNetworks)
	v.presets(c)
	v.count("services", len(c.Services), 0, MaxServices)
}

func (v *validator) count(path string, n, least, most int) {
	if n < least || n > most {
		v.errs.Addf(path, "%d entries, want %d to %d entries", n, least, most)
	}
}

func (v *validator) between(path string, n, least, most int, unit string) {
	if n < least || n > most {
		v.errs.Addf(path, "%d %s, want %d to %d %s", n, unit, least, most, unit)
	}
}

// name accepts the characters that are safe in metric labels, log lines and
// paths of values on the platform.
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
		if !nameByte(name[i], i == 0) {
			v.errs.Addf(path, "%q, want letters, digits, '-', '_' and '.', and a letter or digit first", name)
			return
		}
	}
}

func nameByte(b byte, first bool) bool {
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
		at := element("agent_networks", i)
		switch {
		case !n.IsValid():
			v.errs.Addf(at, "is missing, want an IPv4 network such as 192.0.2.0/24")
		case !n.Addr().Is4():
			v.errs.Addf(at, "%s is not IPv4, and agents are addressed by IPv4", n)
		case n.Masked() != n:
			v.errs.Addf(at, "%s has bits after the prefix, want %s", n, n.Masked())
		}
	}
}

func (v *validator) presets(c *Config) {
	v.count("presets", len(c.Presets), 1, MaxPresets)
	names := slices.Sorted(maps.Keys(c.Presets))
	for _, name := range names {
		at := strictjson.JoinPath("presets", name)
		v.name(at, name)
		p := c.Presets[name]
		v.preset(at, &p)
	}
	if _, ok := c.Presets[c.Preset]; !ok {
		v.errs.Addf("preset", "%q is not among the presets: %s", c.Preset, strings.Join(names, ", "))
	}
}

func (v *validator) preset(at string, p *Preset) {
	least := 0
	if p.HandOver {
		least = 1
	}
	v.between(field(at, "hand_over_peers"), p.HandOverPeers, least, MaxHandOverPeers, "peers")
	v.between(field(at, "queue_per_slot"), p.QueuePerSlot, 0, MaxQueuePerSlot, "requests per slot")
	v.between(field(at, "retry_budget_percent"), p.RetryBudgetPercent, 0, 100, "percent")
	v.between(field(at, "cold_start_ms"), p.ColdStartMS, 0, MaxColdStartMS, "ms")
	if p.Bias != BiasBalance && p.Bias != BiasLatency {
		v.errs.Addf(field(at, "bias"), "%q, want balance or latency", p.Bias)
	}
}

func (v *validator) service(at string, s *Service, networks []netip.Prefix) {
	v.name(field(at, "name"), s.Name)
	if s.ID == 0 {
		v.errs.Addf(field(at, "id"), "0 or missing, want at least 1")
	}
	v.address(field(at, "address"), s.Address)
	v.classes(at, s.Classes)
	v.count(field(at, "targets"), len(s.Targets), 0, MaxTargetsPerService)
	// The path of a target is formatted only for a target at fault: with
	// 160,000 targets the paths would take most of the time of a check.
	for i := range s.Targets {
		if !s.Targets[i].plausible(networks) {
			v.target(element(field(at, "targets"), i), &s.Targets[i], networks)
		}
	}
}

func (v *validator) address(at string, a netip.AddrPort) {
	switch {
	case !a.IsValid():
		v.errs.Addf(at, "is missing, want address:port")
	case a.Port() == 0:
		v.errs.Addf(at, "port 0, want 1 to 65535")
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		v.errs.Addf(at, "%s is not the address of one machine", a.Addr())
	case a.Addr().Zone() != "":
		v.errs.Addf(at, "%s has a zone, which has a meaning on one machine only", a.Addr())
	case a.Addr().Is4In6():
		v.errs.Addf(at, "%s is IPv4 written as IPv6, want %s", a.Addr(), a.Addr().Unmap())
	}
}

func (v *validator) classes(at string, classes []Class) {
	list := field(at, "classes")
	v.count(list, len(classes), 1, MaxClassesPerService)
	names, prefixes := map[string]int{}, map[string]int{}
	for i := range classes {
		c, at := &classes[i], element(list, i)
		v.name(field(at, "name"), c.Name)
		if !strings.HasPrefix(c.PathPrefix, "/") || len(c.PathPrefix) > MaxPathPrefixLen {
			v.errs.Addf(field(at, "path_prefix"), "%q, want a path that starts with / and has at most %d bytes", c.PathPrefix, MaxPathPrefixLen)
		}
		v.between(field(at, "deadline_ms"), c.DeadlineMS, 0, MaxDeadlineMS, "ms")
		duplicate(v, names, c.Name, list, i, "name")
		duplicate(v, prefixes, c.PathPrefix, list, i, "path_prefix")
	}
}

// duplicate reports value if an earlier element of the list has it too.
func duplicate[K comparable](v *validator, seen map[K]int, value K, list string, i int, name string) {
	var zero K
	if value == zero {
		return
	}
	if first, ok := seen[value]; ok {
		v.errs.Addf(field(element(list, i), name), "%v is also the %s of %s", value, name, element(list, first))
		return
	}
	seen[value] = i
}

func inside(networks []netip.Prefix, a netip.Addr) bool {
	for _, n := range networks {
		if n.Contains(a) {
			return true
		}
	}
	return false
}

// plausible reports whether a target passes every check of its own fields.
// Method target finds the fault of a target that does not.
func (t *Target) plausible(networks []netip.Prefix) bool {
	var v validator
	v.targetChecks(t, networks)
	return len(v.errs) == 0
}

func (v *validator) target(at string, t *Target, networks []netip.Prefix) {
	var own validator
	own.targetChecks(t, networks)
	for _, e := range own.errs {
		v.errs.Addf(field(at, e.Path), "%s", e.Reason)
	}
}

func (v *validator) targetChecks(t *Target, networks []netip.Prefix) {
	v.name("name", t.Name)
	v.name("data_centre", t.DataCentre)
	v.address("agent", t.Agent)
	if a := t.Agent.Addr(); a.IsValid() && !a.Is4() {
		v.errs.Addf("agent", "%s is not IPv4, and agents are addressed by IPv4", a)
	} else if a.IsValid() && !inside(networks, a) {
		v.errs.Addf("agent", "%s is in none of the agent_networks, so that balancers would not forward to it", a)
	}
	v.address("peer", t.Peer)
	v.between("slots", t.Slots, 1, MaxSlots, "slots")
	v.between("connections", t.Connections, 1, MaxConnections, "connections")
	if math.IsNaN(t.Speed) || t.Speed < MinSpeed || t.Speed > MaxSpeed {
		v.errs.Addf("speed", "%g times the rated speed, want %g to %g", t.Speed, MinSpeed, MaxSpeed)
	}
	if t.State != TargetActive && t.State != TargetDraining {
		v.errs.Addf("state", "%q, want active or draining", t.State)
	}
}
