package entry

import (
	"context"
	"net/http"
	"net/url"

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
	IsRunning(id string) bool
}

// carrier sends the attempts of one call to gates. It implements send.Attempter.
type carrier[D talk.Dialect] struct {
	entry  *Entry[D]
	call   model.Call
	header http.Header
	target *url.URL
	host   string
	body   *relay.Body
	// tries lists the attempts so far, for the log.
	tries []try
	// failedVerdict is the combined verdict on the attempts that failed so far; NotRun before the first attempt.
	failedVerdict model.Verdict
}

// CanResend implements send.Attempter.
func (c *carrier[D]) CanResend() bool {
	return c.body.CanResend()
}

// Attempt implements send.Attempter.
func (c *carrier[D]) Attempt(ctx context.Context, call model.Call, upstream model.Upstream, ended func(load.Result)) (*http.Response, *model.GateReport, *model.Failure) {
	c.entry.settings.Meter.Attempts.WithLabelValues(string(call.Service)).Inc()
	request := c.request(upstream.Gate)
	began := c.entry.settings.Now()
	answer, report, failure := c.attempt(ctx, call, upstream, request)
	if failure == nil && call.Idempotent {
		failure = relay.BufferAnswer(answer)
		if failure != nil {
			c.entry.settings.Meter.TruncatedAnswer(call)
		}
	}
	attempt := try{upstream: upstream.Name, took: c.entry.settings.Now().Sub(began)}
	if failure != nil {
		attempt.reason = failure.Reason
	}
	c.tries = append(c.tries, attempt)
	if failure != nil {
		c.failedVerdict = proof.CombineAttempts(c.failedVerdict, failure.Verdict)
		ended(load.ResultOf(failure.Reason))
		return nil, report, failure
	}
	answer.Body = relay.OnClose(answer.Body, func() { ended(resultOf(answer)) })
	return answer, report, nil
}

// request returns the request of a new attempt. Its header is a copy, which the attempt may change.
func (c *carrier[D]) request(address model.Address) relay.Request {
	return relay.Request{
		Address: address,
		Method:  c.call.Method,
		Target:  c.target,
		Host:    c.host,
		Header:  c.header.Clone(),
		Body:    c.body,
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
func (c *carrier[D]) attempt(ctx context.Context, call model.Call, upstream model.Upstream, request relay.Request) (*http.Response, *model.GateReport, *model.Failure) {
	if upstream.Name == c.entry.settings.Self.Name {
		answer, failure := c.entry.settings.Local.Run(ctx, call, request)
		report := c.entry.settings.Local.Report()
		return answer, &report, failure
	}
	return c.sendToGate(ctx, call, request)
}

// sendToGate sends the request to another daemon's gate. The report is nil when the reply carried none.
func (c *carrier[D]) sendToGate(ctx context.Context, call model.Call, request relay.Request) (*http.Response, *model.GateReport, *model.Failure) {
	wire.SetCall(request.Header, call, c.entry.settings.Now())
	request.ExpectContinue = c.body.Rest != nil
	answer, failure := relay.RoundTrip(ctx, c.entry.settings.Transport, request, model.GateLost)
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
