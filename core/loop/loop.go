// Package loop runs the one control goroutine of a daemon.
//
// Events enter through a bounded channel that never blocks the sender, and snapshots are published through an
// atomic pointer. Only the control goroutine accesses the Machine.
package loop

import (
	"context"
	"sync/atomic"
	"time"

	"comfreytack/core/model"
)

// Machine is the control state as a state machine. Its methods are called by one goroutine only.
type Machine[E, F any] interface {
	// Apply updates the state for one event and returns the effects that the daemon has to perform.
	Apply(now time.Time, event E) []F
	// Tick is called at regular intervals and returns effects like Apply. The argument suspended is how long the machine
	// was suspended since the last call.
	Tick(now time.Time, suspended time.Duration) []F
	// Snapshot returns an immutable view of the state.
	Snapshot(now time.Time) *model.Snapshot
}

// Settings has the explicit dependencies of a Loop.
type Settings struct {
	// TickInterval is the interval between calls of Machine.Tick, and so the longest time between two snapshots; positive.
	TickInterval time.Duration
	// Backlog limits the waiting events; positive.
	Backlog int
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Suspended returns how long the machine has been suspended since the start, which Now does not count; nil means
	// never.
	Suspended func() time.Duration
	// Changed, if not nil, is called by the control goroutine after each snapshot that replaces another. It must
	// not block.
	Changed func(before, after *model.Snapshot)
	// Panicked, if not nil, is called by the control goroutine, in the panicking stack, with the cause of each panic that
	// was contained. It must not block.
	Panicked func(cause any)
}

// Loop owns a Machine. E is the type of its events and F the type of its effects.
type Loop[E, F any] struct {
	settings Settings
	machine  Machine[E, F]
	perform  func(F)
	events   chan E
	current  atomic.Pointer[model.Snapshot]
	dropped  atomic.Uint64
	// contained counts the panics that were contained.
	contained atomic.Uint64
}

// New returns a loop that has not started. The function perform carries out one effect and must not block.
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

// view returns a new snapshot of the Machine.
func (l *Loop[E, F]) view() *model.Snapshot {
	view := l.machine.Snapshot(l.settings.Now())
	view.Suspended = l.suspended()
	return view
}

func (l *Loop[E, F]) suspended() time.Duration {
	if l.settings.Suspended == nil {
		return 0
	}
	return l.settings.Suspended()
}

// Snapshot returns the newest published snapshot. Callers must not change it.
func (l *Loop[E, F]) Snapshot() *model.Snapshot {
	return l.current.Load()
}

// Post passes an event to the control goroutine. It drops the event and returns false when the backlog is
// full.
func (l *Loop[E, F]) Post(event E) bool {
	select {
	case l.events <- event:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Contained returns how many panics were contained.
func (l *Loop[E, F]) Contained() uint64 {
	return l.contained.Load()
}

// Dropped returns how many events were dropped because the backlog was full.
func (l *Loop[E, F]) Dropped() uint64 {
	return l.dropped.Load()
}

// Run applies events until ctx ends.
func (l *Loop[E, F]) Run(ctx context.Context) {
	ticker := time.NewTicker(l.settings.TickInterval)
	defer ticker.Stop()
	last := l.suspended()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.publish(l.contain(func() []F { return l.machine.Apply(l.settings.Now(), event) }))
		case <-ticker.C:
			suspended := l.suspended()
			sinceLast := suspended - last
			last = suspended
			l.publish(l.contain(func() []F { return l.machine.Tick(l.settings.Now(), sinceLast) }))
		}
	}
}

// contain calls a method of the Machine. A panic, as a malformed event may cause, ends the handling of that event only:
// a daemon that goes on with what it has learnt before serves its callers, and one that ends does not.
func (l *Loop[E, F]) contain(step func() []F) (effects []F) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		l.contained.Add(1)
		if l.settings.Panicked != nil {
			l.settings.Panicked(cause)
		}
	}()
	return step()
}

// publish publishes the new snapshot before it performs the effects, so that whatever an effect triggers already
// sees the new state.
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
