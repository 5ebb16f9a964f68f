// Package loop runs the one control goroutine of a daemon.
//
// Events go in through a bounded channel that never blocks the sender; snapshots come out through an
// atomic pointer. Only the control goroutine touches the machine.
package loop

import (
	"context"
	"sync/atomic"
	"time"

	"comfreytack/core/model"
)

// Machine is the control state. Its methods are called by one goroutine only.
type Machine[E, F any] interface {
	// Apply changes the state for one event and returns what the daemon has to do outside.
	Apply(now time.Time, event E) []F
	// Beat is called at each beat of the loop. The machine was suspended for slept since the last one.
	Beat(now time.Time, slept time.Duration) []F
	// Snapshot returns an immutable view of the state.
	Snapshot(now time.Time) *model.Snapshot
}

// Settings has the explicit dependencies of a loop.
type Settings struct {
	// Beat is the longest time between two snapshots; positive.
	Beat time.Duration
	// Backlog bounds the waiting events; positive.
	Backlog int
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Slept returns how long the machine was suspended since the start, which Now does not count; nil means never.
	Slept func() time.Duration
	// Changed is told of each snapshot that replaces another, by the control goroutine; nil tells nobody. It
	// does not block.
	Changed func(before, after *model.Snapshot)
}

// Loop owns a machine. E is the type of its events and F the type of its effects.
type Loop[E, F any] struct {
	settings Settings
	machine  Machine[E, F]
	perform  func(F)
	events   chan E
	current  atomic.Pointer[model.Snapshot]
	dropped  atomic.Uint64
}

// New returns a loop that has not started. The function perform must not block.
func New[E, F any](settings Settings, machine Machine[E, F], perform func(F)) *Loop[E, F] {
	l := &Loop[E, F]{
		settings: settings,
		machine:  machine,
		perform:  perform,
		events:   make(chan E, settings.Backlog),
	}
	l.current.Store(l.view())
	return l
}

// view returns a new snapshot of the machine.
func (l *Loop[E, F]) view() *model.Snapshot {
	view := l.machine.Snapshot(l.settings.Now())
	view.Slept = l.slept()
	return view
}

func (l *Loop[E, F]) slept() time.Duration {
	if l.settings.Slept == nil {
		return 0
	}
	return l.settings.Slept()
}

// Snapshot returns the newest published snapshot. Callers must not change it.
func (l *Loop[E, F]) Snapshot() *model.Snapshot {
	return l.current.Load()
}

// Post hands an event to the control goroutine. It returns false, and drops the event, when the
// backlog is full.
func (l *Loop[E, F]) Post(event E) bool {
	select {
	case l.events <- event:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Dropped counts the events that found the backlog full.
func (l *Loop[E, F]) Dropped() uint64 {
	return l.dropped.Load()
}

// Run applies events until ctx ends.
func (l *Loop[E, F]) Run(ctx context.Context) {
	beat := time.NewTicker(l.settings.Beat)
	defer beat.Stop()
	last := l.slept()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.publish(l.machine.Apply(l.settings.Now(), event))
		case <-beat.C:
			slept := l.slept()
			effects := l.machine.Beat(l.settings.Now(), slept-last)
			last = slept
			l.publish(effects)
		}
	}
}

// publish makes the state visible before its effects, so that an answer to an effect finds it.
func (l *Loop[E, F]) publish(effects []F) {
	after := l.view()
	before := l.current.Swap(after)
	if l.settings.Changed != nil {
		l.settings.Changed(before, after)
	}
	for _, effect := range effects {
		l.perform(effect)
	}
}
