package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/semaphore"

	"comfreytack/cftlab/ctrl"
)

// Headers that control how a fake upstream works on a request. HeaderCrash, or its name in the body, crashes it.
// The query parameters ms and size can replace the first two.
const (
	HeaderWorkUs = "Lab-Work-Us"
	HeaderSize   = "Lab-Size"
	HeaderCrash  = "Lab-Crash"
	// HeaderWarmupMs says in answers to probes how much longer the upstream is cold.
	HeaderWarmupMs = "Comfreytack-Warmup-Ms"
)

const (
	defaultPayloadSize = 200
	maxPayloadSize     = 64 << 20
	maxRequestBytes    = 64 << 20
	maxLoadSamples     = 1024
	crashExitCode      = 3
)

// Upstream is a running fake upstream.
type Upstream struct {
	settings    Settings
	ctx         context.Context
	control     *ctrl.Owner[Switches]
	runLog      io.Writer
	slots       *semaphore.Weighted
	waiting     atomic.Int64
	inFlight    atomic.Int64
	truncations atomic.Int64

	mutex       sync.Mutex
	runs        []Run
	loadSamples []int
}

// New returns an upstream that runs until ctx ends. It writes each run to runLog when the run starts.
func New(ctx context.Context, settings Settings, runLog io.Writer) *Upstream {
	u := &Upstream{
		settings: settings,
		ctx:      ctx,
		control:  ctrl.New(ctx, Switches{SlowFactor: 1}),
		runLog:   runLog,
		slots:    semaphore.NewWeighted(int64(settings.Slots)),
	}
	go u.sampleLoads()
	return u
}

// Handler serves callers: /healthz, and work on every other path.
func (u *Upstream) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", u.serveHealth)
	router.HandleFunc("/*", u.serveWork)
	return router
}

// ControlHandler serves operators: POST /control, GET /control and GET /runs.
func (u *Upstream) ControlHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/control", func(w http.ResponseWriter, _ *http.Request) {
		ctrl.WriteJSON(w, u.control.Current().State)
	})
	router.Post("/control", u.serveChange)
	router.Get("/runs", func(w http.ResponseWriter, _ *http.Request) { ctrl.WriteJSON(w, u.Runs()) })
	return router
}

func (u *Upstream) serveChange(w http.ResponseWriter, r *http.Request) {
	var change Change
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switches, err := u.Change(r.Context(), change)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	ctrl.WriteJSON(w, switches)
}

func (u *Upstream) serveHealth(w http.ResponseWriter, r *http.Request) {
	if !ctrl.Pause(r.Context(), u.settings.Probe) {
		return
	}
	w.Header().Set(HeaderWarmupMs, strconv.FormatInt(u.ColdLeft().Milliseconds(), 10))
	ctrl.WriteJSON(w, u.Health())
}

func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	if u.control.Current().State.Shed || !u.acquireSlot(r.Context()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", StatusShed)
		return
	}
	defer u.releaseSlot()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	index := u.startRun(r)
	if r.Header.Get(HeaderCrash) != "" || bytes.Contains(body, []byte("Lab-Crash")) {
		u.settings.Exit(crashExitCode)
		return
	}
	u.work(w, r, body)
	u.finishRun(index)
}

// acquireSlot takes a slot. It waits for one unless Settings.Waiting requests already do, and reports whether it got one.
func (u *Upstream) acquireSlot(ctx context.Context) bool {
	if u.slots.TryAcquire(1) {
		u.inFlight.Add(1)
		return true
	}
	defer u.waiting.Add(-1)
	if u.waiting.Add(1) > int64(u.settings.Waiting) {
		return false
	}
	if err := u.slots.Acquire(ctx, 1); err != nil {
		return false
	}
	u.inFlight.Add(1)
	return true
}

func (u *Upstream) releaseSlot() {
	u.inFlight.Add(-1)
	u.slots.Release(1)
}

func (u *Upstream) work(w http.ResponseWriter, r *http.Request, body []byte) {
	switches := u.control.Current().State
	if switches.FailFast {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if !ctrl.Pause(r.Context(), WorkTime(u.requestedWork(r), switches, u.settings.Now())) {
		return
	}
	u.answer(w, r, body)
}

// requestedWork returns the work time that the request asks for, or the default of its route.
func (u *Upstream) requestedWork(r *http.Request) time.Duration {
	if us, err := strconv.Atoi(r.Header.Get(HeaderWorkUs)); err == nil {
		return time.Duration(us) * time.Microsecond
	}
	if ms, err := strconv.Atoi(r.URL.Query().Get("ms")); err == nil {
		return milliseconds(ms)
	}
	return RouteTime(u.settings.Routes, r.URL.Path, u.settings.Work)
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	answer := Answer{
		Upstream: u.settings.Name,
		ID:       r.Header.Get("Comfreytack-Request-Id"),
		Key:      r.Header.Get("Idempotency-Key"),
		BodySum:  xxhash.Sum64(body),
		Length:   payloadSize(r),
	}
	payload := Payload(answer.ID, answer.Length)
	answer.Sum = xxhash.Sum64(payload)
	head, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	response := append(append(head, '\n'), payload...)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	if u.consumeTruncation() {
		writeIgnoringErrors(w, response[:len(response)/2])
		panic(http.ErrAbortHandler)
	}
	writeIgnoringErrors(w, response)
}

// consumeTruncation reports whether to truncate this answer, and counts it as truncated if so.
func (u *Upstream) consumeTruncation() bool {
	for {
		remaining := u.truncations.Load()
		if remaining <= 0 {
			return false
		}
		if u.truncations.CompareAndSwap(remaining, remaining-1) {
			return true
		}
	}
}

// Payload returns length bytes that differ from those for other ids.
func Payload(id string, length int) []byte {
	pattern := []byte(id + "/")
	return bytes.Repeat(pattern, length/len(pattern)+1)[:length]
}

func payloadSize(r *http.Request) int {
	text := r.Header.Get(HeaderSize)
	if text == "" {
		text = r.URL.Query().Get("size")
	}
	count, err := strconv.Atoi(text)
	if err != nil {
		return defaultPayloadSize
	}
	return min(max(0, count), maxPayloadSize)
}

// startRun records a run before any of its work is done, so that a run that crashes is recorded too. It returns the
// index of the run for finishRun.
func (u *Upstream) startRun(r *http.Request) int {
	run := Run{
		Upstream: u.settings.Name,
		ID:       r.Header.Get("Comfreytack-Request-Id"),
		Key:      r.Header.Get("Idempotency-Key"),
		Customer: r.Header.Get("Comfreytack-Customer"),
		Method:   r.Method,
		Path:     r.URL.Path,
		Started:  u.settings.Now(),
	}
	line, err := json.Marshal(run)
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if err == nil {
		writeIgnoringErrors(u.runLog, append(line, '\n'))
	}
	u.runs = append(u.runs, run)
	return len(u.runs) - 1
}

func (u *Upstream) finishRun(index int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.runs[index].Finished = u.settings.Now()
}

// sampleLoads records the load at intervals, for reports with a lag.
func (u *Upstream) sampleLoads() {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			u.addLoadSample(int(u.inFlight.Load()))
		case <-u.ctx.Done():
			return
		}
	}
}

func (u *Upstream) addLoadSample(inFlight int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.loadSamples = append(u.loadSamples, inFlight)
	if len(u.loadSamples) > maxLoadSamples {
		u.loadSamples = u.loadSamples[1:]
	}
}

// writeIgnoringErrors ignores errors: a client that has disconnected is not a fault of the upstream.
func writeIgnoringErrors(w io.Writer, data []byte) {
	_, _ = w.Write(data)
}
