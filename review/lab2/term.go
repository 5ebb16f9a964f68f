package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { plays["term"] = playTerm }

const (
	termService = "reservas"
	// lookupTime is the work of a lookup, and holdTime that of a hold.
	lookupTime = 200 * time.Millisecond
	holdTime   = 2200 * time.Millisecond
	// termTimeout is the timeout of the route.
	termTimeout = 2500 * time.Millisecond
	// lookupClients is the number of clients on each machine that look beds up, one request after another, and holdEvery the
	// time between two clients that come to a machine to hold a bed.
	lookupClients = 4
	holdEvery     = 350 * time.Millisecond
	// zoneSize is the number of machines in each zone.
	zoneSize = 3
	// termGap is the pause between the stops of two machines.
	termGap = time.Second
	// lateAfter is how long after a SIGTERM requests are no longer excused when they are broken off.
	lateAfter = 3 * time.Second
)

// playTerm stops two of the three machines of a zone in turn, while their clients hold beds. Another zone has as many machines.
func playTerm(s *site, trouble bool) (bool, error) {
	for i := range 2 * zoneSize {
		zone := "quito-sur"
		if i >= zoneSize {
			zone = "cumbaya"
		}
		if _, err := s.addMachine(zone, termService, workByMethod); err != nil {
			return false, err
		}
	}
	s.configure(1, []route{
		{name: "r-hold", prefix: "/hold/", kind: "non_idempotent", service: termService, timeoutS: termTimeout.Seconds()},
		{name: "r-look", prefix: "/look/", kind: "idempotent", service: termService, timeoutS: termTimeout.Seconds(), priority: 1},
	}, termService)
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	w := &termWatch{site: s, misses: map[*machine]int{}, stoppedAt: map[*machine]time.Time{}}
	go w.askReady()
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range s.machines[:zoneSize] {
		for range lookupClients {
			clients.Go(func() { w.lookUp(done, m) })
		}
		clients.Go(func() { w.holdBeds(done, m) })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, m := range s.machines[:2] {
			w.stop(m)
			time.Sleep(termGap)
		}
	} else {
		time.Sleep(2 * termGap)
	}
	time.Sleep(7 * time.Second)
	close(done)
	clients.Wait()
	return w.broken, nil
}

// workByMethod takes longer for holds.
func workByMethod(s *server, w http.ResponseWriter, r *http.Request) (int, string) {
	if r.Method == http.MethodPost {
		return workFor(holdTime)(s, w, r)
	}
	return workFor(lookupTime)(s, w, r)
}

// termWatch is the platform's view of readiness, and the check of the rule.
type termWatch struct {
	site *site

	mu        sync.Mutex
	misses    map[*machine]int
	stoppedAt map[*machine]time.Time
	broken    bool
}

func (w *termWatch) stop(m *machine) {
	w.mu.Lock()
	w.stoppedAt[m] = time.Now()
	w.mu.Unlock()
	w.site.signal(m, syscall.SIGTERM)
	go func() {
		for !m.hasEnded() {
			time.Sleep(20 * time.Millisecond)
		}
		// A process that ends is started again after a short delay.
		time.Sleep(500 * time.Millisecond)
		if err := w.site.startDaemon(m); err != nil {
			w.site.record.log("daemon of %s does not start: %v", m.name, err)
		}
	}()
}

// askReady asks each daemon once a second whether it is ready.
func (w *termWatch) askReady() {
	for {
		for _, m := range w.site.machines {
			go func() {
				ready := w.site.isReady(m)
				w.mu.Lock()
				defer w.mu.Unlock()
				if ready {
					w.misses[m] = 0
				} else {
					w.misses[m]++
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// mayReceive reports whether the platform gives the clients of a machine new work: the daemon is in, or fewer than half of
// the zone's daemons are.
func (w *termWatch) mayReceive(m *machine) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	in := 0
	for _, other := range w.site.machines[:zoneSize] {
		if w.misses[other] < 2 {
			in++
		}
	}
	return w.misses[m] < 2 || 2*in < zoneSize
}

// lookUp is a client that looks beds up on a kept connection.
func (w *termWatch) lookUp(done chan struct{}, m *machine) {
	c := &client{site: w.site, machine: m}
	defer c.close()
	for !isClosed(done) {
		if !w.mayReceive(m) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r := request{id: newID(), method: http.MethodGet, target: "/look/beds", deadline: 5 * time.Second}
		got := c.do(r)
		w.check(m, r, got)
		if got.status != http.StatusOK {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// holdBeds has a client come to a machine every holdEvery, each with a connection of its own.
func (w *termWatch) holdBeds(done chan struct{}, m *machine) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for ; !isClosed(done); time.Sleep(holdEvery) {
		if !w.mayReceive(m) {
			continue
		}
		clients.Go(func() {
			c := &client{site: w.site, machine: m}
			defer c.close()
			r := request{id: newID(), method: http.MethodPost, target: "/hold/bed", body: []byte("a bed"), deadline: 5 * time.Second}
			w.check(m, r, c.do(r))
		})
	}
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// check judges a request that ended without a complete answer.
func (w *termWatch) check(m *machine, r request, got result) {
	if got.err == nil || got.sentAt.IsZero() {
		return
	}
	ran := 0
	for _, other := range w.site.machines {
		ran += other.server.ran(r.id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	stoppedAt, stopped := w.stoppedAt[m]
	w.site.record.log("request %s: no complete answer after %v; runs: %d; sent %v after the SIGTERM (stopped: %v)",
		r.id, time.Since(got.sentAt).Round(time.Millisecond), ran, got.sentAt.Sub(stoppedAt).Round(time.Millisecond), stopped)
	if stopped && ran > 0 && got.sentAt.Sub(stoppedAt) > lateAfter && time.Since(got.sentAt) < termTimeout {
		w.site.record.log("request %s is lost: it was passed on, and the connection ended without an answer", r.id)
		w.broken = true
	}
}
