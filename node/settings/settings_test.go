package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/node/settings"
)

const commonFields = `"name":"b1","data_centre":"dhg","datagram_address":"127.0.0.1:7001","peer_address":"127.0.0.1:7002",
	"operator_address":"127.0.0.1:7003","platform":["http://127.0.0.1:8500"],"keys_file":"keys.json",
	"tls":{"ca":"ca.pem","certificate":"c.pem","key":"k.pem"}`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// Guards against defaults that are not set or that overwrite given values.
func TestLoad(t *testing.T) {
	b, err := settings.LoadBalancer(writeSettings(t, `{`+commonFields+`,"listen":{"booking":"127.0.0.1:0"}}`))
	assert.NilError(t, err)
	assert.Equal(t, b.LingerMS, settings.DefaultLingerMS)
	assert.Equal(t, b.LogLevel, "info")
	assert.Equal(t, b.Listen["booking"].String(), "127.0.0.1:0")
	a, err := settings.LoadAgent(writeSettings(t, `{`+commonFields+`,"service":"booking","target":"booking-1","log_level":"debug",
		"target_address":"127.0.0.1:8080","service_certificate":"s.pem","service_key":"s.key"}`))
	assert.NilError(t, err)
	assert.Equal(t, a.LogLevel, "debug")
}

// Guards against an error that reports only the first fault, or a fault twice.
func TestLoadReportsEveryError(t *testing.T) {
	file := writeSettings(t, `{"name":"","datagram_address":"127.0.0.1","linger":1,"linger_ms":-1,"platform":["x"],
		"tls":{"ca":"ca.pem","certificate":"c.pem","key":5},"log_level":"loud","peer_address":"127.0.0.1:1",
		"operator_address":"127.0.0.1:2","keys_file":"k","listen":{"a":"127.0.0.1:5","b":"127.0.0.1:5"}}`)
	_, err := settings.LoadBalancer(file)
	assert.Assert(t, err != nil)
	got := strings.Split(err.Error(), "\n")
	for i, want := range []string{
		"datagram_address: ", "linger: unknown field", "tls.key: the number 5", "name: is missing", "data_centre: is missing",
		`platform[0]: "x" is not a base URL`, `log_level: "loud"`, "listen.b: 127.0.0.1:5 is also", "linger_ms: -1 ms, want 0 to 600000 ms",
	} {
		assert.Assert(t, i < len(got) && strings.HasPrefix(got[i], file+": "+want), "line %d of:\n%v", i, err)
	}
	assert.Equal(t, len(got), 9)
}
