package hold

import (
	"context"
	"time"

	"comfreytack/core/command/admit"
	"comfreytack/core/command/warm"
	"comfreytack/core/model"
	"comfreytack/core/query/final"
)

// Check returns why a call that waits or holds a slot may not be sent now, or nil. It changes nothing. The failure's
// verdict is always NotRun.
func (g *Gate[D, P]) Check(ctx context.Context, call model.Call) *model.Failure {
	if ctx.Err() != nil {
		return &model.Failure{Verdict: model.NotRun, Reason: contextReason(ctx, model.TooLate)}
	}
	return final.Check(g.settings.Now(), g.settings.Suspended(), g.settings.Snapshot(), call)
}

// Confirm is the last decision on a call that holds a slot: that of Check, and whether the upstream, if it is cold, takes
// one more request. It has to be called once for each send to the upstream, immediately before the first byte, since it
// counts the send, and doesn't block.
func (g *Gate[D, P]) Confirm(ctx context.Context, call model.Call) *model.Failure {
	if failure := g.Check(ctx, call); failure != nil {
		return failure
	}
	snapshot := g.settings.Snapshot()
	now := g.settings.Now()
	// The newest limit counts, also if nobody has told the limiter of it yet.
	g.settings.Warmth.Listed(now, snapshot.Self, snapshot.Services[snapshot.Self.Service])
	// Without a reading that says otherwise the upstream counts as cold: the gate has asked for one before.
	if decision := g.settings.Warmth.Begin(now, call.Nested); decision.Action != warm.Start {
		return cold(decision.RetryAfter)
	}
	return nil
}

// rejectCold returns why a call is rejected at arrival while the upstream is cold and has no room, or nil.
func (g *Gate[D, P]) rejectCold(now time.Time) *model.Failure {
	if state := g.settings.Warmth.State(now); state.Left > 0 && state.Room == 0 {
		return cold(state.Wait)
	}
	return nil
}

func cold(retryAfter time.Duration) *model.Failure {
	return &model.Failure{Verdict: model.NotRun, Reason: model.UpstreamCold, RetryAfter: retryAfter}
}

// RefuseWaiting refuses all waiting calls for a reason that holds for each of them, so that their entries learn of it at
// once. Calls that hold a slot are not affected.
func (g *Gate[D, P]) RefuseWaiting(reason model.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, wake := range g.waiting {
		g.gate.Cancel(id)
		delete(g.waiting, id)
		wake <- admit.Decision{Ticket: id, Action: admit.Refuse, Reason: reason}
	}
}

// rejectEarly returns why a call is rejected at arrival, without queueing, or nil.
func rejectEarly(snapshot *model.Snapshot, call model.Call) *model.Failure {
	if !snapshot.Ready {
		return &model.Failure{Verdict: model.NotRun, Reason: model.NotReady}
	}
	return final.Reject(snapshot, call)
}

// contextReason returns why ctx ended: CallerGone if it was cancelled, else late.
func contextReason(ctx context.Context, late model.Reason) model.Reason {
	if ctx.Err() == context.Canceled {
		return model.CallerGone
	}
	return late
}
