// Package flight follows the requests that run on the upstream beside the daemon, so that a crash is
// charged to those that were in flight.
package flight

import (
	"context"
	"sync"
	"time"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/command/poison"
	"comfreytack/core/model"
)

// breakWindow is how long the connections of a crashed upstream may take to break one after another.
const breakWindow = time.Second

// Settings has the explicit dependencies of a flight.
type Settings struct {
	// Self is the upstream beside the daemon.
	Self model.Upstream
	// Book remembers crashes by fingerprint.
	Book *poison.Book
	// BookChanged tells the control goroutine that Book has news; it does not block.
	BookChanged func()
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Down says whether the upstream refuses new connections, as it does after a crash.
	Down func() bool
	// RecheckDelay is when Down is asked again: a process that ends may break its connections before it stops
	// to accept new ones.
	RecheckDelay time.Duration
}

// Tracker knows which fingerprints run now.
type Tracker struct {
	settings Settings

	mu      sync.Mutex
	running map[*Run]struct{}
	// ids counts the running requests by their IDs.
	ids    map[string]int
	broken []breakage
	// life is the incarnation that the last crash was charged to; it rises with each crash.
	life      model.Incarnation
	crashedAt time.Time
	// upSince is the crash before that one; what broke off earlier belongs to it.
	upSince time.Time
	// turned is closed and replaced when a suspect that ran alone is over.
	turned chan struct{}
}

// Run is one request that was let through.
type Run struct {
	flight      *Tracker
	id          string
	fingerprint model.Fingerprint
	alone       bool
	// startedAt is when the request went to the upstream; zero while it waits.
	startedAt time.Time
}

type breakage struct {
	run *Run
	at  time.Time
}

// New returns a flight without requests.
func New(settings Settings) *Tracker {
	return &Tracker{
		settings: settings,
		running:  map[*Run]struct{}{},
		ids:      map[string]int{},
		life:     settings.Self.Incarnation,
		turned:   make(chan struct{}),
	}
}

// Begin lets a request through, or refuses it with verdict NotRun. A suspect waits until no other one
// runs here. End must be called once on the run that is returned.
func (f *Tracker) Begin(ctx context.Context, call model.Call) (*Run, *model.Failure) {
	for {
		turned := f.turnedNow()
		switch f.settings.Book.Begin(f.settings.Now(), call.Fingerprint, call.Suspect && call.Fingerprint != 0) {
		case poison.Barred:
			return nil, &model.Failure{Verdict: model.NotRun, Reason: model.Quarantined}
		case poison.Free:
			return &Run{flight: f, id: call.ID, fingerprint: call.Fingerprint}, nil
		case poison.Alone:
			return &Run{flight: f, id: call.ID, fingerprint: call.Fingerprint, alone: true}, nil
		case poison.Busy:
		}
		select {
		case <-turned:
		case <-ctx.Done():
			return nil, &model.Failure{Verdict: model.NotRun, Reason: model.SlotsShort, Cause: ctx.Err()}
		}
	}
}

// Start tells that the request goes to the upstream now.
func (r *Run) Start() {
	f := r.flight
	f.mu.Lock()
	defer f.mu.Unlock()
	r.startedAt = f.settings.Now()
	f.running[r] = struct{}{}
	f.ids[r.id]++
}

// Runs tells whether the upstream is working on the request with the given ID.
func (f *Tracker) Runs(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ids[id] > 0
}

// End tells how the request ended: with a whole answer, or with a failure.
func (r *Run) End(failure *model.Failure) {
	f := r.flight
	f.leave(r, failure)
	if failure == nil {
		f.settings.Book.Succeeded(r.fingerprint)
	}
	if r.alone {
		f.settings.Book.EndAlone()
		f.turn()
	}
}

// leave takes the run out of the flight, and looks for a crash if its connection broke.
func (f *Tracker) leave(r *Run, failure *model.Failure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(r)
	if failure == nil || failure.Reason != model.UpstreamDied {
		return
	}
	now := f.settings.Now()
	f.broken = append(f.recent(now), breakage{run: r, at: now})
	go f.confirm(r.startedAt, now)
}

// forget takes the run out, if it had started. The caller holds the lock.
func (f *Tracker) forget(r *Run) {
	if _, started := f.running[r]; !started {
		return
	}
	delete(f.running, r)
	f.ids[r.id]--
	if f.ids[r.id] == 0 {
		delete(f.ids, r.id)
	}
}

// confirm charges a crash if the upstream is down behind a broken connection.
func (f *Tracker) confirm(startedAt, brokenAt time.Time) {
	if !f.settings.Down() {
		time.Sleep(f.settings.RecheckDelay)
		if !f.settings.Down() {
			return
		}
	}
	life, suspects := f.charge(startedAt, brokenAt)
	f.settings.Book.Crashed(brokenAt, f.settings.Self.Name, life, suspects)
	f.settings.BookChanged()
}

// charge returns the crash and all that was in flight at it. A request that started after the last crash
// shows that the upstream had come back in between.
func (f *Tracker) charge(startedAt, brokenAt time.Time) (model.Incarnation, []model.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if startedAt.After(f.crashedAt) {
		f.life++
		f.upSince = f.crashedAt
		f.crashedAt = brokenAt
	}
	return f.life, f.suspects()
}

// recent drops breakages that are too old to belong to a crash now. The caller holds the lock.
func (f *Tracker) recent(now time.Time) []breakage {
	for len(f.broken) > 0 && now.Sub(f.broken[0].at) > breakWindow {
		f.broken = f.broken[1:]
	}
	return f.broken
}

// suspects returns the fingerprints in flight at a crash. The caller holds the lock.
func (f *Tracker) suspects() []model.Fingerprint {
	suspects := mapset.NewThreadUnsafeSet[model.Fingerprint]()
	for r := range f.running {
		suspects.Add(r.fingerprint)
	}
	for _, b := range f.broken {
		if b.run.startedAt.After(f.upSince) {
			suspects.Add(b.run.fingerprint)
		}
	}
	suspects.Remove(0)
	return suspects.ToSlice()
}

func (f *Tracker) turnedNow() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.turned
}

func (f *Tracker) turn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.turned)
	f.turned = make(chan struct{})
}
