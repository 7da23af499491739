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

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 200 * time.Millisecond

// VM is a VM with one process of the system.
type VM struct {
	Name, Zone string
	IP         netip.Addr
	// Target is the target beside an agent, nil at a balancer.
	Target *packets.Target
	proxy  *Proxy
	// noRestart says that the process is not started again.
	noRestart bool
	command   *exec.Cmd
	starts    int
	// exited is closed when the process has exited.
	exited chan struct{}
	// disturbedAt is when the process or its machine was last disturbedAt.
	disturbedAt time.Time
}

// startProcess starts the process of a machine and keeps it running.
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
		return fmt.Errorf("rig: %s: %w", m.Name, err)
	}
	m.command, m.exited = command, make(chan struct{})
	m.starts++
	go s.restartOnExit(m, command, m.exited)
	return nil
}

// restartOnExit starts a process again after its end.
func (s *System) restartOnExit(m *VM, command *exec.Cmd, ended chan struct{}) {
	err := command.Wait()
	s.mu.Lock()
	if !s.stopped && !m.noRestart && !s.exitExpected(m) {
		s.failures = append(s.failures, fmt.Sprintf("%s ended by itself: %v", m.Name, err))
	}
	s.mu.Unlock()
	close(ended)
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

// exitExpected reports whether the rig itself ended the process.
func (s *System) exitExpected(m *VM) bool {
	return time.Since(m.disturbedAt) < stopGraceS*time.Second+time.Second
}

// Signal sends a signal to the process of a machine.
func (s *System) Signal(m *VM, signal syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m.disturbedAt = time.Now()
	if m.command != nil && m.command.Process != nil {
		// The process may have ended already.
		_ = m.command.Process.Signal(signal)
	}
}

// StopProcess stops a process as planned, and does not start it again.
func (s *System) StopProcess(m *VM) {
	s.mu.Lock()
	m.noRestart = true
	s.mu.Unlock()
	s.Signal(m, syscall.SIGTERM)
	s.mu.Lock()
	ended := m.exited
	s.mu.Unlock()
	go func() {
		select {
		case <-ended:
		case <-time.After(stopGraceS * time.Second):
			s.mu.Lock()
			s.failures = append(s.failures, m.Name+" has not ended within its grace")
			s.mu.Unlock()
			_ = m.command.Process.Kill()
		}
	}()
}
