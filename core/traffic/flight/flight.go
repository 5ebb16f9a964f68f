// Package flight follows the requests that run on the upstream beside the daemon, so that a crash is
// charged to those that were in flight.
package flight

import (
	"context"
	"sync"
	"time"

	"comfreytack/core/command/poison"
	"comfreytack/core/model"
)

// crashWindow is how long the connections of a crashed upstream may take to break one after another.
const crashWindow = time.Second

// Settings has the explicit dependencies of a flight.
type Settings struct {
	// Self is the upstream beside the daemon.
	Self model.Upstream
	// Book remembers crashes by fingerprint.
	Book *poison.Book
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Down says whether the upstream refuses new connections, as it does after a crash.
	Down func() bool
}

// Flight knows which fingerprints run now.
type Flight struct {
	settings Settings

	mu      sync.Mutex
	running map[uint64]model.Fingerprint
	nextID  uint64
	broken  []breakage
	// life is the incarnation that the next crash is charged to; it rises with each crash.
	life      model.Incarnation
	crashedAt time.Time
	// turned is closed and replaced when a suspect that ran alone is over.
	turned chan struct{}
}

type breakage struct {
	fingerprint model.Fingerprint
	at          time.Time
}

// End tells how a request that Begin let through ended: with a whole answer, or with a failure.
type End func(failure *model.Failure)

// New returns a flight without requests.
func New(settings Settings) *Flight {
	return &Flight{
		settings: settings,
		running:  map[uint64]model.Fingerprint{},
		life:     settings.Self.Incarnation,
		turned:   make(chan struct{}),
	}
}

// Begin lets a request through, or refuses it with verdict NotRun. A suspect waits until no other one
// runs here. The returned End must be called once.
func (f *Flight) Begin(ctx context.Context, call model.Call) (End, *model.Failure) {
	for {
		turned := f.turnedNow()
		switch f.settings.Book.Begin(f.settings.Now(), call.Fingerprint, call.Suspect && call.Fingerprint != 0) {
		case poison.Barred:
			return nil, &model.Failure{Verdict: model.NotRun, Reason: model.Quarantined}
		case poison.Free:
			return f.follow(call.Fingerprint, false), nil
		case poison.Alone:
			return f.follow(call.Fingerprint, true), nil
		case poison.Busy:
		}
		select {
		case <-turned:
		case <-ctx.Done():
			return nil, &model.Failure{Verdict: model.NotRun, Reason: model.SlotsShort, Cause: ctx.Err()}
		}
	}
}

func (f *Flight) follow(fingerprint model.Fingerprint, alone bool) End {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	id := f.nextID
	f.running[id] = fingerprint
	return func(failure *model.Failure) { f.end(id, fingerprint, alone, failure) }
}

func (f *Flight) end(id uint64, fingerprint model.Fingerprint, alone bool, failure *model.Failure) {
	if failure != nil && failure.Reason == model.UpstreamDied {
		f.brokeOff(id, fingerprint)
	}
	f.mu.Lock()
	delete(f.running, id)
	f.mu.Unlock()
	if failure == nil {
		f.settings.Book.Succeeded(fingerprint)
	}
	if alone {
		f.settings.Book.EndAlone()
		f.turn()
	}
}

// brokeOff notes a broken connection. If the upstream is down, everything that is in flight or broke
// off just now was in flight at the crash.
func (f *Flight) brokeOff(id uint64, fingerprint model.Fingerprint) {
	down := f.settings.Down()
	now := f.settings.Now()
	f.mu.Lock()
	delete(f.running, id)
	f.broken = append(f.recent(now), breakage{fingerprint: fingerprint, at: now})
	if !down {
		f.mu.Unlock()
		return
	}
	if now.Sub(f.crashedAt) > crashWindow {
		f.life++
	}
	f.crashedAt = now
	life := f.life
	suspects := f.suspects()
	f.mu.Unlock()
	f.settings.Book.Crashed(now, f.settings.Self.Name, life, suspects)
}

// recent drops breakages that are too old to belong to a crash now. The caller holds the lock.
func (f *Flight) recent(now time.Time) []breakage {
	for len(f.broken) > 0 && now.Sub(f.broken[0].at) > crashWindow {
		f.broken = f.broken[1:]
	}
	return f.broken
}

// suspects returns the fingerprints in flight at a crash. The caller holds the lock.
func (f *Flight) suspects() []model.Fingerprint {
	var suspects []model.Fingerprint
	for _, fingerprint := range f.running {
		if fingerprint != 0 {
			suspects = append(suspects, fingerprint)
		}
	}
	for _, b := range f.broken {
		if b.fingerprint != 0 {
			suspects = append(suspects, b.fingerprint)
		}
	}
	return suspects
}

func (f *Flight) turnedNow() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.turned
}

func (f *Flight) turn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.turned)
	f.turned = make(chan struct{})
}
