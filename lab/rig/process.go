package rig

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"trefoilweir.example/lab/packets"
)

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 200 * time.Millisecond

// VM is a simulated VM that runs one balancer or agent process.
type VM struct {
	Name, Zone string
	IP         netip.Addr
	// Target is the target that the agent serves, nil for a balancer.
	Target *packets.Target
	proxy  *Proxy
	// noRestart is set when the process must not be restarted.
	noRestart bool
	command   *exec.Cmd
	starts    int
	// exited is closed when the process has exited.
	exited chan struct{}
	// disturbedAt is when the rig last sent the process a signal.
	disturbedAt time.Time
}

// startProcess starts the process of a VM and restarts it when it exits.
func (s *System) startProcess(m *VM, bootstrap bool) error {
	file, err := s.writeSettings(m, bootstrap)
	if err != nil {
		return err
	}
	role := "agent"
	if m.Target == nil {
		role = "balancer"
	}
	log, err := os.OpenFile(filepath.Join(s.Dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(s.Program, "packet", role)
	command.Env = append(os.Environ(), settingsVariable+"="+file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("rig: start the process of %s: %w", m.Name, err)
	}
	m.command, m.exited = command, make(chan struct{})
	m.starts++
	go s.restartOnExit(m, command, m.exited)
	return nil
}

// restartOnExit waits for a process to exit and restarts it after restartDelay,
// unless the system or the process was stopped. It records an unexpected exit as
// a failure.
func (s *System) restartOnExit(m *VM, command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	s.mu.Lock()
	if !s.stopped && !m.noRestart && !s.exitExpected(m) {
		s.failures = append(s.failures, fmt.Sprintf("%s exited unexpectedly: %v", m.Name, err))
	}
	s.mu.Unlock()
	close(exited)
	time.Sleep(restartDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || m.noRestart {
		return
	}
	if err := s.startProcess(m, false); err != nil {
		s.failures = append(s.failures, err.Error())
	}
}

// exitExpected reports whether the rig signalled the process so recently that
// the signal explains an exit.
func (s *System) exitExpected(m *VM) bool {
	return time.Since(m.disturbedAt) < stopGraceS*time.Second+time.Second
}

// Signal sends a signal to the process of a VM.
func (s *System) Signal(m *VM, signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.disturbedAt = time.Now()
	if m.command != nil && m.command.Process != nil {
		// The process may have exited already.
		_ = m.command.Process.Signal(signal)
	}
}

// StopProcess sends SIGTERM to the process of a VM and prevents its restart. It
// kills the process, and records a failure, if it runs on after the stop grace.
func (s *System) StopProcess(m *VM) {
	s.mu.Lock()
	m.noRestart = true
	s.mu.Unlock()
	s.Signal(m, syscall.SIGTERM)
	s.mu.Lock()
	exited := m.exited
	s.mu.Unlock()
	go func() {
		select {
		case <-exited:
		case <-time.After(stopGraceS * time.Second):
			s.mu.Lock()
			s.failures = append(s.failures, m.Name+" did not exit within the stop grace")
			s.mu.Unlock()
			_ = m.command.Process.Kill()
		}
	}()
}
