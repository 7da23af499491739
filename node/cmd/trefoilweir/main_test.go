package main

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const examples = "../../../examples/"

func runCommand(t *testing.T, args ...string) (out string, code int, err error) {
	t.Helper()
	var buffer bytes.Buffer
	c := rootCommand()
	c.Writer = &buffer
	err = c.Run(context.Background(), append([]string{"trefoilweir"}, args...))
	var coded *codedError
	if errors.As(err, &coded) {
		code = coded.code
	}
	return buffer.String(), code, err
}

// Guards against an invalid example file, and against a test that finds too few
// of them.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob(examples + "*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 6, "%v", files)
	for _, file := range files {
		flag := "--config"
		for _, role := range []string{"balancer", "agent"} {
			if strings.Contains(filepath.Base(file), role) {
				flag = "--" + role
			}
		}
		_, _, err := runCommand(t, "check", flag, file)
		assert.NilError(t, err)
	}
}

// Guards against errors that do not name the file and field, and against a wrong
// exit code.
func TestCheckFaults(t *testing.T) {
	data, err := os.ReadFile(examples + "lutkica.json")
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "bad.json")
	text := strings.Replace(string(data), `"slots": 7`, `"slots": 0`, 1)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	out, code, err := runCommand(t, "check", "--config", file, "--config", examples+"rijksbureau.json", "--agent", "missing.json")
	assert.Equal(t, code, exitInvalid)
	assert.Assert(t, strings.Contains(out, "rijksbureau.json: valid"))
	assert.ErrorContains(t, err, file+": services[0].targets[0].slots: 0 slots, want 1 to 10000 slots\n")
	assert.ErrorContains(t, err, "missing.json")
}

// Guards against a dangerous change without the exit code that scripts check.
func TestDiff(t *testing.T) {
	data, err := os.ReadFile(examples + "lutkica.json")
	assert.NilError(t, err)
	edit := func(old, new string) string {
		file := filepath.Join(t.TempDir(), "next.json")
		assert.NilError(t, os.WriteFile(file, []byte(strings.Replace(string(data), old, new, 1)), 0o600))
		return file
	}
	out, code, err := runCommand(t, "diff", examples+"lutkica.json", examples+"lutkica.json")
	assert.NilError(t, err)
	assert.Equal(t, out, "no change\n")
	assert.Equal(t, code, 0)
	out, code, _ = runCommand(t, "diff", examples+"lutkica.json", edit(`"version": 1`, `"version": 0`))
	assert.Equal(t, code, exitInvalid, out)
	out, code, _ = runCommand(t, "diff", examples+"lutkica.json", edit(`"name": "booking",`, `"name": "halls",`))
	assert.Equal(t, code, exitDangerous)
	assert.Assert(t, strings.Contains(out, "DANGEROUS: service halls reuses id"))
}

// Guards against a status that is not printed as readable text.
func TestPrintStatus(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, printStatus(&out, []byte(`{"name":"b1","role":"balancer","data_centre":"dhg","healthy":false,"reason":"draining",
		"uptime_seconds":61,"configuration":{"version":7,"hash":"abcdef0123456789","preset":"peak","parents":["b2","b3"],"vms":9},
		"detail":{"flows_open":5,"services":[{"name":"booking"}]}}`)))
	assert.Equal(t, out.String(), `balancer b1 in dhg: NOT HEALTHY: draining, up 1m1s
configuration: version 7 (abcdef012345), preset peak, follows [b2 b3], 9 VMs known
flows open: 5
services:
  {"name":"booking"}
`)
}
