package hold

import (
	"context"

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

// Confirm is the last decision on a call that holds a slot, with the result of Check. It has to be called once for each
// send to the upstream, immediately before the first byte, and doesn't block.
func (g *Gate[D, P]) Confirm(ctx context.Context, call model.Call) *model.Failure {
	return g.Check(ctx, call)
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
