package start

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/setup"
)

// daemonVariable is the environment variable that makes this test binary run as a daemon.
const daemonVariable = "COMFREYTACK_TEST_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(Main(Native, os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// processes runs each daemon in a process of its own, which can be killed and paused.
type processes struct {
	mu      sync.Mutex
	running map[model.UpstreamName]*exec.Cmd
}

func (p *processes) start(t testing.TB, settings setup.Settings) {
	t.Helper()
	text, err := json.Marshal(settings)
	qt.Assert(t, err, qt.IsNil)
	file := filepath.Join(t.TempDir(), "settings.json")
	qt.Assert(t, os.WriteFile(file, text, 0o600), qt.IsNil)
	command := exec.Command(os.Args[0], "--settings", file)
	command.Env = append(os.Environ(), daemonVariable+"=1")
	qt.Assert(t, command.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	p.mu.Lock()
	p.running[settings.Name] = command
	p.mu.Unlock()
	waitReady(t, settings)
}

func (p *processes) signal(t *testing.T, settings setup.Settings, signal syscall.Signal) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	command := p.running[settings.Name]
	qt.Assert(t, command.Process.Signal(signal), qt.IsNil)
	switch signal {
	case syscall.SIGKILL:
		_ = command.Wait()
	case syscall.SIGSTOP:
		// The threads of a process stop one by one, which takes a while on a busy machine.
		eventually(t, func() bool { return isStopped(t, command.Process.Pid) })
	}
}

// isStopped reports whether all threads of a process are stopped.
func isStopped(t *testing.T, pid int) bool {
	t.Helper()
	threads, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "stat"))
	qt.Assert(t, err, qt.IsNil)
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		// The state follows the name of the program, which is in brackets.
		if end := bytes.LastIndexByte(stat, ')'); err != nil || !bytes.HasPrefix(stat[end+1:], []byte(" T")) {
			return false
		}
	}
	return len(threads) > 0
}

// scenario is a fleet of processes and a key that the first daemon issued.
type scenario struct {
	*processes
	counter *counter
	home    setup.Settings
	entry   setup.Settings
	other   setup.Settings
	key     string
}

// send starts a send of the key through the given daemon and returns a channel for its result.
func (s *scenario) send(t *testing.T, entry setup.Settings, number int, body string) chan result {
	t.Helper()
	outcome := make(chan result, 1)
	go func() { outcome <- sendKeyed(t.Context(), entry, s.key, number, body) }()
	return outcome
}

// running starts the first send through the entry and waits until the upstream runs it.
func (s *scenario) running(t *testing.T) chan result {
	t.Helper()
	outcome := s.send(t, s.entry, 1, "slow")
	eventually(t, func() bool { return s.counter.count("slow") == 1 })
	return outcome
}

var (
	homeLost = result{502, "may_have_run", "home_lost", ""}
	gateLost = result{502, "may_have_run", "gate_lost", ""}
	ran      = result{200, "ran", "none", "slow run 1"}
)

// TestProcessesThatFail kills and pauses daemons at the steps of a keyed call. In each scenario the request must run at
// most once, and the verdicts that callers receive must be true.
func TestProcessesThatFail(t *testing.T) {
	tests := []struct {
		name     string
		scenario func(t *testing.T, s *scenario)
		want     int
	}{
		{name: "home killed before the first send", want: 0, scenario: func(t *testing.T, s *scenario) {
			s.signal(t, s.home, syscall.SIGKILL)
			qt.Check(t, <-s.send(t, s.entry, 1, "slow"), qt.Equals, result{502, "not_run", "home_lost", ""})
			qt.Check(t, <-s.send(t, s.entry, 0, "slow"), qt.Equals, homeLost)
		}},
		{name: "home killed while the request runs", want: 1, scenario: func(t *testing.T, s *scenario) {
			first := s.running(t)
			s.signal(t, s.home, syscall.SIGKILL)
			qt.Check(t, <-first, qt.Equals, homeLost)
			qt.Check(t, <-s.send(t, s.other, 2, "slow"), qt.Equals, homeLost)
			s.start(t, s.home)
			qt.Check(t, <-s.send(t, s.other, 3, "slow"), qt.Equals, homeLost)
			qt.Check(t, <-s.send(t, s.home, 4, "slow"), qt.Equals, homeLost)
		}},
		{name: "entry killed while the request runs", want: 1, scenario: func(t *testing.T, s *scenario) {
			first := s.running(t)
			s.signal(t, s.entry, syscall.SIGKILL)
			qt.Check(t, (<-first).status, qt.Equals, 0)
			second := s.send(t, s.other, 2, "slow")
			s.counter.releaseAll()
			// The home may have sent the request through the gate of the daemon that was killed.
			qt.Check(t, []result{ran, gateLost}, qt.Contains, <-second)
		}},
		{name: "home paused across the deadline before it sees the request", want: 1, scenario: func(t *testing.T, s *scenario) {
			s.counter.releaseAll()
			s.signal(t, s.home, syscall.SIGSTOP)
			first := <-s.send(t, s.entry, 1, "slow")
			s.signal(t, s.home, syscall.SIGCONT)
			qt.Check(t, first.verdict, qt.Equals, "may_have_run")
			time.Sleep(200 * time.Millisecond)
			// The resumed home may still refuse calls while it re-reads its state; a later send runs then.
			number := 1
			eventually(t, func() bool {
				number++
				return <-s.send(t, s.other, number, "slow") == ran
			})
		}},
		{name: "home paused across the deadline while the request runs", want: 1, scenario: func(t *testing.T, s *scenario) {
			first := s.running(t)
			s.signal(t, s.home, syscall.SIGSTOP)
			qt.Check(t, (<-first).verdict, qt.Equals, "may_have_run")
			s.counter.releaseAll()
			s.signal(t, s.home, syscall.SIGCONT)
			qt.Check(t, <-s.send(t, s.other, 2, "slow"), qt.Equals, ran)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := &scenario{processes: &processes{running: map[model.UpstreamName]*exec.Cmd{}}}
			c, f := startCounterBy(t, s.start)
			s.counter, s.home, s.entry, s.other = c, f.daemons[0], f.daemons[1], f.daemons[2]
			s.key = fetchKeys(t, s.home, 1)[0]
			t.Cleanup(c.releaseAll)
			test.scenario(t, s)
			qt.Check(t, c.count("slow"), qt.Equals, test.want)
		})
	}
}
