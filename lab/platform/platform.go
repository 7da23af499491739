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

// pollInterval is the interval at which the files are read again. It is far
// below the 2 s within which a configuration change must take effect.
const pollInterval = 50 * time.Millisecond

// Splitter splits the operators' configuration file into the value of the
// manifest key and the values of the parts, keyed by hash.
type Splitter func(file []byte) (manifest []byte, parts map[string][]byte, err error)

// Options are the options of a Platform.
type Options struct {
	// ConfigFile is the operators' configuration file.
	ConfigFile string
	// VMFile is a file that holds a JSON array of config.VM.
	VMFile string
	// ControlFile is a file that holds a Mode. It may be absent.
	ControlFile string
	// VMListDelay is the delay after which changes of the VM list are served.
	VMListDelay time.Duration
	// Mode is the initial mode. The default is Up.
	Mode Mode
	// Split splits the configuration file.
	Split Splitter
	// Log receives the log messages.
	Log *zap.Logger
}

// Platform serves the configuration and the VM list. Create it with New.
type Platform struct {
	options     Options
	store       *store
	calls       *callCounter
	lastContent map[string][]byte
}

// New reads the configuration file and the VM list and returns a platform that
// serves them.
func New(options Options) (*Platform, error) {
	if options.Mode == "" {
		options.Mode = Up
	}
	p := &Platform{options: options, store: newStore(options.Mode), calls: newCallCounter(), lastContent: map[string][]byte{}}
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

// SetMode sets the mode in which the platform answers from now on.
func (p *Platform) SetMode(mode Mode) {
	p.options.Log.Info("platform mode changed", zap.String("mode", string(mode)))
	p.store.setMode(mode)
}

// Run reads the files again every pollInterval until ctx ends.
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
		p.options.Log.Warn("reload of the configuration file failed", zap.Error(err))
	}
	if vms, changed, err := p.readVMs(); err != nil {
		p.options.Log.Warn("reload of the VM list failed", zap.Error(err))
	} else if changed {
		time.AfterFunc(p.options.VMListDelay, func() { p.store.put("vms", vms) })
	}
	p.readControl()
}

// readFile returns the content of a file and reports whether it has changed
// since the last call.
func (p *Platform) readFile(path string) (data []byte, changed bool, err error) {
	data, err = os.ReadFile(path)
	if err != nil {
		return nil, false, trace.ConvertSystemError(err)
	}
	changed = !bytes.Equal(p.lastContent[path], data)
	p.lastContent[path] = data
	return data, changed, nil
}

func (p *Platform) readConfig() error {
	data, changed, err := p.readFile(p.options.ConfigFile)
	if err != nil || !changed {
		return trace.Wrap(err)
	}
	manifest, parts, err := p.options.Split(data)
	if err != nil {
		return trace.Wrap(err, "configuration file %s", p.options.ConfigFile)
	}
	// The parts are published before the manifest that lists them.
	for hash, part := range parts {
		p.store.put("parts/"+hash, part)
	}
	p.store.put("manifest", manifest)
	p.options.Log.Info("configuration published", zap.Int("parts", len(parts)))
	return nil
}

func (p *Platform) readVMs() (value []byte, changed bool, err error) {
	data, changed, err := p.readFile(p.options.VMFile)
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
	data, changed, err := p.readFile(p.options.ControlFile)
	if err != nil || !changed {
		return
	}
	mode := Mode(strings.TrimSpace(string(data)))
	if mode != Up && mode != Down && mode != Stale {
		p.options.Log.Warn("control file does not contain a valid mode", zap.String("content", string(mode)))
		return
	}
	p.SetMode(mode)
}
