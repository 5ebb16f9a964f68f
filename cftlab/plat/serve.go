package plat

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"comfreytack/cftlab/ctrl"
	"comfreytack/core/model"
)

const (
	// ReadsPerSecond is the read limit for all callers together.
	ReadsPerSecond = 2000
	readBurst      = 200
	// maxValueBytes is the largest value of a key, in bytes.
	maxValueBytes = 1 << 20
	// maxWait bounds how long a watch waits for a change.
	maxWait = 60 * time.Second
)

// Platform is a running fake platform.
type Platform struct {
	ctx     context.Context
	control *ctrl.Owner[State]
	limiter *rate.Limiter

	mutex  sync.Mutex
	counts Counts
}

// New returns a platform that runs until ctx ends.
func New(ctx context.Context, initial State) *Platform {
	return &Platform{
		ctx:     ctx,
		control: ctrl.New(ctx, initial),
		limiter: rate.NewLimiter(ReadsPerSecond, readBurst),
		counts:  Counts{Callers: map[string]int{}},
	}
}

// Handler serves the readers of the platform.
func (p *Platform) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/changes", p.serveChanges)
	return router
}

// ControlHandler serves operators: PUT and DELETE /v1/keys/KEY, POST /control and GET /counts.
func (p *Platform) ControlHandler() http.Handler {
	router := chi.NewRouter()
	router.Put("/v1/keys/*", p.servePut)
	router.Delete("/v1/keys/*", p.serveDelete)
	router.Post("/control", p.serveFaults)
	router.Get("/counts", func(w http.ResponseWriter, _ *http.Request) { ctrl.WriteJSON(w, p.Counts()) })
	return router
}

// Counts returns a copy of the counts so far.
func (p *Platform) Counts() Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counts := p.counts
	counts.Callers = maps.Clone(p.counts.Callers)
	return counts
}

func (p *Platform) serveChanges(w http.ResponseWriter, r *http.Request) {
	if !p.admit(r.UserAgent()) {
		http.Error(w, "read limit reached", http.StatusTooManyRequests)
		return
	}
	faults := p.control.Current().State.Faults
	if !ctrl.Pause(r.Context(), faults.Slow) {
		return
	}
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	after, wait, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctrl.WriteJSON(w, p.watch(r.Context(), after, wait))
}

// admit counts a call and reports whether it is within the read limit.
func (p *Platform) admit(caller string) bool {
	allowed := p.limiter.Allow()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.Callers[caller]++
	if allowed {
		p.counts.Reads++
	} else {
		p.counts.Refused++
	}
	return allowed
}

// watch returns the changes after a revision. While there is none, it waits for one, at most for the given time.
func (p *Platform) watch(ctx context.Context, after model.Revision, wait time.Duration) Changes {
	p.countWaiting(1)
	defer p.countWaiting(-1)
	timeout := time.After(wait)
	for {
		published := p.control.Current()
		changes := ChangesAfter(published.State, after, shuffle)
		if len(changes.Changes) > 0 {
			return changes
		}
		select {
		case <-published.Changed:
		case <-timeout:
			return changes
		case <-ctx.Done():
			return changes
		case <-p.ctx.Done():
			return changes
		}
	}
}

func (p *Platform) countWaiting(change int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.Waiting += change
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(value) {
		http.Error(w, "the value is not JSON", http.StatusBadRequest)
		return
	}
	key := chi.URLParam(r, "*")
	p.serveCommand(w, r, func(old State) State { return Put(old, key, value) })
}

func (p *Platform) serveDelete(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	p.serveCommand(w, r, func(old State) State { return Delete(old, key) })
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var change FaultChange
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.serveCommand(w, r, func(old State) State { return SetFaults(old, change) })
}

// commandResponse is the answer to a command.
type commandResponse struct {
	Revision model.Revision `json:"revision"`
	Faults   Faults         `json:"faults"`
}

func (p *Platform) serveCommand(w http.ResponseWriter, r *http.Request, command ctrl.Command[State]) {
	state, err := p.control.Do(r.Context(), command)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	ctrl.WriteJSON(w, commandResponse{Revision: state.Revision, Faults: state.Faults})
}

// parseWatch parses the parameters of "/v1/changes?after=17&wait=30000".
func parseWatch(r *http.Request) (model.Revision, time.Duration, error) {
	query := r.URL.Query()
	after, err := parseCount(query.Get("after"))
	if err != nil {
		return 0, 0, errors.Wrap(err, "after")
	}
	wait, err := parseCount(query.Get("wait"))
	if err != nil {
		return 0, 0, errors.Wrap(err, "wait")
	}
	span := maxWait
	if wait < uint64(maxWait.Milliseconds()) {
		span = time.Duration(wait) * time.Millisecond
	}
	return model.Revision(after), span, nil
}

func parseCount(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func shuffle(changes []Change) {
	rand.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
}
