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

// LocalGate runs calls on the upstream beside this daemon.
type LocalGate interface {
	Run(ctx context.Context, call model.Call, request relay.Request) (*http.Response, *model.Failure)
	Report() model.GateReport
	Runs(id string) bool
}

// carrier takes attempts of one call to gates.
type carrier[D talk.Dialect] struct {
	entry  *Entry[D]
	call   model.Call
	header http.Header
	target *url.URL
	host   string
	body   *relay.Body
	// tries are the attempts so far.
	tries []try
	// failed is the verdict on the attempts that failed so far; NotRun before the first.
	failed model.Verdict
}

// Again implements send.Carrier.
func (c *carrier[D]) Again() bool {
	return c.body.Again()
}

// Attempt implements send.Carrier.
func (c *carrier[D]) Attempt(ctx context.Context, call model.Call, upstream model.Upstream, ended func(load.Result)) (*http.Response, *model.GateReport, *model.Failure) {
	c.entry.settings.Meter.Attempts.WithLabelValues(string(call.Service)).Inc()
	request := c.request(upstream.Gate)
	began := c.entry.settings.Now()
	answer, report, failure := c.one(ctx, call, upstream, request)
	if failure == nil && call.Idempotent {
		failure = relay.HoldAnswer(answer)
		if failure != nil {
			c.entry.settings.Meter.TruncatedAnswer(call)
		}
	}
	one := try{upstream: upstream.Name, took: c.entry.settings.Now().Sub(began)}
	if failure != nil {
		one.reason = failure.Reason
	}
	c.tries = append(c.tries, one)
	if failure != nil {
		c.failed = proof.CombineAttempts(c.failed, failure.Verdict)
		ended(load.ResultOf(failure.Reason))
		return nil, report, failure
	}
	answer.Body = relay.OnClose(answer.Body, func() { ended(resultOf(answer)) })
	return answer, report, nil
}

// request returns a new attempt; its header may be changed.
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

// resultOf tells an upstream's own errors, which may come fast, from useful answers.
func resultOf(answer *http.Response) load.Result {
	if answer.StatusCode >= http.StatusInternalServerError {
		return load.Failed
	}
	return load.Answered
}

func (c *carrier[D]) one(ctx context.Context, call model.Call, upstream model.Upstream, request relay.Request) (*http.Response, *model.GateReport, *model.Failure) {
	if upstream.Name == c.entry.settings.Self.Name {
		answer, failure := c.entry.settings.Local.Run(ctx, call, request)
		report := c.entry.settings.Local.Report()
		return answer, &report, failure
	}
	return c.remote(ctx, call, request)
}

func (c *carrier[D]) remote(ctx context.Context, call model.Call, request relay.Request) (*http.Response, *model.GateReport, *model.Failure) {
	wire.SetCall(request.Header, call, c.entry.settings.Now())
	request.AskFirst = c.body.Rest != nil
	answer, failure := relay.Trip(ctx, c.entry.settings.Transport, request, model.GateLost)
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
