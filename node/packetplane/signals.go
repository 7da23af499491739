package packetplane

import (
	"maps"
	"os"
	"slices"
	"syscall"

	"go.uber.org/zap"
	"trefoilweir.example/node/telemetry"
)

func (p *Process) handleSignal(s os.Signal) {
	if s == syscall.SIGHUP {
		p.reload(reloadSignal)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return
	}
	p.stopping, p.stopStart = true, p.now()
	p.Log.Info("planned stop begins", zap.Duration("grace", p.Settings.StopGrace))
}

// reload reads the settings and applies those that may change while the process
// runs: the seeds, the regions and the grace period. Addresses and the service stay until the
// next start.
func (p *Process) reload(cause string) {
	s, err := p.Reload()
	if err != nil {
		p.Log.Error("cannot reload settings; keeping the previous ones", telemetry.Error(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.StopGrace == p.Settings.StopGrace && slices.Equal(s.Seeds, p.sync.Seeds) && maps.Equal(s.Regions, p.Settings.Regions) {
		if cause == reloadSignal {
			p.Log.Info("settings have no change that applies before the next start")
		}
		return
	}
	p.Settings.StopGrace = s.StopGrace
	p.sync.Seeds = s.Seeds
	p.Settings.Regions = s.Regions
	p.view.SetRegions(s.Regions)
	p.Log.Info("settings reloaded", telemetry.Reason(cause), zap.Int("seeds", len(s.Seeds)), zap.Int("regions", len(s.Regions)), zap.Duration("grace", s.StopGrace))
}

// stopComplete reports whether a planned stop is complete.
func (p *Process) stopComplete() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopping {
		return false
	}
	now := p.now()
	return p.role.readyToStop(now, p.stopStart) || now-p.stopStart > p.Settings.StopGrace-graceMargin
}
