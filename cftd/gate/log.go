package gate

import (
	"context"
	"log/slog"

	"comfreytack/core/field"
	"comfreytack/core/model"
	"comfreytack/core/traffic/hold"
)

// reasonOf returns why the gate refused, or NoReason when it admitted.
func reasonOf(failure *model.Failure) model.Reason {
	if failure == nil {
		return model.NoReason
	}
	return failure.Reason
}

// logDecision logs the gate's decision on a call, with the load and the pace of its upstream. Refusals for
// UpstreamSlow and NearlyFull are not warnings: the entry then tries another upstream.
func (g *Gate[H, D]) logDecision(call model.Call, slot hold.Slot, failure *model.Failure) {
	level, message, reason := slog.LevelInfo, field.GateAdmitted, reasonOf(failure)
	if failure != nil {
		message = field.GateRefused
		if reason != model.UpstreamSlow && reason != model.NearlyFull {
			level = slog.LevelWarn
		}
	}
	if !g.settings.Log.Enabled(context.Background(), level) {
		return
	}
	now := g.settings.Now()
	report := g.hold.Report()
	reading := g.settings.Pace.Last()
	g.settings.Log.LogAttrs(context.Background(), level, message,
		slog.String(field.Request, call.ID),
		slog.String(field.Instance, string(call.Instance)),
		slog.Int(field.Rank, call.Rank),
		slog.String(field.Reason, reason.String()),
		slog.Int64(field.WaitedMs, slot.Waited.Milliseconds()),
		slog.Int64(field.WorkMs, slot.ExpectedDuration.Milliseconds()),
		slog.Int64(field.LeftMs, call.Deadline.Sub(now).Milliseconds()),
		slog.Int(field.InFlight, report.InFlight),
		slog.Int(field.Queued, report.Queued),
		slog.Int(field.Slots, report.Slots),
		slog.Int(field.Pace, reading.Percent),
		slog.Int64(field.PaceAgeMs, now.Sub(reading.At).Milliseconds()),
		slog.Uint64(field.Revision, uint64(report.Revision)),
	)
}
