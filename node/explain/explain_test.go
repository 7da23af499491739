package explain_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/node/explain"
)

const (
	balancerLog = `  0.1 b1 {"time":"2026-01-01T00:00:00.3Z","message":"next_home","name":"b1","flow":"100.64.0.7:1025>198.18.0.1:443","reason":"x","value":61}
not a log line
{"time":"2026-01-01T00:00:00.4Z","message":"view changed","name":"b1","version":4}
{"time":"2026-01-01T00:00:00.5Z","message":"reset","name":"b1","flow":"100.64.0.7:1025>198.18.0.1:443"}
{"time":"2026-01-01T00:00:09Z","message":"process stopped","name":"b1"}
`
	agentLog = `{"time":"2026-01-01T00:00:00.2Z","message":"placed","name":"a1","flow":"100.64.0.7:1025>198.18.0.1:443","peer":"10.0.0.9"}
{"time":"2026-01-01T00:00:00.25Z","message":"placed","name":"a1","flow":"100.64.0.8:1025>198.18.0.1:443"}
`
)

// Guards against a timeline that is out of order, contains lines of other flows,
// or lacks the context of the processes that handled the flow.
func TestTimeline(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{"b1": balancerLog, "a1": agentLog} {
		files = append(files, filepath.Join(dir, name))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	for context, want := range map[bool]string{false: "placed next_home reset", true: "placed next_home view reset"} {
		var out strings.Builder
		assert.NilError(t, explain.WriteTimeline(&out, "100.64.0.7:1025", context, files))
		var got []string
		for text := range strings.Lines(out.String()) {
			got = append(got, strings.Fields(text)[2])
		}
		assert.Equal(t, strings.Join(got, " "), want)
	}
	assert.ErrorContains(t, explain.WriteTimeline(&strings.Builder{}, "100.64.9.9", false, files), "no line about flow")
}

// Guards against a diff that does not report a dangerous change.
func TestDiffRoutes(t *testing.T) {
	route := func(address, service string) fleet.Route {
		r := fleet.Route{Service: service}
		assert.NilError(t, r.Address.UnmarshalText([]byte(address)))
		return r
	}
	old := &fleet.Config{Version: 3, Routes: []fleet.Route{route("198.18.0.1:1", "a"), route("198.18.0.1:2", "a")}}
	for _, c := range []struct {
		version   uint64
		routes    []fleet.Route
		dangerous bool
	}{
		{4, append(old.Routes, route("198.18.0.1:3", "b")), false},
		{4, old.Routes[:1], true},
		{4, []fleet.Route{old.Routes[0], route("198.18.0.1:2", "b")}, true},
		{3, old.Routes, true},
	} {
		var out strings.Builder
		assert.Equal(t, explain.DiffRoutes(&out, old, &fleet.Config{Version: c.version, Routes: c.routes}), c.dangerous, out.String())
	}
}
