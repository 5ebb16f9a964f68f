package gate

import (
	"context"
	"net/http"
	"time"

	"comfreytack/cftd/relay"
	"comfreytack/cftd/talk"
	"comfreytack/core/model"
	"comfreytack/core/wire"
)

// Handler serves calls from other daemons' entries, and their requests for a load report.
func Handler[H Holder, D talk.Dialect](g *Gate[H, D]) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(wire.HeaderProbe) != "" {
			wire.SetReport(w.Header(), g.Report())
			w.WriteHeader(http.StatusNoContent)
			return
		}
		now := g.settings.Now()
		call, err := wire.ReadCall(r, now)
		if failure, bad := err.(*model.Failure); bad {
			relay.WriteFailure(w, failure)
			return
		}
		relay.SetDeadlines(w, call.RunDeadline())
		ctx, cancel := context.WithDeadline(r.Context(), call.RunDeadline())
		defer cancel()
		serve(ctx, w, r, g, call)
	})
}

// serve runs a call and writes the answer. Every reply carries a fresh load report.
func serve[H Holder, D talk.Dialect](ctx context.Context, w http.ResponseWriter, r *http.Request, g *Gate[H, D], call model.Call) {
	body, err := relay.StreamBody(r)
	if err != nil {
		relay.WriteFailure(w, &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: err})
		return
	}
	request := relay.Request{Method: r.Method, Target: relay.TargetOf(r.URL), Host: r.Host, Header: http.Header{}, Body: body}
	relay.CopyHeader(request.Header, r.Header)
	answer, failure := g.Run(ctx, call, request)
	wire.SetReport(w.Header(), g.Report())
	if failure != nil {
		relay.WriteFailure(w, failure)
		return
	}
	answer.Body = relay.PaceBody(answer.Body, g.settings.Uplink, callClock{ctx: ctx, now: g.settings.Now})
	relay.EnableDuplex(w, body)
	w.Header().Set(wire.HeaderVerdict, model.Ran.String())
	w.Header().Set(wire.HeaderReason, model.NoReason.String())
	if broken := relay.WriteAnswer(w, answer); broken != nil {
		panic(http.ErrAbortHandler)
	}
}

// callClock waits no longer than a call lasts. It implements relay.Clock.
type callClock struct {
	ctx context.Context
	now func() time.Time
}

// Now reads the clock.
func (c callClock) Now() time.Time { return c.now() }

// Wait waits for the given time, or returns an error when the call ends first.
func (c callClock) Wait(wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}
