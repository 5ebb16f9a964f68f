package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	slots      = 9
	queueSlots = 18
	// usualWorkTime is how long work takes where a case does not say otherwise.
	usualWorkTime = 60 * time.Millisecond
	// usualPace is the pace of a machine that nothing slows, in percent.
	usualPace = 100
)

// server stands in for an application server.
type server struct {
	service, zone, address string
	site                   *site
	slot                   chan struct{}

	mu sync.Mutex
	// id and born change when the server starts again after a crash.
	id       string
	born     int64
	http     *http.Server
	sequence uint64
	state    string
	waiting  int
	ran      []ranRequest
	// pace is how long work takes on the machine, in percent of the usual time.
	pace int
	// workTime is how long work takes at the usual pace.
	workTime time.Duration
	// rejectEvery is how many long requests there are to one that is rejected early; zero rejects none.
	rejectEvery int
	long        int
	// poison is the path of requests that crash the server; empty means none.
	poison  string
	crashes int
	ended   chan struct{}
}

// ranRequest is a request that the server has begun to work on.
type ranRequest struct {
	id   string
	at   time.Time
	path string
}

// serverEntry is what a server writes into the store. Pointers are fields that another writer may leave out.
type serverEntry struct {
	Address string `json:"address"`
	Born    int64  `json:"born"`
	Info    struct {
		Service        string  `json:"service"`
		Version        *string `json:"version,omitempty"`
		Zone           string  `json:"zone"`
		MaxConcurrency int     `json:"maxConcurrency"`
	} `json:"info"`
	Status struct {
		State       string  `json:"state"`
		Sequence    uint64  `json:"sequence"`
		WarmupLeftS float64 `json:"warmupLeftS"`
	} `json:"status"`
}

func startServer(s *site, id, service, zone, address string) (*server, error) {
	v := &server{
		service: service, zone: zone, address: address, site: s,
		slot: make(chan struct{}, slots), state: "ready", pace: usualPace, workTime: s.workTime,
	}
	return v, v.start(id)
}

// start starts an incarnation.
func (v *server) start(id string) error {
	listener, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.id, v.born, v.sequence, v.ended = id, time.Now().UnixMilli(), 0, make(chan struct{})
	v.http = &http.Server{Handler: v, IdleTimeout: 10 * time.Second}
	go v.http.Serve(listener)
	go v.beat(v.ended)
	return nil
}

const (
	// downTime is how long a server is down after a crash.
	downTime = 2 * time.Second
	// lapse is the silence after which the store removes an entry.
	lapse = 3 * heartbeat
)

// crash breaks all connections. The server is back after downTime as a new incarnation with another id.
func (v *server) crash() {
	key := v.key()
	v.mu.Lock()
	select {
	case <-v.ended:
		v.mu.Unlock()
		return
	default:
		close(v.ended)
	}
	v.crashes++
	next := fmt.Sprintf("%s-%d", strings.SplitN(v.id, "-c", 2)[0], v.crashes)
	broken := v.http
	v.mu.Unlock()
	v.site.record.add(v.address, "crashes")
	_ = broken.Close()
	time.AfterFunc(lapse, func() { v.site.store.remove(key) })
	time.AfterFunc(downTime, func() {
		if err := v.start(next); err == nil {
			v.site.record.add(v.address, "is back as %s", next)
		}
	})
}

func (v *server) name() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.id
}

func (v *server) key() string { return "servers/" + v.name() }

// entry returns the server's entry, changed as given.
func (v *server) entry(change func(*serverEntry)) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	version := "v1"
	var e serverEntry
	e.Address, e.Born = v.address, v.born
	e.Info.Service, e.Info.Version, e.Info.Zone, e.Info.MaxConcurrency = v.service, &version, v.zone, slots
	e.Status.State, e.Status.Sequence = v.state, v.sequence
	if change != nil {
		change(&e)
	}
	encoded, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return encoded
}

// beat writes the entry once in a heartbeat.
func (v *server) beat(ended chan struct{}) {
	for {
		v.register()
		select {
		case <-time.After(heartbeat):
		case <-ended:
			return
		}
	}
}

// register writes the entry with the next sequence number. The stored entry changes when more than that differs.
func (v *server) register() time.Time {
	v.mu.Lock()
	v.sequence++
	v.mu.Unlock()
	written := v.entry(nil)
	if old := v.site.store.get(v.key()); old != nil && bytes.Equal(withoutSequence(old), withoutSequence(written)) {
		return time.Now()
	}
	v.site.record.add("store", "accepts %s %s", v.key(), written)
	return v.site.store.write(v.key(), written)
}

func withoutSequence(encoded []byte) []byte {
	var e serverEntry
	if json.Unmarshal(encoded, &e) != nil {
		return nil
	}
	e.Status.Sequence = 0
	result, _ := json.Marshal(e)
	return result
}

// drain reports that the server is draining, and returns when the store has accepted that.
func (v *server) drain() time.Time {
	v.mu.Lock()
	v.state = "draining"
	v.mu.Unlock()
	return v.register()
}

// leave ends the server after the work in flight, and removes its entry.
func (v *server) leave() {
	v.stop()
	v.site.store.remove(v.key())
	v.site.record.add("store", "removes %s", v.key())
}

func (v *server) stop() {
	v.mu.Lock()
	running := v.http
	select {
	case <-v.ended:
		v.mu.Unlock()
		return
	default:
		close(v.ended)
	}
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if running.Shutdown(ctx) != nil {
		_ = running.Close()
	}
}

// runsAfter returns the ids of the requests that the server began to work on after the given time.
func (v *server) runsAfter(at time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var ids []string
	for _, run := range v.ran {
		if run.at.After(at) {
			ids = append(ids, run.id)
		}
	}
	return ids
}

func (v *server) setLoad(header http.Header) {
	v.mu.Lock()
	defer v.mu.Unlock()
	header.Set("X-Comfreytack-Server-Load", fmt.Sprintf("%d,%d,%d,%d", len(v.slot), v.waiting, slots, v.pace))
}

// ServeHTTP implements http.Handler.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	v.setLoad(header)
	own := v.name()
	header.Set("X-Comfreytack-Instance-Id", own)
	if r.URL.Path == "/health" {
		v.serveHealth(w)
		return
	}
	id := r.Header.Get("X-Comfreytack-Request-Id")
	header.Set("X-Comfreytack-Request-Id", id)
	switch want := r.Header.Get("X-Comfreytack-Expect-Instance"); {
	case want != "" && want != own:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		header.Set("X-Comfreytack-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !v.enter(r.Context()) {
		header.Set("X-Comfreytack-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-v.slot }()
	v.work(w, r, id)
}

func (v *server) serveHealth(w http.ResponseWriter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// enter waits for a slot, and returns false if the queue is full or the caller has gone.
func (v *server) enter(ctx context.Context) bool {
	v.mu.Lock()
	full := v.waiting >= queueSlots
	if !full {
		v.waiting++
	}
	v.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.waiting--
	}()
	select {
	case v.slot <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (v *server) work(w http.ResponseWriter, r *http.Request, id string) {
	own := v.name()
	v.mu.Lock()
	v.ran = append(v.ran, ranRequest{id: id, at: time.Now(), path: r.URL.Path})
	poisoned := v.poison != "" && r.URL.Path == v.poison
	v.mu.Unlock()
	v.site.record.add(own, "runs %s %s %s", id, r.Method, r.URL.Path)
	if poisoned {
		_, _ = io.Copy(io.Discard, r.Body)
		v.crash()
		panic(http.ErrAbortHandler)
	}
	if v.rejectsNow(r) {
		v.reject(w, r, id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(v.duration()):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Comfreytack-Server-Stamp", v.service+"."+own)
	fmt.Fprintf(w, "%s by %s\n", id, own)
}

// rejectEarly makes the server reject one of so many long requests before it has read their bodies.
func (v *server) rejectEarly(every int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rejectEvery = every
}

// rejectsNow reports whether this request is to be rejected early.
func (v *server) rejectsNow(r *http.Request) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.rejectEvery == 0 || r.ContentLength == 0 {
		return false
	}
	v.long++
	return v.long%v.rejectEvery == 0
}

// reject answers before the body has been read, keeps the connection and reads on.
func (v *server) reject(w http.ResponseWriter, r *http.Request, id string) {
	controller := http.NewResponseController(w)
	_ = controller.EnableFullDuplex()
	own := v.name()
	body := id + " rejected by " + own + "\n"
	w.Header().Set("X-Comfreytack-Server-Stamp", v.service+"."+own)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(http.StatusRequestEntityTooLarge)
	_, _ = io.WriteString(w, body)
	_ = controller.Flush()
	v.site.record.add(own, "rejects %s early", id)
	_, _ = io.Copy(io.Discard, r.Body)
}

// setPace sets how long work takes on the machine from now on, in percent of the usual time.
func (v *server) setPace(percent int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pace = percent
	v.site.record.add(v.address, "work takes %d percent of the usual time", percent)
}

// duration returns how long a request that begins now takes.
func (v *server) duration() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.workTime * time.Duration(v.pace) / usualPace
}

// runsOf returns when the server began to work on requests with a path.
func (v *server) runsOf(path string) []time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	var times []time.Time
	for _, run := range v.ran {
		if run.path == path {
			times = append(times, run.at)
		}
	}
	return times
}
