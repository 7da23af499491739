package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/core/config"
)

// pollInterval is how often the files are read again. It is well under the
// activation goal of 2 s.
const pollInterval = 50 * time.Millisecond

// Splitter turns the operators' file into the value of the manifest key and
// the values of the parts, by hash.
type Splitter func(file []byte) (manifest []byte, parts map[string][]byte, err error)

// Options are the files and the faults of a platform.
type Options struct {
	// ConfigFile is the operators' configuration file.
	ConfigFile string
	// VMFile holds a JSON array of config.VM.
	VMFile string
	// ControlFile holds one word, a Mode. It may be absent.
	ControlFile string
	// VMListDelay delays changes of the VM list.
	VMListDelay time.Duration
	// Mode is the mode at the start.
	Mode Mode
	// Split splits the configuration file.
	Split Splitter
	// Log receives events.
	Log *zap.Logger
}

// Platform serves the values. Create it with New.
type Platform struct {
	options Options
	store   *store
	calls   *callCounter
	seen    map[string][]byte
}

// New reads the files once and returns the platform.
func New(options Options) (*Platform, error) {
	if options.Mode == "" {
		options.Mode = Up
	}
	p := &Platform{options: options, store: newStore(options.Mode), calls: newCallCounter(), seen: map[string][]byte{}}
	if err := p.readConfig(); err != nil {
		return nil, trace.Wrap(err)
	}
	vms, _, err := p.readVMs()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.store.put("vms", vms)
	return p, nil
}

// SetMode changes how the platform answers from now on.
func (p *Platform) SetMode(mode Mode) {
	p.options.Log.Info("platform mode changed", zap.String("mode", string(mode)))
	p.store.setMode(mode)
}

// Run reads the files again until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.poll()
		}
	}
}

func (p *Platform) poll() {
	if err := p.readConfig(); err != nil {
		p.options.Log.Warn("configuration file is not readable", zap.Error(err))
	}
	if vms, changed, err := p.readVMs(); err != nil {
		p.options.Log.Warn("VM list is not readable", zap.Error(err))
	} else if changed {
		time.AfterFunc(p.options.VMListDelay, func() { p.store.put("vms", vms) })
	}
	p.readControl()
}

// read returns the content of a file and whether it differs from the last
// call.
func (p *Platform) read(path string) (data []byte, changed bool, err error) {
	data, err = os.ReadFile(path)
	if err != nil {
		return nil, false, trace.ConvertSystemError(err)
	}
	changed = !bytes.Equal(p.seen[path], data)
	p.seen[path] = data
	return data, changed, nil
}

func (p *Platform) readConfig() error {
	data, changed, err := p.read(p.options.ConfigFile)
	if err != nil || !changed {
		return trace.Wrap(err)
	}
	manifest, parts, err := p.options.Split(data)
	if err != nil {
		return trace.Wrap(err, "configuration file %s", p.options.ConfigFile)
	}
	// The parts are there before the manifest that names them.
	for hash, part := range parts {
		p.store.put("parts/"+hash, part)
	}
	p.store.put("manifest", manifest)
	p.options.Log.Info("configuration published", zap.Int("parts", len(parts)))
	return nil
}

func (p *Platform) readVMs() (value []byte, changed bool, err error) {
	data, changed, err := p.read(p.options.VMFile)
	if err != nil || !changed {
		return nil, false, trace.Wrap(err)
	}
	var vms []config.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		return nil, false, trace.Wrap(err, "VM list %s", p.options.VMFile)
	}
	value, err = json.Marshal(vms)
	return value, true, trace.Wrap(err)
}

func (p *Platform) readControl() {
	if p.options.ControlFile == "" {
		return
	}
	data, changed, err := p.read(p.options.ControlFile)
	if err != nil || !changed {
		return
	}
	mode := Mode(strings.TrimSpace(string(data)))
	if mode != Up && mode != Down && mode != Stale {
		p.options.Log.Warn("control file names no mode", zap.String("content", string(mode)))
		return
	}
	p.SetMode(mode)
}
