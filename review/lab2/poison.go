package main

import (
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { plays["poison"] = playPoison }

const (
	poisonService = "reservas"
	// crashAfter is how long a poison request runs until its server crashes, and crashDown how long the server is away.
	crashAfter = 300 * time.Millisecond
	crashDown  = 3 * time.Second
	// poisonPatience is how long the client of a poison request waits before it leaves.
	poisonPatience = 200 * time.Millisecond
	// poisonPause is the time between two sends of the poison request.
	poisonPause = time.Second
	// The client sends it firstSends times, waits until stableWindow has passed, and sends it laterSends times more. In each
	// of the two spans it leaves early for less than 5.5 s.
	firstSends = 3
	laterSends = 5
	calmAfter  = time.Second
	// stableWindow is stableWindowS.
	stableWindow = 3 * time.Second
	// allowedRetries is how many retries may reach servers later than stableWindow after the third crash.
	allowedRetries = 3
	poisonBody     = "poison"
)

// playPoison has a client send a request that crashes each server that runs it, again and again, at machines in turn. In
// trouble the client leaves before the crash.
func playPoison(s *site, trouble bool) (bool, error) {
	w := &poisonWatch{site: s}
	for range 5 {
		if _, err := s.addMachine("quito-centro", poisonService, w.work); err != nil {
			return false, err
		}
	}
	s.configure(1, []route{{name: "r-hold", prefix: "/hold/", kind: "non_idempotent", service: poisonService, timeoutS: 1.5}}, poisonService)
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var others sync.WaitGroup
	for _, m := range s.machines {
		others.Go(func() { w.holdBeds(done, m) })
	}
	time.Sleep(time.Second)
	for i := range firstSends {
		w.sendPoison(s.machines[i], trouble)
	}
	time.Sleep(stableWindow + calmAfter)
	for i := range laterSends {
		w.sendPoison(s.machines[i], trouble)
	}
	close(done)
	others.Wait()
	s.record.log("crashes: %d; sends that reached a server later than %v after the third crash: %d (allowed: %d); other requests that were lost in a crash: %d",
		w.crashes, stableWindow, w.late, allowedRetries, w.lost)
	return w.late > allowedRetries, nil
}

// poisonWatch counts crashes, and runs of the poison request after the third.
type poisonWatch struct {
	site *site

	mu         sync.Mutex
	crashes    int
	thirdAt    time.Time
	late, lost int
}

// work crashes the server if the body says so. The server notices late that a connection has closed.
func (w *poisonWatch) work(s *server, _ http.ResponseWriter, r *http.Request) (int, string) {
	body, _ := io.ReadAll(r.Body)
	if string(body) != poisonBody {
		time.Sleep(150 * time.Millisecond)
		return http.StatusOK, "held\n"
	}
	w.mu.Lock()
	if !w.thirdAt.IsZero() && time.Since(w.thirdAt) > stableWindow {
		w.late++
	}
	w.mu.Unlock()
	time.Sleep(crashAfter)
	w.mu.Lock()
	w.crashes++
	if w.crashes == 3 {
		w.thirdAt = time.Now()
	}
	w.mu.Unlock()
	s.crash(crashDown)
	return 0, ""
}

func (w *poisonWatch) sendPoison(m *machine, trouble bool) {
	began := time.Now()
	c := &client{site: w.site, machine: m}
	r := request{id: newID(), method: http.MethodPost, target: "/hold/bed", body: []byte(poisonBody), deadline: 1200 * time.Millisecond}
	if err := c.connect(); err != nil {
		return
	}
	if trouble {
		conn := c.conn
		leave := time.AfterFunc(poisonPatience, func() {
			w.site.record.log("client of %s leaves before the answer to %s", m.name, r.id)
			_ = conn.Close()
		})
		defer leave.Stop()
	}
	c.do(r)
	c.close()
	time.Sleep(poisonPause - time.Since(began))
}

// holdBeds is the load of other clients.
func (w *poisonWatch) holdBeds(done chan struct{}, m *machine) {
	c := &client{site: w.site, machine: m}
	defer c.close()
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		r := request{id: newID(), method: http.MethodPost, target: "/hold/bed", body: []byte("bed " + newID()), deadline: 1200 * time.Millisecond}
		got := c.do(r)
		if got.status == http.StatusBadGateway {
			w.mu.Lock()
			w.lost++
			w.mu.Unlock()
		}
	}
}
