// Package fleet starts the processes of a placed deployment and leaves none behind.
package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one running program.
type Process struct {
	// Name is unique in the fleet.
	Name string
	// Log is the file that has the output of the process.
	Log string

	command *exec.Cmd
	ended   chan struct{}
}

// start runs a program whose output goes to a file in folder.
func start(name, folder, program string, args ...string) (*Process, error) {
	log := filepath.Join(folder, name+".log")
	file, err := os.OpenFile(log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer file.Close()
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = file, file
	// A group of its own keeps Ctrl-C away from the process; the kernel ends it if cftlab dies first.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	process := &Process{Name: name, Log: log, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // how a process ended is read from its state
		close(process.ended)
	}()
	return process, nil
}

// Kill ends the process at once, as a failing server would.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // it may have ended by itself
	<-p.ended
}

// Terminate asks the process to stop and does not wait.
func (p *Process) Terminate() {
	_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended by itself
}

func (p *Process) pause() {
	_ = p.command.Process.Signal(syscall.SIGSTOP) // it may have ended by itself
}

func (p *Process) resume() {
	_ = p.command.Process.Signal(syscall.SIGCONT) // it may have ended by itself
}

// Stop asks the process to stop, kills it after grace and says whether it stopped by itself.
func (p *Process) Stop(grace time.Duration) bool {
	p.Terminate()
	select {
	case <-p.ended:
		return true
	case <-time.After(grace):
		p.Kill()
		return false
	}
}

// Ended says whether the process is no longer running.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
