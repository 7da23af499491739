package telemetry_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/node/telemetry"
)

// Guards against a change of the log keys that searches depend on.
func TestLoggerKeys(t *testing.T) {
	var out bytes.Buffer
	log, err := telemetry.NewLogger(telemetry.Options{Out: &out, Level: "info", Role: "agent", Name: "a1"})
	assert.NilError(t, err)
	log.Debug("hidden")
	log.Named("confsync").Warn("platform is unreachable", telemetry.Error(errors.New("refused")), telemetry.Version(7))
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	delete(line, telemetry.KeyTime)
	assert.DeepEqual(t, line, map[string]any{
		"level": "warn", "message": "platform is unreachable", "role": "agent", "name": "a1",
		"part": "confsync", "error": "refused", "version": 7.0,
	})
}

// Guards against an unknown log level that is accepted and silences the log.
func TestLoggerLevel(t *testing.T) {
	_, err := telemetry.NewLogger(telemetry.Options{Level: "loud"})
	assert.ErrorContains(t, err, "loud")
}
