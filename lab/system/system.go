// Package system runs a lab system of real processes on loopback addresses:
// platform, fabric, balancers, agents and targets.
package system

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"trefoilweir.example/lab/layout"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	stopTimeout  = 3 * time.Second
	vmLag        = 100 * time.Millisecond
)

// System is the set of processes of a plan.
type System struct {
	Plan layout.Plan
	// Delay is the one-way latency between callers and balancers.
	Delay time.Duration
	// ReportAge is the age of the load reports of all targets.
	ReportAge time.Duration

	binDir       string
	processes    map[string]*child
	statusClient *statusClient
}

// New returns a system that has not been started. bin is the directory with the
// programs.
func New(plan layout.Plan, bin string) *System {
	return &System{Plan: plan, binDir: bin, processes: map[string]*child{}}
}

// RandomNet returns the first three octets of a random loopback network, so that
// systems on the same host are unlikely to share addresses.
func RandomNet() string { return fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)) }

// Start writes the files of the plan, starts all its processes except the spare
// ones, and waits until they are ready.
func (s *System) Start() error {
	if err := s.Plan.Write(); err != nil {
		return trace.Wrap(err)
	}
	var err error
	if s.statusClient, err = newStatusClient(s.Plan.Path(layout.KeysDir)); err != nil {
		return trace.Wrap(err)
	}
	if err := s.startPlatformAndFabric(); err != nil {
		return trace.Wrap(err)
	}
	for i := 1; i <= s.Plan.Balancers; i++ {
		if err := s.StartBalancer(i); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, service := range s.Plan.Services {
		for i := 1; i <= service.Targets; i++ {
			if err := s.StartTargetVM(service, i); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return trace.Wrap(s.AwaitVersion(1, readyTimeout))
}

func (s *System) startPlatformAndFabric() error {
	p := &s.Plan
	err := s.startNamed("platform", "trefoilweir-lab", "platform", "--listen", p.PlatformAddress().String(),
		"--config", p.Path(layout.ConfigFile), "--vms", p.Path(layout.VMFile), "--control", p.Path(layout.ControlFile),
		"--lag", vmLag.String())
	if err != nil {
		return trace.Wrap(err)
	}
	arguments := []string{"fabric", "--platform", "http://" + p.PlatformAddress().String(),
		"--cut", p.Path(layout.CutFile), "--delay", s.Delay.String()}
	for _, service := range p.Services {
		arguments = append(arguments, "--service", service.Name+"="+p.ServiceAddress(service).String())
	}
	return trace.Wrap(s.startNamed("fabric", "trefoilweir-lab", arguments...))
}

// StartBalancer starts balancer i.
func (s *System) StartBalancer(i int) error {
	name := layout.BalancerName(i)
	return trace.Wrap(s.startNamed(name, "trefoilweir", "balancer", "--settings", s.Plan.SettingsPath(name)))
}

// StartTargetVM starts the processes of a target VM: target i of a service and
// its agent.
func (s *System) StartTargetVM(service layout.Service, i int) error {
	if err := s.StartTargetProcess(service, i); err != nil {
		return trace.Wrap(err)
	}
	name := service.TargetName(i)
	return trace.Wrap(s.startNamed(name, "trefoilweir", "agent", "--settings", s.Plan.SettingsPath(name)))
}

// StartTargetProcess starts target i of a service without its agent.
func (s *System) StartTargetProcess(service layout.Service, i int) error {
	name := service.TargetName(i)
	return trace.Wrap(s.startNamed(TargetProcessName(name), "trefoilweir-lab", "target", "--name", name, "--service", service.Name,
		"--listen", s.Plan.TargetAddress(service, i).String(), "--slots", strconv.Itoa(service.Slots),
		"--speed", strconv.FormatFloat(service.Speed(i), 'f', -1, 64), "--report-age", s.ReportAge.String(),
		"--log", s.Plan.Path(layout.LogDir, name+".jsonl")))
}

// TargetProcessName returns the name of a target's process. The name of the
// target itself is that of its agent's process.
func TargetProcessName(target string) string { return "target-" + target }

func (s *System) startNamed(name, program string, arguments ...string) error {
	p, err := startProcess(filepath.Join(s.binDir, program), arguments, s.Plan.Path(layout.LogDir, name+".log"))
	if err != nil {
		return trace.Wrap(err, "start process %s", name)
	}
	s.processes[name] = p
	return nil
}

// Signal sends a signal to a process of the system.
func (s *System) Signal(name string, signal syscall.Signal) error {
	p := s.processes[name]
	if p == nil {
		return trace.NotFound("process %s has not been started", name)
	}
	return trace.ConvertSystemError(p.command.Process.Signal(signal))
}

// AwaitExit waits until a process exits, or returns an error after the limit.
func (s *System) AwaitExit(name string, limit time.Duration) error {
	select {
	case <-s.processes[name].exited:
		return nil
	case <-time.After(limit):
		return trace.LimitExceeded("%s has not ended within %s", name, limit)
	}
}

// Stop resumes paused processes, sends SIGTERM to all processes and kills those
// that still run after stopTimeout.
func (s *System) Stop() {
	for _, p := range s.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(stopTimeout)
	for _, p := range s.processes {
		select {
		case <-p.exited:
		case <-deadline:
			p.kill()
		}
	}
	for _, p := range s.processes {
		p.kill()
	}
}

// CopyLogs writes the logs of all processes to w.
func (s *System) CopyLogs(w io.Writer) {
	for name := range s.processes {
		data, err := os.ReadFile(s.Plan.Path(layout.LogDir, name+".log"))
		if err == nil && len(data) > 0 {
			fmt.Fprintf(w, "--- %s\n%s", name, data)
		}
	}
}
