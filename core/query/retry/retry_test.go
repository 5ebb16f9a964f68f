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
	crashed := model.Failure{Verdict: model.MayHaveRun, Reason: model.UpstreamDied}
	firstAttempt := retry.State{Deadline: now.Add(time.Second), Attempts: 1, Untried: 2}
	with := func(change func(*retry.State)) retry.State {
		state := firstAttempt
		change(&state)
		return state
	}
	idempotent := func(crashes int) retry.State {
		return with(func(s *retry.State) { s.Idempotent, s.Crashes = true, crashes })
	}
	tests := []struct {
		name     string
		state    retry.State
		failure  model.Failure
		noBudget bool
		want     retry.Action
	}{
		{name: "a refusal is tried elsewhere", state: firstAttempt, failure: refused, want: retry.Again},
		{name: "a gate's refusal needs no budget", state: firstAttempt, failure: refused, noBudget: true, want: retry.Again},
		{name: "an upstream's refusal is tried elsewhere", state: firstAttempt, failure: shed, want: retry.Again},
		{name: "not without budget", state: firstAttempt, failure: shed, noBudget: true, want: retry.GiveUp},
		{name: "not at the bound of reached upstreams", state: with(func(s *retry.State) { s.Reached, s.MaxReached = 2, 2 }), failure: shed},
		{name: "below the bound of reached upstreams", state: with(func(s *retry.State) { s.Reached, s.MaxReached = 1, 2 }), failure: shed, want: retry.Again},
		{name: "refusals by upstreams do not use up attempts", state: with(func(s *retry.State) { s.Attempts, s.Shed = 3, 3 }), failure: shed, want: retry.Again},
		{name: "attempts besides refusals by upstreams are used up", state: with(func(s *retry.State) { s.Attempts, s.Shed = 5, 2 }), failure: shed},
		{name: "refusals by upstreams are bounded", state: with(func(s *retry.State) { s.Attempts, s.Shed = 6, 6 }), failure: shed},
		{name: "a refusal marked as final is not retried", state: firstAttempt, failure: model.Failure{Reason: model.QueueFull, NoRetry: true}},
		{name: "not after the last attempt", state: with(func(s *retry.State) { s.Attempts = 3 }), failure: refused},
		{name: "not when all were tried", state: with(func(s *retry.State) { s.Untried = 0 }), failure: refused},
		{name: "not at the deadline", state: with(func(s *retry.State) { s.Deadline = now }), failure: refused},
		{
			name:    "not when the time left is too short",
			state:   with(func(s *retry.State) { s.MinDuration = time.Second }),
			failure: refused,
		},
		{name: "a crash under a non-idempotent call is final", state: firstAttempt, failure: crashed},
		{name: "one crash under an idempotent call is retried", state: idempotent(1), failure: crashed, want: retry.Again},
		{name: "a second crash is final", state: idempotent(2), failure: crashed},
		{name: "a truncated answer of an idempotent call is retried", state: idempotent(0), failure: model.Failure{
			Verdict: model.MayHaveRun, Reason: model.Truncated,
		}, want: retry.Again},
		{name: "work that ran is final", state: idempotent(0), failure: model.Failure{
			Verdict: model.Ran, Reason: model.Truncated,
		}},
		{name: "a quarantine holds everywhere", state: firstAttempt, failure: model.Failure{Reason: model.Quarantined}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := retry.Next(now, test.state, &test.failure, func() bool { return !test.noBudget })
			qt.Assert(t, got.Action, qt.Equals, test.want)
			if got.Action == retry.GiveUp {
				qt.Assert(t, got.Failure.NoRetry, qt.IsTrue)
				qt.Assert(t, got.Failure.Reason, qt.Equals, test.failure.Reason)
			}
		})
	}
}

// hopChain models daemons that call each other in a row. Each hop calls the next one through its own entry and passes
// the failure on unchanged, the worst that an upstream can do.
type hopChain struct {
	hops     int
	attempts int
	// next makes the retry decision of each hop.
	next func(state retry.State, failure *model.Failure) retry.Decision
	// failLast returns the failure of an attempt at the last hop.
	failLast func() *model.Failure
}

func (c *hopChain) call(hop int) *model.Failure {
	state := retry.State{Deadline: now.Add(time.Hour), Idempotent: true}
	for {
		state.Attempts++
		state.Untried = 100
		c.attempts++
		failure := c.callNext(hop)
		if retry.MayHaveCrashed(failure.Reason) {
			state.Crashes++
		}
		decision := c.next(state, failure)
		if decision.Action == retry.GiveUp {
			return decision.Failure
		}
	}
}

func (c *hopChain) callNext(hop int) *model.Failure {
	if hop == c.hops {
		return c.failLast()
	}
	return c.call(hop + 1)
}

// TestAttemptsDoNotMultiply checks that each hop adds at most one attempt to a call. In a chain whose hops ignore
// the mark that a failure is final, 3 attempts at each of 6 hops make 3^6 at the last one.
func TestAttemptsDoNotMultiply(t *testing.T) {
	refuse := func() *model.Failure { return &model.Failure{Reason: model.QueueFull} }
	unlimited := func() bool { return true }
	ignoring := &hopChain{hops: 6, failLast: refuse}
	ignoring.next = func(state retry.State, failure *model.Failure) retry.Decision {
		copied := *failure
		copied.NoRetry = false
		return retry.Next(now, state, &copied, unlimited)
	}
	ignoring.call(1)
	qt.Assert(t, ignoring.attempts, qt.Equals, 3+9+27+81+243+729)

	rapid.Check(t, func(t *rapid.T) {
		c := &hopChain{hops: rapid.IntRange(1, 17).Draw(t, "hops")}
		failures := rapid.SampledFrom([]model.Failure{
			{Verdict: model.NotRun, Reason: model.QueueFull},
			{Verdict: model.NotRun, Reason: model.UpstreamDown},
			{Verdict: model.MayHaveRun, Reason: model.UpstreamDied},
			{Verdict: model.MayHaveRun, Reason: model.GateLost},
		})
		c.failLast = func() *model.Failure {
			failure := failures.Draw(t, "failure")
			return &failure
		}
		budgets := budget.New(budget.Settings{MaxKeys: 1, Idle: time.Hour, Reserve: 50, Burst: 50})
		spend := func() bool { return budgets.Withdraw(now, budget.Key{Customer: "a"}, 0) }
		c.next = func(state retry.State, failure *model.Failure) retry.Decision {
			return retry.Next(now, state, failure, spend)
		}
		c.call(1)
		if maxAttempts := c.hops - 1 + retry.MaxAttempts; c.attempts > maxAttempts {
			t.Fatalf("%d attempts over %d hops", c.attempts, c.hops)
		}
	})
}
