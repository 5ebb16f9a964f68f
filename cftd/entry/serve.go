// Package entry receives calls from callers and forwards each to the gate of an upstream, with retries.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"comfreytack/cftd/home"
	"comfreytack/cftd/meter"
	"comfreytack/cftd/relay"
	"comfreytack/cftd/talk"
	"comfreytack/core/command/prior"
	"comfreytack/core/model"
	"comfreytack/core/query/proof"
	"comfreytack/core/traffic/send"
	"comfreytack/core/wire"
)

// Send tries a call on one upstream after another until one answers or no attempt is left.
type Send func(ctx context.Context, call model.Call, attempter send.Attempter[*http.Response]) (*http.Response, *model.Failure)

// Settings has the explicit dependencies of an entry.
type Settings[D talk.Dialect] struct {
	// Dialect translates the callers' requests and answers.
	Dialect D
	// Self is the upstream beside this daemon.
	Self model.Upstream
	// Local is the gate in this process.
	Local LocalGate
	// Transport pools the connections to other daemons' gates.
	Transport *http.Transport
	// Snapshot returns the control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Send picks upstreams and retries.
	Send Send
	// Admit returns why a call with the given deadline is not taken now, or nil.
	Admit func(deadline time.Time) *model.Failure
	// Home runs the calls whose idempotency keys this daemon issued.
	Home *home.Home
	// Meter records the metrics of calls.
	Meter *meter.Meter
	// Log receives one line for each call.
	Log *slog.Logger
	// Suspected reports whether requests with a prefix were in flight at a crash, so that their bodies are read to the end
	// before they are sent.
	Suspected func(prefix model.Fingerprint) bool
	// Spool holds such bodies.
	Spool *relay.Spool
	// IssuesKeys enables the path on the callers' port that issues idempotency keys.
	IssuesKeys bool
	// UsedTime estimates how much of its waiting time a caller has used before this request.
	UsedTime *prior.Estimator
}

// Entry receives calls on the callers' port, and keyed calls on the port for other daemons.
type Entry[D talk.Dialect] struct {
	settings Settings[D]
}

// New returns an entry.
func New[D talk.Dialect](settings Settings[D]) *Entry[D] {
	return &Entry[D]{settings: settings}
}

// Handler serves the callers' port. It takes requests of any method, those that no router knows included.
func (e *Entry[D]) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.settings.IssuesKeys && r.Method == http.MethodPost && r.URL.Path == keysPath {
			e.keys(w, r)
			return
		}
		e.serve(w, r)
	})
}

// RunsAhead reports whether a caller's request may run before earlier ones of its connection have been answered: whether
// it is idempotent.
func (e *Entry[D]) RunsAhead(r *http.Request) bool {
	call, failure := e.settings.Dialect.ReadCall(r, e.settings.Snapshot(), e.settings.Now())
	return failure == nil && call.Idempotent && call.Key.IsAbsent()
}

func (e *Entry[D]) serve(w http.ResponseWriter, r *http.Request) {
	began := e.settings.Now()
	snapshot := e.settings.Snapshot()
	call, failure := e.settings.Dialect.ReadCall(r, snapshot, began)
	if failure == nil {
		failure = e.settings.Admit(call.Deadline)
	}
	if !call.Target.IsZero() {
		call.Target = call.Target.Add(-e.settings.UsedTime.Estimate(began, call.Route, call.CallerTimeout))
	}
	e.joinParent(&call)
	_, contracted := snapshot.Contracts[call.Customer]
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	var answer *http.Response
	end := outcome{verdict: model.NotRun}
	if failure == nil {
		relay.SetDeadlines(w, call.Deadline)
		answer, failure = e.run(ctx, w, r, &call, &end)
	} else {
		failure = coverAllSends(call, failure)
	}
	if failure != nil {
		e.settings.Dialect.WriteFailure(w, call, failure)
		end.verdict = failure.Verdict
	} else {
		end.status = answer.StatusCode
		end.failure = e.answer(w, call, answer, end.verdict)
	}
	broken := end.failure != nil
	if failure != nil {
		end.failure = failure
	}
	end.took = e.settings.Now().Sub(began)
	e.settings.Meter.Call(call, contracted, end.took, end.failure)
	e.logCall(call, end)
	if broken {
		panic(http.ErrAbortHandler)
	}
}

// joinParent marks a call that the local upstream makes while it works on another one. It is as urgent as that one: it is
// a part of its work.
func (e *Entry[D]) joinParent(call *model.Call) {
	if call.Parent == "" {
		return
	}
	if rank, running := e.settings.Local.Running(call.Parent); running {
		call.Nested, call.Rank = true, rank
	}
}

// answer forwards an upstream's answer to the caller. When it returns a failure, a part of the answer may have been
// sent, and the caller's connection has to be aborted.
func (e *Entry[D]) answer(w http.ResponseWriter, call model.Call, answer *http.Response, verdict model.Verdict) *model.Failure {
	e.settings.Dialect.SetAnswer(w.Header(), call, verdict)
	broken := relay.WriteAnswer(w, answer)
	if broken != nil && broken.Reason == model.Truncated {
		e.settings.Meter.TruncatedAnswer(call)
	}
	return broken
}

// run sends the call and returns the answer. It records the verdict and the attempts in end.
func (e *Entry[D]) run(ctx context.Context, w http.ResponseWriter, r *http.Request, call *model.Call, end *outcome) (*http.Response, *model.Failure) {
	if err := awaitTurn(w, call); err != nil {
		return nil, coverAllSends(*call, &model.Failure{Verdict: model.NotRun, Reason: model.CallerGone, Cause: err})
	}
	body, err := relay.ReadBody(r)
	if err != nil {
		return nil, coverAllSends(*call, &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: err})
	}
	if err := e.identify(ctx, r, call, body); err != nil {
		return nil, coverAllSends(*call, &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: err})
	}
	a := e.attempter(r, *call, body)
	defer func() { end.tries = a.tries }()
	if call.Key.IsPresent() {
		end.verdict = model.Ran
		return e.sendKeyed(ctx, *call, a)
	}
	answer, verdict, failure := e.attempts(ctx, *call, a)
	end.verdict = verdict
	if failure == nil {
		relay.EnableDuplex(w, body)
	}
	return answer, failure
}

// awaitTurn waits until earlier requests of the caller's connection have been answered, unless the call is idempotent. The
// configuration may have changed since the intake server asked RunsAhead.
func awaitTurn(w http.ResponseWriter, call *model.Call) error {
	ordered, ok := w.(interface{ AwaitTurn() error })
	if !ok || call.Idempotent {
		return nil
	}
	return ordered.AwaitTurn()
}

// identify sets the fingerprints of a call. When a long body begins like one that was in flight at a crash, it is read
// to its end first, or as far as there is room.
func (e *Entry[D]) identify(ctx context.Context, r *http.Request, call *model.Call, body *relay.Body) error {
	path := call.Path + "?" + r.URL.RawQuery
	call.Prefix = body.Prefix(call.Customer, call.Method, path)
	if call.Prefix != 0 && e.settings.Suspected(call.Prefix) {
		taken, err := e.settings.Spool.Read(body)
		context.AfterFunc(ctx, func() { e.settings.Spool.Release(taken) })
		if err != nil {
			return err
		}
	}
	call.Fingerprint = body.Fingerprint(call.Customer, call.Method, path)
	return nil
}

// attempts tries the call on upstreams. The verdict covers all attempts, not only the last one.
func (e *Entry[D]) attempts(ctx context.Context, call model.Call, a *attempter[D]) (*http.Response, model.Verdict, *model.Failure) {
	answer, failure := e.settings.Send(ctx, call, a)
	if failure == nil {
		return answer, proof.CombineAttempts(a.failedVerdict, model.Ran), nil
	}
	overall := *failure
	overall.Verdict = a.failedVerdict
	return nil, a.failedVerdict, &overall
}

// attempter returns the attempter of a call, with the caller's headers except those of the system and of the
// connection.
func (e *Entry[D]) attempter(r *http.Request, call model.Call, body *relay.Body) *attempter[D] {
	header := http.Header{}
	relay.CopyHeader(header, r.Header)
	wire.RemoveOwnHeaders(header)
	target := relay.TargetOf(r.URL)
	// The service may have been named in front of the path.
	target.Path = call.Path
	return &attempter[D]{entry: e, call: call, header: header, target: target, host: r.Host, body: body}
}
