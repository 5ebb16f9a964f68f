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
	// aheadPairs is how many connections carry a lookup and, sent ahead of its answer, an upload, in each of aheadSpans spans
	// with a pause between them.
	aheadPairs = 240
	aheadSpans = 3
	aheadPause = 6 * time.Second
	// earlyEvery is how often these servers reject a long request before they have read it: one in fifty.
	earlyEvery = 50
	// aheadAtOnce bounds the connections in use at a time, so that no server runs short of slots.
	aheadAtOnce = 20
	lookupWork  = 400 * time.Millisecond
	// lookupServers and uploadServers are the numbers of servers; earlyServers of the latter reject uploads early.
	lookupServers = 6
	uploadServers = 4
	earlyServers  = 2
	// earlySpan is how long servers reject early at most.
	earlySpan   = 5500 * time.Millisecond
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
	for range lookupServers {
		if _, err := s.addMachine("quito-centro", "buscador", lookUp); err != nil {
			return false, err
		}
	}
	uploads, sound := &uploadServer{trouble: trouble}, &uploadServer{}
	for i := range uploadServers {
		work := sound.work
		if i < earlyServers {
			work = uploads.work
		}
		if _, err := s.addMachine("quito-centro", "albergues", work); err != nil {
			return false, err
		}
	}
	s.configure(1, []route{
		{name: "r-look", prefix: "/look/", kind: "idempotent", service: "buscador", timeoutS: 2.5, priority: 1},
		{name: "r-upload", prefix: "/upload/", kind: "idempotent", service: "albergues", timeoutS: 2.5, priority: 1},
	}, "buscador", "albergues")
	if err := s.startDaemons(); err != nil {
		return false, err
	}
	w := &aheadWatch{site: s}
	for i := range aheadSpans {
		if i > 0 {
			time.Sleep(aheadPause)
		}
		uploads.startSpan()
		w.playSpan(s.machines[0])
		s.record.log("span %d: time from the first early answer to the last: %v", i+1, uploads.last.Sub(uploads.first).Round(time.Millisecond))
	}
	s.record.log("lookups that were passed on and lost with their connection: %d of %d (allowed: %d); early answers: %d",
		w.lost, aheadSpans*aheadPairs, allowedLost, uploads.early)
	return w.lost > allowedLost, nil
}

// playSpan has aheadPairs clients come, aheadAtOnce at a time.
func (w *aheadWatch) playSpan(m *machine) {
	slots := make(chan struct{}, aheadAtOnce)
	var clients sync.WaitGroup
	defer clients.Wait()
	for range aheadPairs {
		slots <- struct{}{}
		clients.Go(func() {
			defer func() { <-slots }()
			w.pair(m)
		})
	}
}

// firstLookup is the path of the lookup that makes a connection a kept one.
const firstLookup = "/look/first"

// lookUp is the work of a server of lookups.
func lookUp(s *server, w http.ResponseWriter, r *http.Request) (int, string) {
	if r.URL.Path == firstLookup {
		return workFor(time.Millisecond)(s, w, r)
	}
	return workFor(lookupWork)(s, w, r)
}

// uploadServer is the work of servers of uploads. In trouble they reject some before they have read them, keep the connection and read on.
type uploadServer struct {
	trouble bool

	mu           sync.Mutex
	count, early int
	first, last  time.Time
}

// startSpan begins a new span.
func (u *uploadServer) startSpan() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.first, u.last = time.Time{}, time.Time{}
}

func (u *uploadServer) work(s *server, w http.ResponseWriter, r *http.Request) (int, string) {
	id := r.Header.Get("X-Comfreytack-Request-Id")
	u.mu.Lock()
	u.count++
	early := u.trouble && u.count%earlyEvery == 0 && (u.first.IsZero() || time.Since(u.first) < earlySpan)
	if early {
		u.early++
		u.last = time.Now()
		if u.first.IsZero() {
			u.first = u.last
		}
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
	first := request{id: newID(), method: http.MethodGet, target: firstLookup, deadline: 5 * time.Second}
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
	ran := 0
	for _, other := range w.site.machines {
		ran += other.server.ran(r.id)
	}
	w.site.record.log("lookup %s: connection ended without an answer (%v); runs: %d", r.id, got.err, ran)
	if ran > 0 && !m.hasEnded() {
		w.mu.Lock()
		w.lost++
		w.mu.Unlock()
	}
}
