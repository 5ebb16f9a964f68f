package entry

import (
	"context"
	"net/http"

	"comfreytack/cftd/relay"
	"comfreytack/cftd/talk"
	"comfreytack/core/command/load"
	"comfreytack/core/model"
	"comfreytack/core/query/proof"
	"comfreytack/core/wire"
)

// LocalGate is the gate in this process, which runs calls on the upstream beside this daemon.
type LocalGate interface {
	Run(ctx context.Context, call model.Call, request relay.Request) (*http.Response, *model.Failure)
	Report() model.GateReport
	// Running reports whether the upstream is working on the request with the given ID, and that request's rank.
	Running(id string) (rank int, running bool)
}

// attempter makes the attempts of one call at gates. It implements send.Attempter.
type attempter[D talk.Dialect] struct {
	entry  *Entry[D]
	call   model.Call
	header http.Header
	target relay.Target
	host   string
	body   *relay.Body
	// tries lists the attempts so far, for the log.
	tries []try
	// failedVerdict is the combined verdict on the attempts that failed so far; NotRun before the first attempt.
	failedVerdict model.Verdict
}

// CanResend implements send.Attempter.
func (a *attempter[D]) CanResend() bool {
	return a.body.CanResend()
}

// Attempt implements send.Attempter.
func (a *attempter[D]) Attempt(ctx context.Context, call model.Call, upstream model.Upstream, ended func(load.Result)) (*http.Response, *model.GateReport, *model.Failure) {
	a.entry.settings.Meter.Attempts.WithLabelValues(string(call.Service)).Inc()
	request := a.request(upstream.Gate)
	began := a.entry.settings.Now()
	answer, report, failure := a.attempt(ctx, call, upstream, request)
	if failure == nil && call.Idempotent {
		failure = relay.BufferAnswer(answer)
		if failure != nil {
			a.entry.settings.Meter.TruncatedAnswer(call)
		}
	}
	attempt := try{upstream: upstream.Name, took: a.entry.settings.Now().Sub(began)}
	if failure != nil {
		attempt.reason = failure.Reason
	}
	a.tries = append(a.tries, attempt)
	if failure != nil {
		a.failedVerdict = proof.CombineAttempts(a.failedVerdict, failure.Verdict)
		ended(load.ResultOf(failure.Reason))
		return nil, report, failure
	}
	answer.Body = relay.OnClose(answer.Body, func() { ended(resultOf(answer)) })
	return answer, report, nil
}

// request returns the request of a new attempt. Its header is a copy, which the attempt may change.
func (a *attempter[D]) request(address model.Address) relay.Request {
	return relay.Request{
		Address: address,
		Method:  a.call.Method,
		Target:  a.target,
		Host:    a.host,
		Header:  a.header.Clone(),
		Body:    a.body,
	}
}

// resultOf classifies an answer for load tracking. The upstream's own errors, which may come fast, count as
// failed.
func resultOf(answer *http.Response) load.Result {
	if answer.StatusCode >= http.StatusInternalServerError {
		return load.Failed
	}
	return load.Answered
}

// attempt sends the request to the upstream's gate: by a function call when the gate is in this process, and
// otherwise over the network.
func (a *attempter[D]) attempt(ctx context.Context, call model.Call, upstream model.Upstream, request relay.Request) (*http.Response, *model.GateReport, *model.Failure) {
	if upstream.Name == a.entry.settings.Self.Name {
		answer, failure := a.entry.settings.Local.Run(ctx, call, request)
		report := a.entry.settings.Local.Report()
		return answer, &report, failure
	}
	return a.sendToGate(ctx, call, request)
}

// sendToGate sends the request to another daemon's gate. The report is nil when the reply carried none.
func (a *attempter[D]) sendToGate(ctx context.Context, call model.Call, request relay.Request) (*http.Response, *model.GateReport, *model.Failure) {
	wire.SetCall(request.Header, call, a.entry.settings.Now())
	request.ExpectContinue = a.body.Large()
	answer, failure := relay.RoundTrip(ctx, a.entry.settings.Transport, request, model.GateLost)
	if failure != nil {
		return nil, nil, failure
	}
	var report *model.GateReport
	if value, known := wire.ReadReport(answer.Header); known {
		report = &value
	}
	if failure := wire.ReadFailure(answer.Header); failure != nil {
		_ = answer.Body.Close()
		return nil, report, failure
	}
	wire.RemoveOwnHeaders(answer.Header)
	return answer, report, nil
}
