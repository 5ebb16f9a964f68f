package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// work decides what a run does. It returns the status and the body of the answer; a status of 0 means that it has written
// the answer itself, or none.
type work func(s *server, w http.ResponseWriter, r *http.Request) (status int, body string)

// server is a stand-in for an application server. It checks X-Comfreytack-Expect-Instance, runs at most slots requests at
// once, rejects what it cannot queue, stops work at the deadline that it receives and when its connection closes.
type server struct {
	service, instance, address string
	record                     *record
	work                       work
	// window is the size of the receive buffer of its connections, in bytes; zero leaves that to the system.
	window int

	slots chan struct{}
	queue chan struct{}

	mu       sync.Mutex
	http     *http.Server
	conns    map[net.Conn]struct{}
	runs     map[string]int
	inFlight map[string]bool
	crashes  int
}

const (
	slotCount  = 9
	queueCount = 18
)

func newServer(rec *record, service, instance, address string, work work) *server {
	return &server{
		service: service, instance: instance, address: address, record: rec, work: work,
		slots: make(chan struct{}, slotCount), queue: make(chan struct{}, slotCount+queueCount),
		conns: map[net.Conn]struct{}{}, runs: map[string]int{}, inFlight: map[string]bool{},
	}
}

// start listens at the server's address.
func (s *server) start() error {
	config := net.ListenConfig{Control: s.setWindow}
	listener, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s, ConnState: s.track, IdleTimeout: 10 * time.Second}
	s.mu.Lock()
	s.http = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// setWindow makes the window of the connections small, so that a server that does not read blocks the writer.
func (s *server) setWindow(_, _ string, raw syscall.RawConn) error {
	if s.window == 0 {
		return nil
	}
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.window)
	})
	return errors.Join(err, optionErr)
}

func (s *server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// crash ends all connections with a reset, refuses new ones, and starts again after a while.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	s.crashes++
	lost := len(s.inFlight)
	server, conns := s.http, s.conns
	s.conns = map[net.Conn]struct{}{}
	s.mu.Unlock()
	s.record.log("server %s crashes with %d requests in flight", s.instance, lost)
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	time.AfterFunc(down, func() {
		if err := s.start(); err != nil {
			s.record.log("server %s does not start: %v", s.instance, err)
			return
		}
		s.record.log("server %s is back", s.instance)
	})
}

// ServeHTTP answers health checks and runs requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if r.URL.Path == healthPath {
		header.Set("X-Comfreytack-Instance-Id", s.instance)
		header.Set("X-Comfreytack-Server-Load", fmt.Sprintf("%d,0,%d,100", len(s.slots), slotCount))
		return
	}
	id := r.Header.Get("X-Comfreytack-Request-Id")
	header.Set("X-Comfreytack-Request-Id", id)
	if expected := r.Header.Get("X-Comfreytack-Expect-Instance"); expected != "" && expected != s.instance {
		header.Set("X-Comfreytack-Instance-Id", s.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadlineOf(r))
	defer cancel()
	if id == "" || !s.enter(ctx) {
		s.reject(w, id)
		return
	}
	defer func() { <-s.slots; <-s.queue }()
	s.run(w, r.WithContext(ctx), id)
}

func deadlineOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Comfreytack-Deadline-Ms"))
	if err != nil {
		return time.Hour
	}
	return time.Duration(ms) * time.Millisecond
}

// enter waits for a slot.
func (s *server) enter(ctx context.Context) bool {
	select {
	case s.queue <- struct{}{}:
	default:
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		<-s.queue
		return false
	}
}

func (s *server) reject(w http.ResponseWriter, id string) {
	s.record.log("server %s rejects %s", s.instance, id)
	w.Header().Set("X-Comfreytack-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *server) run(w http.ResponseWriter, r *http.Request, id string) {
	s.mu.Lock()
	s.runs[id]++
	s.inFlight[id] = true
	s.mu.Unlock()
	s.record.log("server %s runs %s: %s %s", s.instance, id, r.Method, r.RequestURI)
	defer func() {
		s.mu.Lock()
		delete(s.inFlight, id)
		s.mu.Unlock()
	}()
	status, body := s.work(s, w, r)
	if status == 0 {
		return
	}
	s.answer(w, status, body)
	s.record.log("server %s answers %s with %d", s.instance, id, status)
}

// answer writes a whole answer.
func (s *server) answer(w http.ResponseWriter, status int, body string) {
	header := w.Header()
	header.Set("X-Comfreytack-Server-Stamp", "stamp-of-"+s.instance)
	header.Set("X-Comfreytack-Server-Load", fmt.Sprintf("%d,0,%d,100", len(s.slots), slotCount))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// ran returns how often the server ran a request.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// workFor returns a run that takes the given time, or ends at its deadline with 504.
func workFor(d time.Duration) work {
	return func(s *server, w http.ResponseWriter, r *http.Request) (int, string) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(d):
			return http.StatusOK, "answer of " + s.instance + " to " + r.Header.Get("X-Comfreytack-Request-Id") + "\n"
		case <-r.Context().Done():
		}
		if r.Context().Err() == context.DeadlineExceeded {
			return http.StatusGatewayTimeout, "deadline\n"
		}
		s.record.log("server %s drops %s: its connection has closed", s.instance, r.Header.Get("X-Comfreytack-Request-Id"))
		return 0, ""
	}
}
