// Package entry takes calls from callers and carries them to the gate of an upstream.
package entry

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"comfreytack/cftd/home"
	"comfreytack/cftd/meter"
	"comfreytack/cftd/relay"
	"comfreytack/core/model"
	"comfreytack/core/traffic/send"
	"comfreytack/core/wire"
)

// Send tries a call on one upstream after another.
type Send func(ctx context.Context, call model.Call, carrier send.Carrier[*http.Response]) (*http.Response, *model.Failure)

// Settings has the explicit dependencies of an entry.
type Settings struct {
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
}

// Entry takes calls.
type Entry struct {
	settings Settings
}

// New returns an entry.
func New(settings Settings) *Entry {
	return &Entry{settings: settings}
}

// Handler serves the callers' port.
func (e *Entry) Handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/keys", e.keys)
	router.HandleFunc("/*", e.serve)
	return router
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	now := e.settings.Now()
	call, failure := e.run(w, r, now)
	if failure != nil && failure.Reason == model.Truncated {
		e.settings.Meter.Call(call, e.settings.Now().Sub(now), failure)
		panic(http.ErrAbortHandler)
	}
	if failure != nil {
		w.Header().Set(wire.HeaderRequestID, call.ID)
		relay.WriteFailure(w, failure)
	}
	e.settings.Meter.Call(call, e.settings.Now().Sub(now), failure)
}

// run returns Truncated only after a part of the answer may have been sent.
func (e *Entry) run(w http.ResponseWriter, r *http.Request, now time.Time) (model.Call, *model.Failure) {
	body, err := relay.ReadBody(r)
	if err != nil {
		return model.Call{}, &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: err}
	}
	call, failure := readCall(r, e.settings.Snapshot(), body, now)
	if failure != nil {
		return call, vouch(call, failure)
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	answer, failure := e.send(ctx, call, e.carrier(r, call, body))
	if failure != nil {
		return call, failure
	}
	w.Header().Set(wire.HeaderRequestID, call.ID)
	w.Header().Set(wire.HeaderVerdict, model.Ran.String())
	w.Header().Set(wire.HeaderReason, model.NoReason.String())
	return call, relay.WriteAnswer(w, answer)
}

func (e *Entry) carrier(r *http.Request, call model.Call, body *relay.Body) *carrier {
	header := http.Header{}
	relay.CopyHeader(header, r.Header)
	wire.DropOwn(header)
	target := &url.URL{Path: call.Path, RawQuery: r.URL.RawQuery}
	return &carrier{entry: e, call: call, header: header, target: target, host: r.Host, body: body}
}
