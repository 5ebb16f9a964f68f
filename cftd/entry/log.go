package entry

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"comfreytack/core/field"
	"comfreytack/core/model"
)

// try is one attempt of a call, for the log.
type try struct {
	upstream model.UpstreamName
	// reason is why the attempt failed; NoReason when it was answered.
	reason model.Reason
	took   time.Duration
}

// String describes the attempt, for example "10.1.0.8 upstream_slow 2".
func (t try) String() string {
	return string(t.upstream) + " " + t.reason.String() + " " + strconv.FormatInt(t.took.Milliseconds(), 10)
}

// outcome is how a call ended at this entry.
type outcome struct {
	took time.Duration
	// status is the HTTP status of the upstream's answer; zero after a failure.
	status  int
	verdict model.Verdict
	failure *model.Failure
	tries   []try
}

// logCall logs how a call ended, with its attempts and the revision of the configuration in force.
func (e *Entry[D]) logCall(call model.Call, end outcome) {
	level, message := slog.LevelInfo, field.CallAnswered
	if end.failure != nil {
		level, message = slog.LevelWarn, field.CallFailed
	}
	if !e.settings.Log.Enabled(context.Background(), level) {
		return
	}
	snapshot := e.settings.Snapshot()
	attributes := []slog.Attr{
		slog.String(field.Request, call.ID),
		slog.String(field.Route, call.Route),
		slog.String(field.Service, string(call.Service)),
		slog.Int(field.Rank, call.Rank),
		slog.String(field.Verdict, end.verdict.String()),
		slog.Int64(field.TookMs, end.took.Milliseconds()),
		slog.Int(field.Attempts, len(end.tries)),
		slog.Uint64(field.Revision, uint64(snapshot.Revision)),
		slog.Uint64(field.Document, snapshot.Document),
	}
	if len(end.tries) > 0 {
		attributes = append(attributes, slog.Any(field.Tries, describeTries(end.tries)))
	}
	if end.failure == nil {
		attributes = append(attributes, slog.Int(field.Status, end.status))
	} else {
		attributes = append(attributes, failureAttributes(end.failure)...)
	}
	e.settings.Log.LogAttrs(context.Background(), level, message, attributes...)
}

func failureAttributes(failure *model.Failure) []slog.Attr {
	attributes := []slog.Attr{slog.String(field.Reason, failure.Reason.String())}
	if failure.Cause != nil {
		attributes = append(attributes, slog.String(field.Cause, failure.Cause.Error()))
	}
	return attributes
}

func describeTries(tries []try) []string {
	all := make([]string, 0, len(tries))
	for _, t := range tries {
		all = append(all, t.String())
	}
	return all
}
