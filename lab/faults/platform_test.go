package faults_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
	"trefoilweir.example/lab/keys"
	"trefoilweir.example/lab/layout"
	"trefoilweir.example/node/process"
)

// activationLimit is the time within which a configuration must be active in
// all processes while the platform is up.
const activationLimit = 2 * time.Second

func (f *fixture) setPlatformMode(mode string) {
	f.Helper()
	assert.NilError(f, os.WriteFile(f.Plan.Path(layout.ControlFile), []byte(mode), 0o600))
	// The platform reads its control file every 50 ms.
	time.Sleep(200 * time.Millisecond)
}

// Guards against requests that fail while the platform is down, and against the
// loss of a configuration that is published during that time.
func TestPlatformDown(t *testing.T) {
	f := startUnderLoad(t, nil)
	f.setPlatformMode("down")
	assert.NilError(t, f.Plan.SetPreset(layout.PresetPeak))
	time.Sleep(2 * time.Second)
	for name, status := range f.Statuses() {
		assert.Equal(t, status.Configuration.Version, uint64(1), name)
	}
	f.setPlatformMode("up")
	assert.NilError(t, f.AwaitVersion(2, 10*time.Second))
	f.requireClean()
}

// Guards against a process that reverts to the older version that a stale
// platform returns, including a process that starts during that time.
func TestPlatformStale(t *testing.T) {
	f := startUnderLoad(t, nil)
	assert.NilError(t, f.Plan.SetPreset(layout.PresetPeak))
	assert.NilError(t, f.AwaitVersion(2, 5*time.Second))
	f.setPlatformMode("stale")
	assert.NilError(t, f.StartBalancer(4))
	for range 30 {
		for name, status := range f.Statuses() {
			ready := status.Configuration.Ready
			assert.Assert(t, !ready || status.Configuration.Version == 2, "%s has version %d", name, status.Configuration.Version)
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.NilError(t, f.AwaitVersion(2, 10*time.Second))
	f.requireClean()
}

// Guards against processes that keep different contents of one version. The
// content with the higher hash must win, even in a process that starts when the
// platform returns only the other content.
func TestTwoContentsOfOneVersion(t *testing.T) {
	f := startUnderLoad(t, nil)
	assert.NilError(t, f.Plan.SetPreset(layout.PresetPeak))
	assert.NilError(t, f.AwaitVersion(2, 5*time.Second))
	first := f.publishedHead()
	f.publishSameVersion()
	winner := f.publishedHead()
	if config.HeadLess(winner, first) {
		winner = first
	}
	assert.NilError(t, f.StartBalancer(4))
	assert.NilError(t, f.AwaitVersion(2, 10*time.Second))
	assert.NilError(t, f.AwaitStatus(10*time.Second, func(s process.Status) bool {
		return s.Configuration.Hash == winner.Hash.String()
	}))
	f.requireClean()
}

// publishedHead returns the head of the published configuration file.
func (f *fixture) publishedHead() config.Head {
	f.Helper()
	data, err := os.ReadFile(f.Plan.Path(layout.ConfigFile))
	assert.NilError(f, err)
	manifest, _, err := config.SplitFile(data)
	assert.NilError(f, err)
	m, err := config.ParseManifest(manifest)
	assert.NilError(f, err)
	return m.Head()
}

// publishSameVersion publishes different content under the current version.
func (f *fixture) publishSameVersion() {
	f.Helper()
	assert.NilError(f, f.Plan.ChangeConfig(func(c *config.Config) error {
		c.Version--
		c.Preset = layout.PresetOrdinary
		return nil
	}))
}

// Guards against a preset that is not active in all processes within 2 s, and
// against a change of preset that interrupts requests.
func TestPresetChange(t *testing.T) {
	f := startUnderLoad(t, nil)
	for _, preset := range []string{layout.PresetPeak, layout.PresetOrdinary, layout.PresetPeak} {
		published := time.Now()
		assert.NilError(t, f.Plan.SetPreset(preset))
		assert.NilError(t, f.AwaitStatus(activationLimit, func(s process.Status) bool { return s.Configuration.Preset == preset }))
		t.Logf("preset %s is active in all processes after %s", preset, time.Since(published).Round(time.Millisecond))
	}
	f.requireClean()
}

// Guards against flows that break when a key generation becomes active.
func TestKeyRotation(t *testing.T) {
	f := startUnderLoad(t, nil)
	dir := f.Plan.Path(layout.KeysDir)
	for _, active := range []int{1, 2} {
		assert.NilError(t, keys.WriteGenerations(dir, 2, active))
		for name := range f.Statuses() {
			f.signal(name, syscall.SIGHUP)
		}
		time.Sleep(500 * time.Millisecond)
	}
	data, err := os.ReadFile(filepath.Join(dir, keys.KeysFile))
	assert.NilError(t, err)
	assert.Assert(t, json.Valid(data))
	f.requireClean()
}

// Guards against failures that occur only when faults overlap: a balancer is
// killed and a target is drained while the platform is down.
func TestTwoFaultsTogether(t *testing.T) {
	f := startUnderLoad(t, nil)
	f.setPlatformMode("down")
	assert.NilError(t, f.Plan.DrainTarget("booking-1"))
	assert.NilError(t, f.Plan.RemoveVM("balancer-1"))
	f.signal("balancer-1", syscall.SIGKILL)
	time.Sleep(300 * time.Millisecond)
	f.setPlatformMode("up")
	assert.NilError(t, f.AwaitVersion(2, 10*time.Second))
	f.requireClean()
}
