// Package fleet starts the processes of a deployment on one machine and stops all of them at the end.
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
	// Log is the path of the file with the output of the process.
	Log string

	command *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// stopRequested is true once cftlab has stopped or killed the process; an exit without it is a crash.
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
	// A process group of its own keeps Ctrl-C from reaching the process; the kernel kills it if cftlab exits first.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	process := &Process{Name: name, Log: log, command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait() // the exit status is kept in command.ProcessState
		close(process.exited)
	}()
	return process, nil
}

// Kill kills the process with SIGKILL, as if its server had failed, and waits until it has exited.
func (p *Process) Kill() {
	p.stopRequested.Store(true)
	_ = p.command.Process.Kill() // it may have exited already
	<-p.exited
}

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() {
	p.stopRequested.Store(true)
	_ = p.command.Process.Signal(syscall.SIGTERM) // it may have exited already
}

func (p *Process) pause() {
	_ = p.command.Process.Signal(syscall.SIGSTOP) // it may have exited already
}

func (p *Process) resume() {
	_ = p.command.Process.Signal(syscall.SIGCONT) // it may have exited already
}

// Stop terminates the process and kills it after timeout. It returns whether the process exited before the timeout.
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

// Usage returns the resident memory in bytes and the CPU time used so far.
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

// Peak returns the largest resident memory so far in bytes, and the number of open descriptors.
func (p *Process) Peak() (memory int64, descriptors int, err error) {
	folder := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	_, text, found := strings.Cut(string(status), "VmHWM:")
	if !found {
		return 0, 0, errors.Errorf("%s has exited", p.Name)
	}
	open, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	return toInt(strings.Fields(text)[0]) << 10, len(open), nil
}

const (
	// statUtime and statStime are the indexes of fields of /proc/PID/stat, from 0.
	statUtime = 13
	statStime = 14
	// ticksPerSecond is the number of clock ticks per second (USER_HZ) in the CPU times of /proc.
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

// toInt returns 0 for text that is not a number, which the kernel never writes in these fields.
func toInt(text string) int64 {
	number, _ := strconv.ParseInt(text, 10, 64)
	return number
}

// Exited returns whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
