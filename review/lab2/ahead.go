package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { plays["ahead"] = playAhead }

const (
	// aheadPairs is how many connections carry a lookup and, sent ahead of its answer, an upload.
	aheadPairs = 120
	// earlyEvery is how often a server rejects a long request before it has read it: one in twenty.
	earlyEvery = 20
	// aheadAtOnce bounds the connections in use at a time.
	aheadAtOnce = 4
	lookupWork  = 600 * time.Millisecond
	uploadBytes = 512 << 10
	// uploadPart is sent each uploadPause: 10 Mbit/s.
	uploadPart  = 12500
	uploadPause = 10 * time.Millisecond
	// allowedLost is how many requests may be lost before the rule is broken.
	allowedLost = 3
)

// playAhead has clients send an idempotent upload before their lookup has been answered. Now and then the server of the
// uploads rejects one before it has read it.
func playAhead(s *site, trouble bool) (bool, error) {
	if _, err := s.addMachine("quito-centro", "buscador", workFor(lookupWork)); err != nil {
		return false, err
	}
	uploads := &uploadServer{trouble: trouble}
	if _, err := s.addMachine("quito-centro", "albergues", uploads.work); err != nil {
		return false, err
	}
	s.configure(1, []route{
		{name: "r-look", prefix: "/look/", kind: "idempotent", service: "buscador", timeoutS: 2.5, priority: 1},
		{name: "r-upload", prefix: "/upload/", kind: "idempotent", service: "albergues", timeoutS: 2.5, priority: 1},
	}, "buscador", "albergues")
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	w := &aheadWatch{site: s}
	slots := make(chan struct{}, aheadAtOnce)
	var clients sync.WaitGroup
	for range aheadPairs {
		slots <- struct{}{}
		clients.Go(func() {
			defer func() { <-slots }()
			w.pair(s.machines[0])
		})
	}
	clients.Wait()
	s.record.log("lookups that were passed on and lost with their connection: %d of %d (allowed: %d); early answers: %d",
		w.lost, aheadPairs, allowedLost, uploads.early)
	return w.lost > allowedLost, nil
}

// uploadServer answers uploads. In trouble it rejects some before it has read them, keeps the connection and reads on.
type uploadServer struct {
	trouble bool

	mu           sync.Mutex
	count, early int
}

func (u *uploadServer) work(s *server, w http.ResponseWriter, r *http.Request) (int, string) {
	id := r.Header.Get("X-Comfreytack-Request-Id")
	u.mu.Lock()
	u.count++
	early := u.trouble && u.count%earlyEvery == 0
	if early {
		u.early++
	}
	u.mu.Unlock()
	if !early {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			s.record.log("server %s: upload %s ended after %d bytes: %v", s.instance, id, n, err)
			return 0, ""
		}
		return http.StatusOK, fmt.Sprintf("%d bytes\n", n)
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	s.answer(w, http.StatusForbidden, "too long\n")
	_ = http.NewResponseController(w).Flush()
	s.record.log("server %s rejects upload %s before it has read it", s.instance, id)
	_, _ = io.Copy(io.Discard, r.Body)
	return 0, ""
}

// aheadWatch counts the lookups that were lost.
type aheadWatch struct {
	site *site

	mu   sync.Mutex
	lost int
}

// pair sends a lookup and an upload on one connection and reads both answers. A sound client goes on sending the body of
// its upload while it reads.
func (w *aheadWatch) pair(m *machine) {
	c := &client{site: w.site, machine: m}
	defer c.close()
	// The connection is a kept one: a first lookup has been answered on it.
	first := request{id: newID(), method: http.MethodGet, target: "/look/first", deadline: 5 * time.Second}
	if got := c.do(first); got.status != http.StatusOK || got.closes {
		return
	}
	lookup := request{id: newID(), method: http.MethodGet, target: "/look/beds", deadline: 5 * time.Second}
	upload := request{id: newID(), method: http.MethodPut, target: "/upload/list", deadline: 5 * time.Second, body: []byte(strings.Repeat("x", uploadBytes))}
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(lookup.deadline))
	w.site.record.log("client of %s sends %s and, ahead of its answer, %s with %d bytes", m.name, lookup.id, upload.id, uploadBytes)
	if _, err := io.WriteString(conn, lookup.head()+upload.head()); err != nil {
		return
	}
	go func() {
		for rest := upload.body; len(rest) > 0; rest = rest[min(len(rest), uploadPart):] {
			if _, err := conn.Write(rest[:min(len(rest), uploadPart)]); err != nil {
				return
			}
			time.Sleep(uploadPause)
		}
	}()
	got := c.read(lookup)
	if got.err != nil {
		w.judge(m, lookup, got)
		return
	}
	c.read(upload)
}

func (w *aheadWatch) judge(m *machine, r request, got result) {
	ran := w.site.machines[0].server.ran(r.id)
	w.site.record.log("lookup %s: connection ended without an answer (%v); runs: %d", r.id, got.err, ran)
	if ran > 0 && !m.hasEnded() {
		w.mu.Lock()
		w.lost++
		w.mu.Unlock()
	}
}
