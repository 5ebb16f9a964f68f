package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	healthPath   = "/health"
	readyTimeout = 15 * time.Second
	host         = "beds.example"
)

// machine is a loopback address with a server and the daemon beside it.
type machine struct {
	name    string
	ip      string
	zone    string
	service string
	server  *server

	settings string
	log      *os.File
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
}

// site is a small deployment: a store, machines and their daemons. Ports are the same on all machines.
type site struct {
	record   *record
	dir      string
	daemon   string
	store    *store
	ports    []int
	machines []*machine
	limits   map[string]any
	graceS   float64
	storeAt  string

	mu     sync.Mutex
	closed bool
}

// The indexes of a site's ports.
const (
	callersPort = iota
	gatePort
	peerPort
	readyPort
	appPort
	storePort
	portCount
)

func newSite(rec *record, daemon string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{
		record: rec, dir: dir, daemon: daemon, store: newStore(), graceS: 6,
		limits: map[string]any{"memory_mb": 284, "descriptors": 4100, "bandwidth_mbps": 1000.0},
	}
	if s.ports, err = freePorts(portCount); err != nil {
		return nil, err
	}
	s.storeAt = net.JoinHostPort("127.0.0.1", strconv.Itoa(s.ports[storePort]))
	listener, err := net.Listen("tcp", s.storeAt)
	if err != nil {
		return nil, err
	}
	go s.store.serve(listener)
	return s, nil
}

func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addMachine adds a machine with a server that does the given work, and registers the server.
func (s *site) addMachine(zone, service string, work work) (*machine, error) {
	return s.addMachineWithWindow(zone, service, work, 0)
}

// addMachineWithWindow adds a machine whose server has connections with a small receive buffer.
func (s *site) addMachineWithWindow(zone, service string, work work, window int) (*machine, error) {
	n := len(s.machines) + 1
	m := &machine{name: fmt.Sprintf("machine-%d", n), ip: fmt.Sprintf("127.0.7.%d", n), zone: zone, service: service}
	m.server = newServer(s.record, service, fmt.Sprintf("i-%d", n), m.at(s, appPort), work)
	m.server.window = window
	if err := m.server.start(); err != nil {
		return nil, err
	}
	s.machines = append(s.machines, m)
	s.register(m)
	return m, nil
}

// register writes the entry of a machine's server.
func (s *site) register(m *machine) {
	s.store.put("servers/"+m.server.instance, fmt.Sprintf(
		`{"address":%q,"born":%d,"info":{"service":%q,"zone":%q,"version":"v1","maxConcurrency":%d},"status":{"state":"ready","sequence":1,"warmupLeftS":0}}`,
		m.server.address, time.Now().UnixMilli(), m.service, m.zone, slotCount))
}

// route is a route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeoutS                    float64
	priority                    int
}

// configure writes the operator's configuration.
func (s *site) configure(version int, routes []route, services ...string) {
	var list, named []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "routeType": r.kind, "timeoutS": r.timeoutS,
			"targetLatencyS": r.timeoutS / 2, "priority": r.priority, "service": r.service, "attempts": 2,
		})
	}
	for _, name := range services {
		named = append(named, map[string]any{"name": name, "healthPath": healthPath, "maxConnections": 260, "protocol": "h1", "tls": false})
	}
	config, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": list, "services": named,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	s.store.put("op/config", string(config))
}

func (m *machine) at(s *site, port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(s.ports[port]))
}

// startDaemon starts the daemon of a machine as deploy/system.toml says, with the settings of its template.
func (s *site) startDaemon(m *machine) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if m.settings == "" {
		data, _ := json.MarshalIndent(map[string]any{
			"name": m.ip, "service": m.service, "region": "sierra-norte", "failure_domain": m.zone,
			"callers": m.at(s, callersPort), "gate": m.at(s, gatePort), "peer": m.at(s, peerPort), "operators": m.at(s, readyPort),
			"upstream": m.at(s, appPort), "platform": []string{s.storeAt}, "retry_share": 0.2, "stop_ms": s.graceS * 1000,
			"limits": s.limits, "log": map[string]any{"format": "json"},
		}, "", "  ")
		m.settings = filepath.Join(s.dir, m.name+".json")
		if err := os.WriteFile(m.settings, data, 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(s.dir, m.name+".log"))
		if err != nil {
			return err
		}
		m.log = log
	}
	process := exec.Command(s.daemon, "--settings", m.settings)
	process.Stdout, process.Stderr = m.log, m.log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = process, exited
	m.mu.Unlock()
	go func() {
		err := process.Wait()
		s.record.log("daemon of %s has ended: %v", m.name, err)
		close(exited)
	}()
	return nil
}

// startDaemons starts all daemons and waits until they are ready.
func (s *site) startDaemons() error {
	for _, m := range s.machines {
		if err := s.startDaemon(m); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := s.awaitReady(m); err != nil {
			return err
		}
	}
	s.record.log("%d daemons are ready", len(s.machines))
	return nil
}

func (s *site) awaitReady(m *machine) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if s.isReady(m) {
			return nil
		}
	}
	return fmt.Errorf("the daemon of %s is not ready", m.name)
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady asks as the platform does.
func (s *site) isReady(m *machine) bool {
	answer, err := readyClient.Get("http://" + m.at(s, readyPort) + "/ready")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// signal sends a signal to the daemon of a machine.
func (s *site) signal(m *machine, signal syscall.Signal) {
	s.record.log("%v to the daemon of %s", signal, m.name)
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.process.Process.Signal(signal)
}

// hasEnded reports whether the daemon's process has ended.
func (m *machine) hasEnded() bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// peakMB returns the largest resident memory of the daemon so far, in MB.
func (m *machine) peakMB() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// close ends all daemons and removes the folder.
func (s *site) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, m := range s.machines {
		m.mu.Lock()
		process, exited := m.process, m.exited
		m.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Kill()
		<-exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
