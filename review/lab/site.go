package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes down what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) add(who, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s: %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// The ports of a machine; they are the same on all machines.
const (
	portCallers = iota
	portGate
	portPeer
	portReady
	portServer
	portCount
)

// usualDeadline is how long clients wait where a case does not say otherwise.
const usualDeadline = 3 * time.Second

// maxMachines is how many addresses are reserved.
const maxMachines = 8

// site is a small deployment.
type site struct {
	record   *record
	store    *store
	machines []*machine
	program  string
	temp     string
	network  string
	// workTime is how long work takes on the servers, and deadline how long the clients wait.
	workTime time.Duration
	deadline time.Duration
	ports    []int
	stopped  sync.Once
}

// machine is a server with its daemon and its clients, at a loopback address of its own.
type machine struct {
	ip     string
	server *server
	daemon *exec.Cmd
	client *http.Client
}

func newSite(program string, r *record) (*site, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, program: program, temp: temp, workTime: usualWorkTime, deadline: usualDeadline}
	if err := s.reservePorts(); err != nil {
		return nil, err
	}
	s.store, err = startStore()
	return s, err
}

// reservePorts chooses ports that are free at all addresses of a network of the loopback range.
func (s *site) reservePorts() error {
	s.network = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
	for range portCount {
		port, err := freePort(s.network)
		if err != nil {
			return err
		}
		s.ports = append(s.ports, port)
	}
	return nil
}

func freePort(network string) (int, error) {
	for range 100 {
		port := 20000 + rand.IntN(10000)
		if portIsFree(network, port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port at %s", network)
}

func portIsFree(network string, port int) bool {
	for i := range maxMachines {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, i+1, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

func (s *site) at(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, s.ports[port]) }

// addMachine starts a server of a service and the daemon beside it.
func (s *site) addMachine(service string) *machine {
	n := len(s.machines) + 1
	m := &machine{ip: fmt.Sprintf("%s%d", s.network, n), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}}}
	s.machines = append(s.machines, m)
	var err error
	m.server, err = startServer(s, fmt.Sprintf("i-%04x%04d", rand.IntN(1<<16), n), service, "quito-centro", s.at(m, portServer))
	if err != nil {
		panic(err)
	}
	s.record.add("machine", "%s: server %s of %s", m.ip, m.server.name(), service)
	s.startDaemon(m)
	return m
}

// startDaemon starts the daemon with the command of the deploy file and settings made as its template says.
func (s *site) startDaemon(m *machine) {
	settings := map[string]any{
		"name": m.ip, "service": m.server.service, "region": "sierra-norte", "failure_domain": m.server.zone,
		"callers": s.at(m, portCallers), "gate": s.at(m, portGate), "peer": s.at(m, portPeer), "operators": s.at(m, portReady),
		"upstream": m.server.address, "platform": []string{s.store.address}, "stop_ms": 6e3, "log": map[string]string{"format": "json"},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		panic(err)
	}
	path := filepath.Join(s.temp, m.ip+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		panic(err)
	}
	output, err := os.OpenFile(filepath.Join(s.temp, m.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer output.Close()
	m.daemon = exec.Command(s.program, "--settings", path)
	m.daemon.Stdout, m.daemon.Stderr = output, output
	if err := m.daemon.Start(); err != nil {
		panic(err)
	}
}

// waitReady waits until all daemons are ready.
func (s *site) waitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range s.machines {
		for !s.isReady(m) {
			if time.Now().After(deadline) {
				panic("the daemon at " + m.ip + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.add("case", "all daemons are ready")
}

func (s *site) isReady(m *machine) bool {
	answer, err := http.Get("http://" + s.at(m, portReady) + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// stop ends all processes and stand-ins.
func (s *site) stop() {
	s.stopped.Do(func() {
		for _, m := range s.machines {
			if m.daemon != nil && m.daemon.Process != nil {
				_ = m.daemon.Process.Signal(syscall.SIGTERM)
			}
		}
		for _, m := range s.machines {
			if m.daemon != nil && m.daemon.Process != nil {
				kill := time.AfterFunc(7*time.Second, func() { _ = m.daemon.Process.Kill() })
				_ = m.daemon.Wait()
				kill.Stop()
			}
			if m.server != nil {
				m.server.stop()
			}
		}
		s.recordWarnings()
		s.store.stop()
		_ = os.RemoveAll(s.temp)
	})
}

// recordWarnings copies the first warnings of each daemon, which say what it refused.
func (s *site) recordWarnings() {
	for _, m := range s.machines {
		output, err := os.ReadFile(filepath.Join(s.temp, m.ip+".log"))
		if err != nil {
			continue
		}
		copied := 0
		for line := range strings.Lines(string(output)) {
			if copied < 20 && strings.Contains(line, `"level":"WARN"`) {
				s.record.add("log of "+m.ip, "%s", strings.TrimSpace(line))
				copied++
			}
		}
	}
}

// configuration is the operator's configuration, without what is the same in all cases.
type configuration struct {
	version int
	routes  []configRoute
}

type configRoute struct {
	Name           string  `json:"name"`
	Host           string  `json:"host"`
	PathPrefix     string  `json:"pathPrefix"`
	RouteType      string  `json:"routeType"`
	TimeoutS       float64 `json:"timeoutS"`
	TargetLatencyS float64 `json:"targetLatencyS"`
	Priority       int     `json:"priority"`
	Service        string  `json:"service,omitempty"`
	// WeightedClusters takes the place of Service in a split.
	WeightedClusters []configCluster `json:"weightedClusters,omitempty"`
	Attempts         int             `json:"attempts"`
}

type configCluster struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

type configService struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

// publish writes a configuration and returns when the store has acknowledged it.
func (s *site) publish(c configuration) time.Time {
	var services []configService
	for _, name := range []string{"buscador", "reservas"} {
		services = append(services, configService{Name: name, HealthPath: "/health", MaxConnections: 260, Protocol: "h1"})
	}
	encoded, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", c.version), "routes": c.routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	if err != nil {
		panic(err)
	}
	acknowledged := s.store.write("op/config", encoded)
	s.record.add("store", "acknowledges configuration %d: %d routes, %d bytes", c.version, len(c.routes), len(encoded))
	return acknowledged
}

// answer is what a client got.
type answer struct {
	id string
	// status is zero if there was no answer.
	status int
	// service is the one whose server signed the answer.
	service string
}

// send sends a request to the daemon of a machine and returns its answer.
func (s *site) send(m *machine, method, path string, body []byte) answer {
	result := answer{id: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, cancel := context.WithTimeout(context.Background(), s.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.at(m, portCallers)+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = "hulo84.example"
	request.Header.Set("X-Comfreytack-Request-Id", result.id)
	request.Header.Set("X-Comfreytack-Deadline-Ms", fmt.Sprint(s.deadline.Milliseconds()))
	s.record.add("client of "+m.ip, "sends %s %s %s", result.id, method, path)
	response, err := m.client.Do(request)
	if err != nil {
		s.record.add("client of "+m.ip, "%s gets no answer: %v", result.id, err)
		return result
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	stamp := response.Header.Get("X-Comfreytack-Server-Stamp")
	s.record.add("client of "+m.ip, "%s gets %d, stamp %q, whole %t", result.id, response.StatusCode, stamp, err == nil)
	if err != nil {
		return result
	}
	result.status = response.StatusCode
	result.service, _, _ = strings.Cut(stamp, ".")
	return result
}

// sendSteadily sends requests to all machines in turn, the given number in a second, until the function that it returns
// is called.
func (s *site) sendSteadily(method, path string, perSecond int) (stop func()) {
	ended := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-tick.C:
				m := s.machines[i%len(s.machines)]
				sending.Go(func() { s.send(m, method, path, []byte("hold")) })
			case <-ended:
				return
			}
		}
	})
	return sync.OnceFunc(func() {
		close(ended)
		sending.Wait()
	})
}

// runs returns how many requests the servers have begun to work on.
func (s *site) runs() int {
	total := 0
	for _, m := range s.machines {
		total += len(m.server.runsAfter(time.Time{}))
	}
	return total
}

// requestHead returns the request line and the headers that every request has.
func requestHead(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: hulo84.example\r\nX-Comfreytack-Request-Id: %s\r\nX-Comfreytack-Deadline-Ms: 3000\r\n", method, path, id)
}

const (
	// firstPiece is the size of the first piece of an upload, in bytes.
	firstPiece  = 80_000
	uploadPause = 150 * time.Millisecond
)

// client is a client that keeps its connection open for many requests.
type client struct {
	site    *site
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
	// foreign counts the answers with the id of another request than the one that waits.
	foreign int
	sent    int
}

func (c *client) name() string { return "client of " + c.machine.ip }

// connect opens a connection if none is open.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.site.at(c.machine, portCallers), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends the pieces of a request, with pauses between them, and reads the answer.
func (c *client) exchange(id, what string, pieces ...string) {
	record := c.site.record
	if err := c.connect(); err != nil {
		record.add(c.name(), "no connection: %v", err)
		time.Sleep(uploadPause)
		return
	}
	c.sent++
	record.add(c.name(), "sends %s %s", id, what)
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(uploadPause)
		}
		if _, err := io.WriteString(c.conn, piece); err != nil {
			record.add(c.name(), "%s could not be sent: %v", id, err)
			break
		}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		record.add(c.name(), "%s gets no answer: %v", id, err)
		c.close()
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	of := response.Header.Get("X-Comfreytack-Request-Id")
	record.add(c.name(), "%s gets %d with the id %q, close %t, whole %t", id, response.StatusCode, of, response.Close, err == nil)
	if of != "" && of != id {
		c.foreign++
		record.add("rule", "the answer to %s is that of %s", id, of)
	}
	if err != nil || response.Close || of != id {
		c.close()
	}
}

// upload sends a body in one chunk and two pieces. The second piece has the text of a saved request with the given id.
func (c *client) upload(embedded string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	second := requestHead("POST", "/hold/x", embedded) + "Content-Length: 0\r\n\r\n"
	head := requestHead("POST", "/hold/x", id) + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", firstPiece+len(second))
	c.exchange(id, "POST /hold/x, an upload in chunks with the text of "+embedded, head+strings.Repeat("file ", firstPiece/5), second+"\r\n0\r\n\r\n")
}

// look sends a small request.
func (c *client) look() {
	id := fmt.Sprintf("%016x", rand.Uint64())
	c.exchange(id, "GET /look/x", requestHead("GET", "/look/x", id)+"\r\n")
}
