package config_test

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
)

const validConfig = `{"version":7,"preset":"ordinary","agent_networks":["127.0.0.0/8"],
 "presets":{"ordinary":{"hand_over":true},"maintenance":{"hand_over":false,"hand_over_peers":0,"bias":"latency"}},
 "services":[{"name":"booking","id":1,"address":"192.0.2.10:443",
   "classes":[{"name":"map","path_prefix":"/map","deadline_ms":2000},{"name":"ticker","path_prefix":"/ticker","holds_slot":false}],
   "targets":[{"name":"booking-1","data_centre":"hr-north-a","agent":"127.0.0.1:7101","peer":"127.0.0.1:7201","slots":7,"connections":2000},
     {"name":"booking-2","data_centre":"hr-north-b","agent":"127.0.0.1:7102","peer":"127.0.0.1:7202","slots":7,"connections":2000,"speed":0.5,"state":"draining"}]}]}`

func parse(t *testing.T, text string) *config.Config {
	t.Helper()
	c, err := config.Parse([]byte(text))
	assert.NilError(t, err)
	return c
}

// TestParseDefaults guards against a default that is missing or replaces an
// explicit value.
func TestParseDefaults(t *testing.T) {
	c := parse(t, validConfig)
	assert.DeepEqual(t, c.Presets["ordinary"], config.Preset{HandOver: true, HandOverPeers: 3, QueuePerSlot: 4,
		RetryBudgetPercent: 10, ColdStartMS: 5000, Bias: config.BiasBalance})
	assert.Equal(t, c.Presets["maintenance"].HandOverPeers, 0)
	s := c.Services[0]
	assert.Assert(t, s.Classes[0].HoldsSlot && !s.Classes[1].HoldsSlot)
	assert.Equal(t, s.Targets[0].Speed, 1.0)
	assert.Equal(t, s.Targets[0].State, config.TargetActive)
	assert.Equal(t, s.Targets[1].Speed, 0.5)
}

// TestParseErrors guards against an invalid value that is accepted, or
// reported without field, unit or reason. Each case is one edit of a valid
// configuration.
func TestParseErrors(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`"version":7`, `"version":0`, "version: 0 or missing, want at least 1"},
		{`"version":7`, `"version":7,"versoin":8`, "versoin: unknown field, want one of: agent_networks, preset, presets, services, version"},
		{`"preset":"ordinary"`, `"preset":"peak"`, `preset: "peak" is not among the presets: maintenance, ordinary`},
		{`["127.0.0.0/8"]`, `["127.0.0.1/8"]`, "agent_networks[0]: 127.0.0.1/8 has bits after the prefix, want 127.0.0.0/8"},
		{`["127.0.0.0/8"]`, `["::1/128","127.0.0.0/8"]`, "agent_networks[0]: ::1/128 is not IPv4, and agents are addressed by IPv4"},
		{`"hand_over":true`, `"hand_over_peers":0`, "presets.ordinary.hand_over_peers: 0 peers, want 1 to 16 peers"},
		{`"hand_over":true`, `"retry_budget_percent":101`, "presets.ordinary.retry_budget_percent: 101 percent, want 0 to 100 percent"},
		{`"hand_over":true`, `"cold_start_ms":-1`, "presets.ordinary.cold_start_ms: -1 ms, want 0 to 600000 ms"},
		{`"latency"`, `"speed"`, `presets.maintenance.bias: "speed", want balance or latency`},
		{`"name":"booking"`, `"name":"book ing"`, `services[0].name: "book ing", want letters, digits, '-', '_' and '.', and a letter or digit first`},
		{`"id":1`, `"id":0`, "services[0].id: 0 or missing, want at least 1"},
		{`"id":1`, `"id":4294967296`, "services[0].id: 4294967296 is not a valid whole number of at least 0 (uint32)"},
		{`192.0.2.10:443`, `192.0.2.10:0`, "services[0].address: port 0, want 1 to 65535"},
		{`192.0.2.10:443`, `0.0.0.0:443`, "services[0].address: 0.0.0.0 is not the address of one machine"},
		{`"/map"`, `"map"`, `services[0].classes[0].path_prefix: "map", want a path that starts with / and has at most 256 bytes`},
		{`"/ticker"`, `"/map"`, "services[0].classes[1].path_prefix: /map is also the path_prefix of services[0].classes[0]"},
		{`"deadline_ms":2000`, `"deadline_ms":-2`, "services[0].classes[0].deadline_ms: -2 ms, want 0 to 86400000 ms"},
		{`127.0.0.1:7101`, `192.0.2.1:7101`, "services[0].targets[0].agent: 192.0.2.1 is in none of the agent_networks, so balancers would not forward to it"},
		{`127.0.0.1:7101`, `[::1]:7101`, "services[0].targets[0].agent: ::1 is not IPv4, and agents are addressed by IPv4"},
		{`127.0.0.1:7202`, `127.0.0.1:7101`, "services[0].targets[1].peer: 127.0.0.1:7101 is also the address of services[0].targets[0].agent"},
		{`"booking-2"`, `"booking-1"`, "services[0].targets[1].name: booking-1 is also the name of services[0].targets[0]"},
		{`"slots":7`, `"slots":0`, "services[0].targets[0].slots: 0 slots, want 1 to 10000 slots"},
		{`"connections":2000`, `"connections":0`, "services[0].targets[0].connections: 0 connections, want 1 to 1000000 connections"},
		{`"speed":0.5`, `"speed":0`, "services[0].targets[1].speed: 0 times the rated speed, want 0.01 to 100"},
		{`"draining"`, `"gone"`, `services[0].targets[1].state: "gone", want active or draining`},
		{`"slots":7`, `"slots":"7"`, `services[0].targets[0].slots: the string "7", want a number`},
	}
	for _, c := range cases {
		_, err := config.Parse([]byte(strings.Replace(validConfig, c.old, c.new, 1)))
		assert.Error(t, err, c.want)
	}
}

// TestParseReportsEveryError guards against a validation that stops at the
// first error.
func TestParseReportsEveryError(t *testing.T) {
	text := strings.ReplaceAll(strings.Replace(validConfig, `"id":1`, `"id":0`, 1), `"slots":7`, `"slots":-1`)
	_, err := config.Parse([]byte(text))
	var errs config.Errors
	assert.Assert(t, errors.As(err, &errs))
	assert.Equal(t, len(errs), 3)
	assert.Equal(t, errs[2].Path, "services[0].targets[1].slots")
}

// manyServices returns a valid configuration with many services.
func manyServices(t testing.TB, services, targets int) *config.Config {
	t.Helper()
	c := &config.Config{Version: 1, Preset: "ordinary", AgentNetworks: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
		Presets: map[string]config.Preset{"ordinary": {Bias: config.BiasBalance}}}
	address := func(net byte, i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net + byte(i>>16), byte(i >> 8), byte(i)}), 7000)
	}
	for i := range services {
		s := config.Service{Name: fmt.Sprintf("service-%05d", i), ID: uint32(i + 1), Address: address(0, i),
			Classes: []config.Class{{Name: "all", PathPrefix: "/", HoldsSlot: true, DeadlineMS: 2000}}}
		for j := range targets {
			n := i*targets + j
			s.Targets = append(s.Targets, config.Target{Name: fmt.Sprintf("service-%05d-%04d", i, j), DataCentre: fmt.Sprintf("dc-%02d", n%23),
				Agent: address(64, n), Peer: address(128, n), Slots: 7, Connections: 2000, Speed: 1, State: config.TargetActive})
		}
		c.Services = append(c.Services, s)
	}
	assert.NilError(t, c.Validate())
	return c
}

// TestSplitJoin guards against parts over the platform's limit, and against
// content that is lost or reordered between Split and Join. The sizes give an
// empty configuration, a single part with services, a service in several parts
// and an index above the parts.
func TestSplitJoin(t *testing.T) {
	for _, size := range [][2]int{{0, 0}, {3, 2}, {2, 5500}, {3000, 5}} {
		c := manyServices(t, size[0], size[1])
		m, parts := config.Split(c)
		assert.Assert(t, len(m.Parts) <= 64)
		for _, data := range parts {
			assert.Assert(t, len(data) < config.MaxPartBytes)
		}
		joined, err := config.Join(m, parts)
		assert.NilError(t, err)
		assert.Equal(t, config.HeadOf(joined), m.Head())
		assert.Equal(t, len(config.Diff(c, joined)), 0)
		decoded, err := config.ParseManifest(m.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, m)
	}
}

// TestAssemblerReusesParts guards against a change of one target that changes
// the parts of other services, and against an Assembler that keeps content of
// the old version.
func TestAssemblerReusesParts(t *testing.T) {
	c := manyServices(t, 3000, 5)
	m1, parts1 := config.Split(c)
	var a config.Assembler
	first, err := a.Assemble(m1, func(r config.PartRef) ([]byte, bool) { d, ok := parts1[r.SHA256.String()]; return d, ok })
	assert.NilError(t, err)
	c.Version, c.Services[77].Targets[3].State = 2, config.TargetDraining
	m2, parts2 := config.Split(c)
	fetched := 0
	second, err := a.Assemble(m2, func(r config.PartRef) ([]byte, bool) {
		fetched++
		d, ok := parts2[r.SHA256.String()]
		return d, ok
	})
	assert.NilError(t, err)
	assert.Equal(t, fetched, 2, "one index and one part are fetched")
	assert.Equal(t, len(a.Hashes()), len(parts2))
	changes := config.Diff(first, second)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].String(), "service service-00077: target service-00077-0003 drains: no new work, open flows stay")
}

// TestAssemblerFindsDuplicates guards against a duplicate that is not reported
// because the two values are in different parts and only one of the parts is
// decoded.
func TestAssemblerFindsDuplicates(t *testing.T) {
	cases := []struct {
		edit func(c *config.Config)
		want string
	}{
		{func(c *config.Config) { c.Services[9].Targets[1].Agent = c.Services[700].Targets[0].Peer }, "is also the address of"},
		{func(c *config.Config) { c.Services[9].Name = c.Services[700].Name }, "is also the name of"},
		{func(c *config.Config) { c.Services[9].Address = c.Services[700].Address }, "is also the address of"},
		{func(c *config.Config) { c.Services[9].Targets[1].Name = c.Services[9].Targets[0].Name }, "is also the name of"},
	}
	for _, test := range cases {
		c := manyServices(t, 1000, 3)
		var a config.Assembler
		assemble := func() error {
			c.Version++
			m, parts := config.Split(c)
			_, err := a.Assemble(m, func(r config.PartRef) ([]byte, bool) { d, ok := parts[r.SHA256.String()]; return d, ok })
			return err
		}
		assert.NilError(t, assemble())
		before := c.Services[9]
		c.Services[9].Targets = append([]config.Target(nil), before.Targets...)
		test.edit(c)
		assert.ErrorContains(t, assemble(), test.want)
		c.Services[9] = before
		assert.NilError(t, assemble())
	}
}

// TestJoinErrors guards against parts that are accepted although they are
// missing, modified or not valid.
func TestJoinErrors(t *testing.T) {
	m, parts := config.Split(parse(t, validConfig))
	key := m.Parts[1].SHA256.String()
	data := parts[key]
	delete(parts, key)
	_, err := config.Join(m, parts)
	var missing *config.MissingPartsError
	assert.Assert(t, errors.As(err, &missing))
	assert.DeepEqual(t, missing.Parts, m.Parts[1:])
	parts[key] = append([]byte(nil), data[1:]...)
	_, err = config.Join(m, parts)
	assert.ErrorContains(t, err, "does not match its hash")
	bad := parse(t, validConfig)
	bad.Services[0].Targets[0].Slots = 0
	m, parts = config.Split(bad)
	_, err = config.Join(m, parts)
	assert.Error(t, err, "services[0].targets[0].slots: 0 slots, want 1 to 10000 slots")
}

// TestSplitFile guards against a file that is published although it cannot be
// decoded, and against SplitFile rejecting a file with invalid values, which
// the processes must receive and reject.
func TestSplitFile(t *testing.T) {
	_, _, err := config.SplitFile([]byte(strings.Replace(validConfig, `"version"`, `"versoin"`, 1)))
	assert.ErrorContains(t, err, "versoin: unknown field")
	manifest, parts, err := config.SplitFile([]byte(strings.Replace(validConfig, `"slots":7`, `"slots":0`, 1)))
	assert.NilError(t, err)
	m, err := config.ParseManifest(manifest)
	assert.NilError(t, err)
	_, err = config.Join(m, parts)
	assert.ErrorContains(t, err, "0 slots")
}

// TestHeadLess guards against an order of heads that is not total, with which
// processes would choose different configurations.
func TestHeadLess(t *testing.T) {
	low, high := config.Head{Version: 2, Hash: config.Hash{1}}, config.Head{Version: 2, Hash: config.Hash{2}}
	assert.Assert(t, config.HeadLess(low, high) && !config.HeadLess(high, low) && !config.HeadLess(low, low))
	assert.Assert(t, config.HeadLess(config.Head{Version: 1, Hash: config.Hash{9}}, low))
	assert.Assert(t, config.HeadLess(config.Head{}, low))
}

// TestDiff guards against a change that is reported with the wrong text or
// without its mark as dangerous.
func TestDiff(t *testing.T) {
	cases := []struct{ old, new, want string }{
		{`"version":7`, `"version":6`, "DANGEROUS: version goes back from 7 to 6: no process adopts it"},
		{`"version":7,"preset":"ordinary"`, `"version":8,"preset":"maintenance"`, "preset changes from ordinary to maintenance"},
		{`"version":7,"preset":"ordinary"`, `"version":7,"preset":"maintenance"`, "DANGEROUS: version 7 has other content already"},
		{`"name":"booking",`, `"name":"gallery",`, "DANGEROUS: service gallery reuses id 1 of service booking"},
		{`"booking-1"`, `"booking-9"`, "service booking: target booking-9 added at 127.0.0.1:7101 in hr-north-a, 7 slots, active"},
		{`"booking-1"`, `"booking-9"`, "DANGEROUS: service booking: target booking-1 removed without draining first"},
		{`"booking-2"`, `"booking-9"`, "service booking: target booking-2 removed after draining"},
		{`"slots":7,`, `"slots":7,"state":"draining",`, "service booking: target booking-1 drains: no new work, open flows stay"},
		{`"slots":7`, `"slots":9`, "service booking: target booking-1: slots changes from 7 to 9"},
		{`"id":1`, `"id":2`, "DANGEROUS: service booking: id changes from 1 to 2"},
		{`"deadline_ms":2000`, `"deadline_ms":2000,"repeatable":true`, "DANGEROUS: service booking: class map becomes repeatable"},
		{`"hand_over":true`, `"queue_per_slot":9`, "preset ordinary: queue_per_slot changes from 4 to 9"},
	}
	for _, c := range cases {
		var texts []string
		for _, change := range config.Diff(parse(t, validConfig), parse(t, strings.Replace(validConfig, c.old, c.new, 1))) {
			texts = append(texts, change.String())
		}
		assert.Assert(t, strings.Contains("\n"+strings.Join(texts, "\n"), "\n"+c.want), "%q in %q", c.want, texts)
	}
}

// FuzzParse guards against a panic of the parser, and against a configuration
// that Parse accepts but that does not pass through Split and Join unchanged.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte(`{"services":[{"targets":[{"agent":null}]}],"presets":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := config.Parse(data)
		if err != nil {
			return
		}
		m, parts := config.Split(c)
		joined, err := config.Join(m, parts)
		if err != nil {
			t.Fatalf("accepted by Parse, rejected by Join: %v", err)
		}
		if config.HeadOf(joined) != m.Head() {
			t.Fatal("Split and Join changed the configuration")
		}
	})
}
