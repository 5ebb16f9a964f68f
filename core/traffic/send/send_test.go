package send_test

import (
	"context"
	"testing"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/budget"
	"comfreytack/core/command/load"
	"comfreytack/core/command/probe"
	"comfreytack/core/model"
	"comfreytack/core/query/route"
	"comfreytack/core/traffic/send"
)

// said is what the gate of one upstream says to a call.
type said struct {
	// reason is why it refuses a call that does not insist, and insisted one that does; NoReason for an answer.
	reason, insisted model.Reason
	report           model.GateReport
	retryAfter       time.Duration
}

// gates answers attempts by the name of the upstream and notes them.
type gates struct {
	said  map[model.UpstreamName]said
	tried []model.UpstreamName
}

// Attempt implements send.Carrier.
func (g *gates) Attempt(_ context.Context, call model.Call, upstream model.Upstream, ended func(load.Result)) (string, *model.GateReport, *model.Failure) {
	g.tried = append(g.tried, upstream.Name)
	answer := g.said[upstream.Name]
	answer.report.Upstream = upstream.Name
	reason := answer.reason
	if call.Forced {
		reason = answer.insisted
	}
	ended(load.ResultOf(reason))
	if reason == model.NoReason {
		return "answer", &answer.report, nil
	}
	return "", &answer.report, &model.Failure{Verdict: model.NotRun, Reason: reason, RetryAfter: answer.retryAfter}
}

// Again implements send.Carrier.
func (g *gates) Again() bool { return true }

// first takes the candidates in the order of their names.
type first struct{}

// Choose implements route.Policy.
func (first) Choose(_ time.Time, _ route.Random, candidates []route.Candidate) int {
	least := 0
	for i := range candidates {
		if candidates[i].Upstream.Name < candidates[least].Upstream.Name {
			least = i
		}
	}
	return least
}

func TestTries(t *testing.T) {
	full := model.GateReport{InFlight: 9, Slots: 9, Queued: 1}
	fuller := model.GateReport{InFlight: 9, Slots: 9, Queued: 5}
	idle := model.GateReport{Slots: 9}
	tests := []struct {
		name  string
		gates map[model.UpstreamName]said
		want  model.Reason
		tried []model.UpstreamName
		// retryAfter is what the caller is told.
		retryAfter time.Duration
	}{
		{name: "the first answers", gates: map[model.UpstreamName]said{"a": {report: idle}}, tried: []model.UpstreamName{"a"}},
		{
			name:  "the second has a free slot",
			gates: map[model.UpstreamName]said{"a": {reason: model.NearlyFull, report: full}, "b": {report: idle}},
			tried: []model.UpstreamName{"a", "b"},
		},
		{
			name:  "none has, the least strained lets it wait",
			gates: map[model.UpstreamName]said{"a": {reason: model.NearlyFull, report: fuller}, "b": {reason: model.NearlyFull, report: full}},
			tried: []model.UpstreamName{"a", "b", "b"},
		},
		{
			name: "the least strained refuses, and nobody else is asked again",
			gates: map[model.UpstreamName]said{
				"a": {reason: model.NearlyFull, insisted: model.TooLate, report: fuller},
				"b": {reason: model.NearlyFull, insisted: model.TooLate, report: full, retryAfter: 70 * time.Millisecond},
			},
			want: model.TooLate, tried: []model.UpstreamName{"a", "b", "b"}, retryAfter: 70 * time.Millisecond,
		},
		{
			name: "one that was not asked yet may be at ease",
			gates: map[model.UpstreamName]said{
				"a": {reason: model.NearlyFull, report: fuller}, "b": {reason: model.NearlyFull, report: fuller},
				"c": {reason: model.NearlyFull, insisted: model.TooLate, report: full}, "d": {report: idle},
			},
			tried: []model.UpstreamName{"a", "b", "c", "c", "d"},
		},
		{name: "no upstream", want: model.NoUpstream},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			carrier := &gates{said: test.gates}
			_, failure := send.Send(context.Background(), newSender(test.gates), model.Call{Service: "beds", Deadline: time.Now().Add(time.Second)}, carrier)
			if test.want == model.NoReason {
				qt.Assert(t, failure == nil, qt.IsTrue)
			} else {
				qt.Assert(t, failure.Reason, qt.Equals, test.want)
				qt.Assert(t, failure.RetryAfter, qt.Equals, test.retryAfter)
				qt.Assert(t, failure.NoRetry, qt.IsTrue)
			}
			qt.Assert(t, carrier.tried, qt.DeepEquals, test.tried)
		})
	}
}

// newSender returns a sender that knows the upstreams with the given gates and nothing of their load.
func newSender(gates map[model.UpstreamName]said) *send.Sender[first] {
	var upstreams []model.Upstream
	for name := range gates {
		upstreams = append(upstreams, model.Upstream{Name: name, Service: "beds"})
	}
	snapshot := &model.Snapshot{Services: map[model.ServiceName]model.Service{"beds": {Upstreams: upstreams}}, Leaving: mapset.NewThreadUnsafeSet[model.UpstreamName]()}
	return send.New(send.Settings{
		Snapshot:    func() *model.Snapshot { return snapshot },
		Now:         time.Now,
		Book:        load.New(model.Upstream{Name: "self"}, load.DefaultSettings()),
		ProbeBudget: probe.New(time.Now(), probe.DefaultSettings()),
		Retries:     budget.New(budget.DefaultSettings()),
	}, route.New(first{}))
}
