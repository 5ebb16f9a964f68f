package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["window"] = playWindow }

const (
	windowService = "reservas"
	// windowBytes is the receive buffer of a server's connection; a peer that does not read blocks the writer.
	windowBytes = 4 << 10
	// holdBytes is the body of a request. The daemon reads it whole before it passes the request on.
	holdBytes = 60 << 10
	// windowWork is the work that a server does before it reads the body, and windowTimeout the timeout of the route.
	windowWork    = 3500 * time.Millisecond
	windowTimeout = 4500 * time.Millisecond
	windowHolds   = 4
	// termAfter is when the SIGTERM comes, after the requests were sent.
	termAfter = 300 * time.Millisecond
)

// playWindow has clients of one machine hold beds, each with a body of holdBytes. The machine is stopped meanwhile. In trouble
// the servers read slowly: each reads the body after its work, and not before.
func playWindow(s *site, trouble bool) (bool, error) {
	if _, err := s.addMachine("quito-centro", "buscador", workFor(time.Millisecond)); err != nil {
		return false, err
	}
	work := readFirst
	if trouble {
		work = readLate
	}
	for range 2 {
		if _, err := s.addMachineWithWindow("quito-centro", windowService, work, windowBytes); err != nil {
			return false, err
		}
	}
	s.configure(1, []route{{name: "r-hold", prefix: "/hold/", kind: "non_idempotent", service: windowService, timeoutS: windowTimeout.Seconds()}}, windowService, "buscador")
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	w := &windowWatch{site: s}
	var clients sync.WaitGroup
	for range windowHolds {
		clients.Go(func() { w.hold(s.machines[0]) })
	}
	time.Sleep(termAfter)
	w.stop(s.machines[0])
	clients.Wait()
	return w.broken, nil
}

// readFirst is the work of a server that reads the body of a request before its work.
func readFirst(_ *server, _ http.ResponseWriter, r *http.Request) (int, string) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(windowWork)
	return http.StatusOK, "held\n"
}

// readLate is the work of a server that reads the body of a request after its work.
func readLate(s *server, _ http.ResponseWriter, r *http.Request) (int, string) {
	id := r.Header.Get("X-Comfreytack-Request-Id")
	time.Sleep(windowWork)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.record.log("server %s: the connection of %s ended while it was at work: %d bytes of the body, %v", s.instance, id, n, err)
		return 0, ""
	}
	return http.StatusOK, "held\n"
}

// windowWatch checks the requests of a machine that is stopped.
type windowWatch struct {
	site *site

	mu        sync.Mutex
	stoppedAt time.Time
	broken    bool
}

func (w *windowWatch) stop(m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stoppedAt = time.Now()
	w.site.signal(m, syscall.SIGTERM)
}

func (w *windowWatch) hold(m *machine) {
	c := &client{site: w.site, machine: m}
	defer c.close()
	r := request{id: newID(), method: http.MethodPost, target: "/hold/bed", body: []byte(strings.Repeat("x", holdBytes)), deadline: 5 * time.Second}
	got := c.do(r)
	took := time.Since(got.sentAt)
	ran := 0
	for _, other := range w.site.machines {
		ran += other.server.ran(r.id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.site.record.log("request %s: status %d, stamp %q after %v; runs: %d; SIGTERM %v after it was sent", r.id, got.status, got.stamp, took.Round(time.Millisecond), ran, w.stoppedAt.Sub(got.sentAt).Round(time.Millisecond))
	if ran > 0 && got.stamp == "" && took < windowTimeout && took < windowWork {
		w.site.record.log("request %s was broken off while its server was at work, and got an answer of the daemon's own", r.id)
		w.broken = true
	}
}
