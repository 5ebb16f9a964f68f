package retry_test

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/command/budget"
	"comfreytack/core/model"
	"comfreytack/core/query/retry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var now = time.Unix(1000, 0)

func TestNext(t *testing.T) {
	refused := model.Failure{Verdict: model.NotRun, Reason: model.QueueFull}
	shed := model.Failure{Verdict: model.NotRun, Reason: model.UpstreamShed}
	died := model.Failure{Verdict: model.MayHaveRun, Reason: model.UpstreamDied}
	fresh := retry.State{Deadline: now.Add(time.Second), Attempts: 1, Untried: 2}
	with := func(change func(*retry.State)) retry.State {
		state := fresh
		change(&state)
		return state
	}
	idempotent := func(deaths int) retry.State {
		return with(func(s *retry.State) { s.Idempotent, s.Deaths = true, deaths })
	}
	tests := []struct {
		name    string
		state   retry.State
		failure model.Failure
		broke   bool
		want    retry.Action
	}{
		{name: "a refusal is tried elsewhere", state: fresh, failure: refused, want: retry.Again},
		{name: "a gate's refusal needs no budget", state: fresh, failure: refused, broke: true, want: retry.Again},
		{name: "an upstream's refusal is tried elsewhere", state: fresh, failure: shed, want: retry.Again},
		{name: "not without budget", state: fresh, failure: shed, broke: true, want: retry.GiveUp},
		{name: "not beyond the upstreams that may be reached", state: with(func(s *retry.State) { s.Reached, s.MostReached = 2, 2 }), failure: shed},
		{name: "below them", state: with(func(s *retry.State) { s.Reached, s.MostReached = 1, 2 }), failure: shed, want: retry.Again},
		{name: "a spent refusal is not", state: fresh, failure: model.Failure{Reason: model.QueueFull, NoRetry: true}},
		{name: "not after the last attempt", state: with(func(s *retry.State) { s.Attempts = 3 }), failure: refused},
		{name: "not when all were tried", state: with(func(s *retry.State) { s.Untried = 0 }), failure: refused},
		{name: "not at the deadline", state: with(func(s *retry.State) { s.Deadline = now }), failure: refused},
		{
			name:    "not when the time left is too short",
			state:   with(func(s *retry.State) { s.Shortest = time.Second }),
			failure: refused,
		},
		{name: "a death of a non-idempotent call is final", state: fresh, failure: died},
		{name: "one death of an idempotent call is not", state: idempotent(1), failure: died, want: retry.Again},
		{name: "a second death is", state: idempotent(2), failure: died},
		{name: "an answer that broke off is not", state: idempotent(0), failure: model.Failure{
			Verdict: model.MayHaveRun, Reason: model.Truncated,
		}, want: retry.Again},
		{name: "work that ran is final", state: idempotent(0), failure: model.Failure{
			Verdict: model.Ran, Reason: model.Truncated,
		}},
		{name: "a quarantine holds everywhere", state: fresh, failure: model.Failure{Reason: model.Quarantined}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := retry.Next(now, test.state, &test.failure, func() bool { return !test.broke })
			qt.Assert(t, got.Action, qt.Equals, test.want)
			if got.Action == retry.GiveUp {
				qt.Assert(t, got.Failure.NoRetry, qt.IsTrue)
				qt.Assert(t, got.Failure.Reason, qt.Equals, test.failure.Reason)
			}
		})
	}
}

// chain is a model of daemons one below the other. Each hop calls the next one through its own entry
// and passes the failure up as it is, which is the worst that an upstream can do.
type chain struct {
	hops     int
	attempts int
	// next decides at each hop.
	next func(state retry.State, failure *model.Failure) retry.Decision
	// bottom fails the call at the last hop.
	bottom func() *model.Failure
}

func (c *chain) call(hop int) *model.Failure {
	state := retry.State{Deadline: now.Add(time.Hour), Idempotent: true}
	for {
		state.Attempts++
		state.Untried = 100
		c.attempts++
		failure := c.below(hop)
		if retry.Death(failure.Reason) {
			state.Deaths++
		}
		decision := c.next(state, failure)
		if decision.Action == retry.GiveUp {
			return decision.Failure
		}
	}
}

func (c *chain) below(hop int) *model.Failure {
	if hop == c.hops {
		return c.bottom()
	}
	return c.call(hop + 1)
}

// TestAttemptsDoNotMultiply compares a chain with one whose hops ignore the mark: 3 attempts at each of
// 6 hops make 3^6 at the bottom.
func TestAttemptsDoNotMultiply(t *testing.T) {
	refuse := func() *model.Failure { return &model.Failure{Reason: model.QueueFull} }
	pay := func() bool { return true }
	unmarked := &chain{hops: 6, bottom: refuse}
	unmarked.next = func(state retry.State, failure *model.Failure) retry.Decision {
		copied := *failure
		copied.NoRetry = false
		return retry.Next(now, state, &copied, pay)
	}
	unmarked.call(1)
	qt.Assert(t, unmarked.attempts, qt.Equals, 3+9+27+81+243+729)

	rapid.Check(t, func(t *rapid.T) {
		c := &chain{hops: rapid.IntRange(1, 17).Draw(t, "hops")}
		failures := rapid.SampledFrom([]model.Failure{
			{Verdict: model.NotRun, Reason: model.QueueFull},
			{Verdict: model.NotRun, Reason: model.UpstreamDown},
			{Verdict: model.MayHaveRun, Reason: model.UpstreamDied},
			{Verdict: model.MayHaveRun, Reason: model.GateLost},
		})
		c.bottom = func() *model.Failure {
			failure := failures.Draw(t, "failure")
			return &failure
		}
		budgets := budget.New(budget.Settings{Purses: 1, Idle: time.Hour, Reserve: 50, Burst: 50})
		spend := func() bool { return budgets.Spend(now, budget.Purse{Customer: "a"}) }
		c.next = func(state retry.State, failure *model.Failure) retry.Decision {
			return retry.Next(now, state, failure, spend)
		}
		c.call(1)
		if most := c.hops - 1 + retry.MaxAttempts; c.attempts > most {
			t.Fatalf("%d attempts over %d hops", c.attempts, c.hops)
		}
	})
}
