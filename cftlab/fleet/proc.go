// Package fleet starts the processes of a placed deployment and leaves none behind.
package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
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
	exited  chan struct{}
	// stopRequested says that cftlab ended the process.
	stopRequested atomic.Bool
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
	process := &Process{Name: name, Log: log, command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait() // how a process ended is read from its state
		close(process.exited)
	}()
	return process, nil
}

// Kill ends the process at once, as a failing server would.
func (p *Process) Kill() {
	p.stopRequested.Store(true)
	_ = p.command.Process.Kill() // it may have ended by itself
	<-p.exited
}

// Terminate asks the process to stop and does not wait.
func (p *Process) Terminate() {
	p.stopRequested.Store(true)
	_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended by itself
}

func (p *Process) pause() {
	_ = p.command.Process.Signal(syscall.SIGSTOP) // it may have ended by itself
}

func (p *Process) resume() {
	_ = p.command.Process.Signal(syscall.SIGCONT) // it may have ended by itself
}

// Stop asks the process to stop, kills it after grace and says whether it stopped by itself.
func (p *Process) Stop(timeout time.Duration) bool {
	p.Terminate()
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}

// Usage returns the resident memory in bytes and the processor time used so far.
func (p *Process) Usage() (int64, time.Duration, error) {
	folder := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	statm, err := readFields(filepath.Join(folder, "statm"), 2)
	if err != nil {
		return 0, 0, err
	}
	stat, err := readFields(filepath.Join(folder, "stat"), statStime+1)
	if err != nil {
		return 0, 0, err
	}
	pages, ticks := toInt(statm[1]), toInt(stat[statUtime])+toInt(stat[statStime])
	return pages * int64(os.Getpagesize()), time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

const (
	// statUtime and statStime are fields of /proc/PID/stat, counted from 0.
	statUtime = 13
	statStime = 14
	// ticksPerSecond is the unit of processor times that the kernel shows to programs.
	ticksPerSecond = 100
)

func readFields(path string, minFields int) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	fields := strings.Fields(string(data))
	if len(fields) < minFields {
		return nil, errors.Errorf("%s: %d fields, want at least %d", path, len(fields), minFields)
	}
	return fields, nil
}

// toInt returns 0 for text that is no number, which the kernel does not write.
func toInt(text string) int64 {
	number, _ := strconv.ParseInt(text, 10, 64)
	return number
}

// Exited says whether the process is no longer running.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
