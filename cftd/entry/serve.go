// Package entry takes calls from callers and carries them to the gate of an upstream.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"comfreytack/cftd/home"
	"comfreytack/cftd/meter"
	"comfreytack/cftd/relay"
	"comfreytack/cftd/talk"
	"comfreytack/core/command/spent"
	"comfreytack/core/model"
	"comfreytack/core/query/proof"
	"comfreytack/core/traffic/send"
	"comfreytack/core/wire"
)

// Send tries a call on one upstream after another.
type Send func(ctx context.Context, call model.Call, carrier send.Carrier[*http.Response]) (*http.Response, *model.Failure)

// Settings has the explicit dependencies of an entry.
type Settings[D talk.Dialect] struct {
	// Dialect is how callers speak.
	Dialect D
	// Self is the upstream beside this daemon.
	Self model.Upstream
	// Local is the gate in this process.
	Local LocalGate
	// Transport holds the connections to other daemons' gates.
	Transport *http.Transport
	// Snapshot returns the control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Send tries a call on one upstream after another.
	Send Send
	// Home runs the calls whose keys this daemon issued.
	Home *home.Home
	// Meter records calls.
	Meter *meter.Meter
	// Log takes a line for each call.
	Log *slog.Logger
	// Issues says that callers may fetch idempotency keys.
	Issues bool
	// UsedTime tells how much of its time a caller has spent before.
	UsedTime *spent.Estimator
}

// Entry takes calls.
type Entry[D talk.Dialect] struct {
	settings Settings[D]
}

// New returns an entry.
func New[D talk.Dialect](settings Settings[D]) *Entry[D] {
	return &Entry[D]{settings: settings}
}

// Handler serves the callers' port.
func (e *Entry[D]) Handler() http.Handler {
	router := chi.NewRouter()
	if e.settings.Issues {
		router.Post(keysPath, e.keys)
	}
	router.HandleFunc("/*", e.serve)
	return router
}

func (e *Entry[D]) serve(w http.ResponseWriter, r *http.Request) {
	began := e.settings.Now()
	snapshot := e.settings.Snapshot()
	call, failure := e.settings.Dialect.ReadCall(r, snapshot, began)
	if !call.Target.IsZero() {
		call.Target = call.Target.Add(-e.settings.UsedTime.Estimate(began, call.Route, call.Asked))
	}
	call.Nested = call.Parent != "" && e.settings.Local.Runs(call.Parent)
	_, contracted := snapshot.Contracts[call.Customer]
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	var answer *http.Response
	end := ending{verdict: model.NotRun}
	if failure == nil {
		relay.Limit(w, call.Deadline)
		answer, failure = e.run(ctx, w, r, &call, &end)
	} else {
		failure = vouch(call, failure)
	}
	if len(r.TransferEncoding) > 0 {
		// net/http hides a length beside the chunks. Whoever goes by that length takes what follows the chunks
		// for another request; there will be none.
		w.Header().Set("Connection", "close")
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
	e.tell(call, end)
	if broken {
		panic(http.ErrAbortHandler)
	}
}

// answer passes an answer on. After a failure the caller's connection has to be aborted.
func (e *Entry[D]) answer(w http.ResponseWriter, call model.Call, answer *http.Response, verdict model.Verdict) *model.Failure {
	e.settings.Dialect.SetAnswer(w.Header(), call, verdict)
	broken := relay.WriteAnswer(w, answer)
	if broken != nil && broken.Reason == model.Truncated {
		e.settings.Meter.Broke(call)
	}
	return broken
}

// run returns the answer, and notes in end how often the request may have run for it and where it was tried.
func (e *Entry[D]) run(ctx context.Context, w http.ResponseWriter, r *http.Request, call *model.Call, end *ending) (*http.Response, *model.Failure) {
	body, err := relay.ReadBody(r)
	if err != nil {
		return nil, vouch(*call, &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: err})
	}
	call.Fingerprint = body.Fingerprint(call.Customer, call.Method, call.Path+"?"+r.URL.RawQuery)
	c := e.carrier(r, *call, body)
	defer func() { end.tries = c.tries }()
	if call.Key.IsPresent() {
		end.verdict = model.Ran
		return e.sendKeyed(ctx, *call, c)
	}
	answer, verdict, failure := e.attempts(ctx, *call, c)
	end.verdict = verdict
	if failure == nil {
		relay.Duplex(w, body)
	}
	return answer, failure
}

// attempts tries the call on upstreams. The verdict covers all attempts, not only the last.
func (e *Entry[D]) attempts(ctx context.Context, call model.Call, c *carrier[D]) (*http.Response, model.Verdict, *model.Failure) {
	answer, failure := e.settings.Send(ctx, call, c)
	if failure == nil {
		return answer, proof.Then(c.failed, model.Ran), nil
	}
	told := *failure
	told.Verdict = c.failed
	return nil, c.failed, &told
}

func (e *Entry[D]) carrier(r *http.Request, call model.Call, body *relay.Body) *carrier[D] {
	header := http.Header{}
	relay.CopyHeader(header, r.Header)
	wire.DropOwn(header)
	target := &url.URL{Path: call.Path, RawPath: talk.RawPath(r.URL, call), RawQuery: r.URL.RawQuery}
	return &carrier[D]{entry: e, call: call, header: header, target: target, host: r.Host, body: body}
}
