package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// event is a line of the record.
type event struct {
	At      time.Time `json:"at"`
	What    string    `json:"what"`
	ID      string    `json:"id,omitempty"`
	Server  string    `json:"server,omitempty"`
	Service string    `json:"service,omitempty"`
	Method  string    `json:"method,omitempty"`
	Target  string    `json:"target,omitempty"`
	Host    string    `json:"host,omitempty"`
	Caller  string    `json:"caller,omitempty"`
	Body    string    `json:"body,omitempty"`
	Size    int64     `json:"size,omitempty"`
	Status  int       `json:"status,omitempty"`
	Stamp   string    `json:"stamp,omitempty"`
	Kind    string    `json:"kind,omitempty"`
	Note    string    `json:"note,omitempty"`
	Early   bool      `json:"early,omitempty"`
	Whole   bool      `json:"whole,omitempty"`
	Kept    bool      `json:"kept,omitempty"`
}

// record collects what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	events []event
}

func (r *record) add(e event) {
	if e.At.IsZero() {
		e.At = time.Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

func (r *record) all() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := append([]event(nil), r.events...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].At.Before(events[j].At) })
	return events
}

// write writes the record as one line of JSON for each event.
func (r *record) write(path string, began time.Time) error {
	var text strings.Builder
	for _, e := range r.all() {
		line, err := json.Marshal(e)
		if err != nil {
			return err
		}
		fmt.Fprintf(&text, "%8.3f %s\n", e.At.Sub(began).Seconds(), line)
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}

// machine is one machine with its server and its daemon.
type machine struct {
	lab     *lab
	ip      string
	server  *server
	outside string // callers' address
	ready   string

	mu     sync.Mutex
	daemon *exec.Cmd
	exited chan struct{}
	// ended counts the ends of the process that nobody asked for.
	ended   int
	wanted  bool
	paused  bool
	daemons int
}

// ports are the same on all machines.
type ports struct{ callers, gate, peer, ready, app, store int }

// lab is a small deployment on loopback addresses.
type lab struct {
	dir     string
	program string
	record  record
	store   *store
	// storeAddress is what the settings files say.
	storeAddress string
	machines     []*machine
	ports        ports
	began        time.Time
	version      int
	quiet        bool
}

const graceS = 6

func newLab(program string) (*lab, error) {
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, program: program, began: time.Now()}
	if err := l.choosePorts(); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *lab) choosePorts() error {
	for range 50 {
		base := 20000 + rand.IntN(9000)
		candidate := ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}
		free := true
		for port := base; port < base+6; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if !free {
			continue
		}
		l.ports = candidate
		var err error
		l.storeAddress = fmt.Sprintf("127.77.0.1:%d", candidate.store)
		l.store, err = newStore(l.storeAddress)
		return err
	}
	return fmt.Errorf("no free ports")
}

// add adds a machine with a server of the service.
func (l *lab) add(service, zone string, slots, queue int, work func(*http.Request) time.Duration, answerBytes func(*http.Request) int) (*machine, error) {
	n := len(l.machines) + 1
	ip := fmt.Sprintf("127.77.1.%d", n)
	m := &machine{lab: l, ip: ip, outside: fmt.Sprintf("%s:%d", ip, l.ports.callers), ready: fmt.Sprintf("%s:%d", ip, l.ports.ready)}
	m.server = &server{
		lab: l, service: service, zone: zone, address: fmt.Sprintf("%s:%d", ip, l.ports.app), slots: slots, queue: queue,
		work: work, answerBytes: answerBytes,
	}
	l.machines = append(l.machines, m)
	return m, m.server.start(fmt.Sprintf("i-%s-%d-0", service, n))
}

func (m *machine) settings() (string, error) {
	p := m.lab.ports
	text := fmt.Sprintf(`{
  "name": %q, "service": %q, "region": "r", "failure_domain": %q,
  "callers": %q, "gate": "%s:%d", "peer": "%s:%d", "operators": %q, "upstream": %q,
  "platform": [%q], "retry_share": 0.2, "stop_ms": %de3,
  "limits": {"memory_mb": 284, "descriptors": 4100, "bandwidth_mbps": 1000.0},
  "log": {"format": "json"}
}`, m.ip, m.server.service, m.server.zone, m.outside, m.ip, p.gate, m.ip, p.peer, m.ready, m.server.address, m.lab.storeAddress, graceS)
	path := filepath.Join(m.lab.dir, m.ip+".json")
	return path, os.WriteFile(path, []byte(text), 0o644)
}

// startDaemon starts the machine's daemon with the command of the deploy file.
func (m *machine) startDaemon() error {
	path, err := m.settings()
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.daemons++
	out, err := os.Create(filepath.Join(m.lab.dir, fmt.Sprintf("%s-%d.log", m.ip, m.daemons)))
	if err != nil {
		return err
	}
	cmd := exec.Command(m.lab.program, "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.daemon, m.exited, m.wanted = cmd, make(chan struct{}), true
	exited := m.exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		m.mu.Lock()
		unasked := m.wanted && m.daemon == cmd
		if unasked {
			m.ended++
		}
		m.mu.Unlock()
		if unasked {
			m.lab.record.add(event{What: "daemon ended by itself", Server: m.ip, Note: cmd.ProcessState.String()})
		}
		close(exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		m.wanted = false
	}
	if m.daemon != nil {
		_ = m.daemon.Process.Signal(s)
	}
	m.lab.record.add(event{What: "signal", Server: m.ip, Note: s.String()})
}

// awaitExit waits until the daemon has ended, and kills it after graceS.
func (m *machine) awaitExit() {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceS * time.Second):
		m.signal(syscall.SIGKILL)
		<-exited
	}
}

func (m *machine) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (l *lab) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, m := range l.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (l *lab) close() {
	for _, m := range l.machines {
		m.mu.Lock()
		running := m.daemon != nil
		m.mu.Unlock()
		if running {
			m.signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
		}
	}
	for _, m := range l.machines {
		if m.exited != nil {
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs in", l.dir)
	}
}

// route is a route of a configuration.
type route struct {
	Name           string  `json:"name"`
	Host           string  `json:"host"`
	PathPrefix     string  `json:"pathPrefix"`
	RouteType      string  `json:"routeType"`
	TimeoutS       float64 `json:"timeoutS"`
	TargetLatencyS float64 `json:"targetLatencyS"`
	Priority       int     `json:"priority"`
	Service        string  `json:"service"`
	Attempts       int     `json:"attempts"`
}

// configure writes the next version of the configuration.
func (l *lab) configure(routes []route, services []string) {
	l.version += 1 + rand.IntN(4)
	var named []map[string]any
	for _, service := range services {
		named = append(named, map[string]any{"name": service, "healthPath": "/health", "maxConnections": 260, "protocol": "h1", "tls": false})
	}
	l.store.put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", l.version), "routes": routes, "services": named,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
}
