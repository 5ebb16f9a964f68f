package stub

import (
	"context"
	"time"
)

// Apply returns the switches after a change that arrived at now.
func Apply(old Switches, change Change, now time.Time) Switches {
	next := old
	next.Draining = change.Drain.OrElse(old.Draining)
	next.Shed = change.Shed.OrElse(old.Shed)
	next.FailFast = change.FailFast.OrElse(old.FailFast)
	next.SlowFactor = max(1, change.SlowFactor.OrElse(old.SlowFactor))
	if cold, ok := change.ColdMs.Get(); ok {
		next.ColdUntil = now.Add(milliseconds(cold))
	}
	if lag, ok := change.ReportLagMs.Get(); ok {
		next.ReportLag = milliseconds(lag)
	}
	if change.ReportInFlight.IsPresent() {
		next.ReportInFlight = change.ReportInFlight
	}
	return next
}

// Change applies a change to the running upstream.
func (u *Upstream) Change(ctx context.Context, change Change) (Switches, error) {
	now := u.settings.Now()
	u.truncations.Add(int64(change.TruncateNext.OrElse(0)))
	if span, ok := change.NeighbourMs.Get(); ok {
		go u.occupySlots(milliseconds(span))
	}
	return u.control.Do(ctx, func(old Switches) Switches { return Apply(old, change, now) })
}

// occupySlots takes half of the slots for span, which simulates a noisy neighbour on the same server.
func (u *Upstream) occupySlots(span time.Duration) {
	occupied := int64(u.settings.Slots / 2)
	if err := u.slots.Acquire(u.ctx, occupied); err != nil {
		return
	}
	defer u.slots.Release(occupied)
	select {
	case <-time.After(span):
	case <-u.ctx.Done():
	}
}

func milliseconds(count int) time.Duration {
	return time.Duration(count) * time.Millisecond
}
