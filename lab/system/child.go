package system

import (
	"os"
	"os/exec"

	"github.com/gravitational/trace"
)

// child is a started process.
type child struct {
	command *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
}

func startProcess(program string, arguments []string, logPath string) (*child, error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer log.Close()
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	p := &child{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// kill sends SIGKILL to the process and waits for its exit.
func (p *child) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

func (p *child) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}
