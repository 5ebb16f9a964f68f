package send_test

import (
	"cmp"
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

// reply is how the gate of one upstream answers a call.
type reply struct {
	// reason is why it refuses a call that is not forced, and forced why it refuses one that is; NoReason for an answer.
	reason, forced model.Reason
	report         model.GateReport
	retryAfter     time.Duration
	domain         model.FailureDomain
}

// gates answers attempts according to the upstream's name and records them.
type gates struct {
	reply map[model.UpstreamName]reply
	tried []model.UpstreamName
}

// Attempt implements send.Attempter.
func (g *gates) Attempt(_ context.Context, call model.Call, upstream model.Upstream, ended func(load.Result)) (string, *model.GateReport, *model.Failure) {
	g.tried = append(g.tried, upstream.Name)
	answer := g.reply[upstream.Name]
	answer.report.Upstream = upstream.Name
	reason := answer.reason
	if call.Forced {
		reason = answer.forced
	}
	ended(load.ResultOf(reason))
	if reason == model.NoReason {
		return "answer", &answer.report, nil
	}
	return "", &answer.report, &model.Failure{Verdict: model.NotRun, Reason: reason, RetryAfter: answer.retryAfter}
}

// CanResend implements send.Attempter.
func (g *gates) CanResend() bool { return true }

// byName chooses candidates in the order of their names.
type byName struct{}

// Choose implements route.Policy.
func (byName) Choose(_ time.Time, _ route.Random, candidates []route.Candidate) int {
	least := 0
	for i := range candidates {
		if candidates[i].Upstream.Name < candidates[least].Upstream.Name {
			least = i
		}
	}
	return least
}

// fullRetry makes each call earn a whole retry.
const fullRetry = 100

// TestShedCallsAreNotRuns checks that upstreams that refuse a call before any work do not use up the number of upstreams
// that its route lets it reach.
func TestShedCallsAreNotRuns(t *testing.T) {
	idle := model.GateReport{Slots: 9}
	tests := []struct {
		name     string
		attempts int
		tried    []model.UpstreamName
	}{
		{name: "no bound", tried: []model.UpstreamName{"a", "b", "c"}},
		{name: "one upstream", attempts: 1, tried: []model.UpstreamName{"a", "b", "c"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fake := &gates{reply: map[model.UpstreamName]reply{
				"a": {reason: model.UpstreamShed, report: idle}, "b": {reason: model.UpstreamShed, report: idle}, "c": {report: idle},
			}}
			call := model.Call{Service: "beds", Attempts: test.attempts, Deadline: time.Now().Add(time.Second)}
			_, failure := send.Send(context.Background(), newSender(fake.reply), call, fake)
			qt.Assert(t, failure == nil, qt.IsTrue)
			qt.Assert(t, fake.tried, qt.DeepEquals, test.tried)
		})
	}
}

// TestTries checks which upstreams a call is sent to when gates refuse it because they are overloaded.
func TestTries(t *testing.T) {
	full := model.GateReport{InFlight: 9, Slots: 9, Queued: 1}
	fuller := model.GateReport{InFlight: 9, Slots: 9, Queued: 5}
	idle := model.GateReport{Slots: 9}
	coldFull := model.GateReport{Slots: 9, ColdMs: 3000, ColdWaitMs: 300}
	tests := []struct {
		name  string
		gates map[model.UpstreamName]reply
		want  model.Reason
		tried []model.UpstreamName
		// retryAfter is the time in the failure that the caller gets.
		retryAfter time.Duration
	}{
		{name: "the first answers", gates: map[model.UpstreamName]reply{"a": {report: idle}}, tried: []model.UpstreamName{"a"}},
		{
			name:  "the second has a free slot",
			gates: map[model.UpstreamName]reply{"a": {reason: model.NearlyFull, report: full}, "b": {report: idle}},
			tried: []model.UpstreamName{"a", "b"},
		},
		{
			name:  "none has a free slot, and the least overloaded queues it",
			gates: map[model.UpstreamName]reply{"a": {reason: model.NearlyFull, report: fuller}, "b": {reason: model.NearlyFull, report: full}},
			tried: []model.UpstreamName{"a", "b", "b"},
		},
		{
			name: "the least overloaded refuses, and no other is tried again",
			gates: map[model.UpstreamName]reply{
				"a": {reason: model.NearlyFull, forced: model.TooLate, report: fuller},
				"b": {reason: model.NearlyFull, forced: model.TooLate, report: full, retryAfter: 70 * time.Millisecond},
			},
			want: model.TooLate, tried: []model.UpstreamName{"a", "b", "b"}, retryAfter: 70 * time.Millisecond,
		},
		{
			name: "an upstream not tried yet has a free slot",
			gates: map[model.UpstreamName]reply{
				"a": {reason: model.NearlyFull, report: fuller}, "b": {reason: model.NearlyFull, report: fuller},
				"c": {reason: model.NearlyFull, forced: model.TooLate, report: full}, "d": {report: idle},
			},
			tried: []model.UpstreamName{"a", "b", "c", "c", "d"},
		},
		{
			name: "a cold upstream has no room, and the next answers",
			gates: map[model.UpstreamName]reply{
				"a": {reason: model.UpstreamCold, forced: model.UpstreamCold, report: coldFull}, "b": {reason: model.UpstreamCold, report: coldFull},
				"c": {reason: model.UpstreamCold, report: coldFull}, "d": {reason: model.UpstreamCold, report: coldFull}, "e": {report: idle},
			},
			tried: []model.UpstreamName{"a", "b", "c", "d", "e"},
		},
		{
			name: "all are cold without room", gates: map[model.UpstreamName]reply{
				"a": {reason: model.UpstreamCold, report: coldFull, retryAfter: 300 * time.Millisecond},
				"b": {reason: model.UpstreamCold, report: coldFull, retryAfter: 400 * time.Millisecond},
			},
			want: model.UpstreamCold, tried: []model.UpstreamName{"a", "b"}, retryAfter: 400 * time.Millisecond,
		},
		{
			name: "the failure domain is evacuated, and the entry does not know it yet",
			gates: map[model.UpstreamName]reply{
				"a": {reason: model.DomainEvacuated, domain: "sur"}, "b": {reason: model.DomainEvacuated, domain: "sur"}, "c": {report: idle, domain: "norte"},
			},
			tried: []model.UpstreamName{"a", "c"},
		},
		{
			name: "all failure domains are evacuated", gates: map[model.UpstreamName]reply{
				"a": {reason: model.DomainEvacuated, domain: "sur"}, "b": {reason: model.DomainEvacuated, domain: "norte"},
			},
			want: model.DomainEvacuated, tried: []model.UpstreamName{"a", "b"}, retryAfter: time.Second,
		},
		{name: "no upstream", want: model.NoUpstream},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fake := &gates{reply: test.gates}
			_, failure := send.Send(context.Background(), newSender(test.gates), model.Call{Service: "beds", Deadline: time.Now().Add(time.Second)}, fake)
			if test.want == model.NoReason {
				qt.Assert(t, failure == nil, qt.IsTrue)
			} else {
				qt.Assert(t, failure.Reason, qt.Equals, test.want)
				qt.Assert(t, failure.RetryAfter, qt.Equals, test.retryAfter)
				qt.Assert(t, failure.NoRetry, qt.IsTrue)
			}
			qt.Assert(t, fake.tried, qt.DeepEquals, test.tried)
		})
	}
}

// newSender returns a sender that knows the upstreams of the given gates, but not their load.
func newSender(gates map[model.UpstreamName]reply) *send.Sender[byName] {
	var upstreams []model.Upstream
	for name, reply := range gates {
		upstreams = append(upstreams, model.Upstream{Name: name, Service: "beds", FailureDomain: reply.domain})
	}
	return newSenderOf(&model.Snapshot{Services: map[model.ServiceName]model.Service{"beds": {Upstreams: upstreams}}, Leaving: mapset.NewThreadUnsafeSet[model.UpstreamName]()})
}

// newSenderOf returns a sender that reads the given control state.
func newSenderOf(snapshot *model.Snapshot) *send.Sender[byName] {
	return send.New(send.Settings{
		Snapshot:    func() *model.Snapshot { return snapshot },
		Now:         time.Now,
		Tracker:     load.New(model.Upstream{Name: "self"}, load.DefaultSettings()),
		ProbeBudget: probe.New(time.Now(), probe.DefaultSettings()),
		Retries:     budget.New(budget.DefaultSettings()),

		RetryPercent: fullRetry,
	}, route.New(byName{}))
}

// TestNothingOpen checks the refusals of calls that no upstream can take by what this daemon knows, without an attempt.
func TestNothingOpen(t *testing.T) {
	all := []model.Upstream{{Name: "a", Service: "beds", FailureDomain: "sur"}, {Name: "b", Service: "beds", FailureDomain: "sur"}}
	tests := []struct {
		name string
		// left is the time until the deadline; zero for a minute.
		left       time.Duration
		open       map[model.ServiceName][]model.Upstream
		cold       bool
		want       model.Reason
		retryAfter time.Duration
		// noRetryAfter says that coming back does not help.
		noRetryAfter bool
	}{
		{name: "the only failure domain is evacuated", open: map[model.ServiceName][]model.Upstream{"beds": {}}, want: model.DomainEvacuated, retryAfter: time.Second},
		{name: "all are cold without room", cold: true, want: model.UpstreamCold},
		{name: "no time for an attempt", left: 10 * time.Millisecond, want: model.TooLate, noRetryAfter: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fake := &gates{reply: map[model.UpstreamName]reply{}}
			sender := newSenderOf(&model.Snapshot{
				Services: map[model.ServiceName]model.Service{"beds": {Upstreams: all}}, Open: test.open, Leaving: mapset.NewThreadUnsafeSet[model.UpstreamName](),
			})
			if test.cold {
				refuse := reply{reason: model.UpstreamCold, report: model.GateReport{ColdMs: 60_000, ColdWaitMs: 60_000}}
				fake.reply["a"], fake.reply["b"] = refuse, refuse
				_, _ = send.Send(t.Context(), sender, model.Call{Service: "beds", Deadline: time.Now().Add(time.Minute)}, fake)
				fake.tried = nil
			}
			_, failure := send.Send(t.Context(), sender, model.Call{Service: "beds", Deadline: time.Now().Add(cmp.Or(test.left, time.Minute))}, fake)
			qt.Assert(t, failure.Verdict, qt.Equals, model.NotRun)
			qt.Assert(t, failure.Reason, qt.Equals, test.want)
			qt.Assert(t, failure.NoRetry, qt.IsTrue)
			qt.Assert(t, failure.RetryAfter > 0, qt.Equals, !test.noRetryAfter)
			if test.retryAfter > 0 {
				qt.Assert(t, failure.RetryAfter, qt.Equals, test.retryAfter)
			}
			qt.Assert(t, fake.tried, qt.HasLen, 0)
		})
	}
}
