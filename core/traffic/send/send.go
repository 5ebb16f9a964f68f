// Package send tries a call on one upstream after another until there is an answer.
package send

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"comfreytack/core/command/budget"
	"comfreytack/core/command/load"
	"comfreytack/core/command/probe"
	"comfreytack/core/model"
	"comfreytack/core/query/retry"
	"comfreytack/core/query/route"
)

// Attempter takes one attempt to one upstream's gate. A is the type of its answers.
type Attempter[A any] interface {
	// Attempt returns an answer or a failure. The report is nil when the gate sent none.
	// It calls ended once: when it fails, or when the whole answer has been read or given up. The
	// result says what the call tells of the upstream.
	Attempt(ctx context.Context, call model.Call, upstream model.Upstream, ended func(load.Result)) (A, *model.GateReport, *model.Failure)
	// Again says whether the request can be sent once more, that is, its body is still at hand.
	Again() bool
}

// Settings has the explicit dependencies of a sender.
type Settings struct {
	// Snapshot returns the control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Book has what is known of the upstreams' load.
	Book *load.Book
	// ProbeBudget earns the questions that keep knowledge of idle gates fresh.
	ProbeBudget *probe.Budget
	// Retries bounds the retries of each customer.
	Retries *budget.Book
}

// Sender picks upstreams and counts the calls in flight to each.
type Sender[P route.Policy] struct {
	settings Settings
	picker   *route.Picker[P]
	// scratch has slices of candidates, so that a decision allocates nothing.
	scratch sync.Pool
}

// New returns a sender.
func New[P route.Policy](settings Settings, picker *route.Picker[P]) *Sender[P] {
	return &Sender[P]{
		settings: settings,
		picker:   picker,
		scratch:  sync.Pool{New: func() any { return new([]route.Candidate) }},
	}
}

// Send tries the call until an upstream answers, the deadline passes or no attempt is left.
func Send[P route.Policy, A any](ctx context.Context, s *Sender[P], call model.Call, carrier Attempter[A]) (A, *model.Failure) {
	var none A
	state := retry.State{Deadline: call.Deadline, Idempotent: call.Idempotent, MostReached: call.Attempts}
	s.settings.Retries.Sent(s.settings.Now(), purse(call), s.settings.Snapshot().Limits[call.Customer].RetryPercent)
	tries := tries{tried: make([]model.UpstreamName, 0, retry.MaxAttempts)}
	last := &model.Failure{Verdict: model.NotRun, Reason: model.NoUpstream, NoRetry: true}
	for {
		upstream, found := s.choose(&tries, &call)
		if !found {
			return none, last
		}
		answer, failure := attempt(ctx, s, call, upstream, carrier)
		if failure == nil {
			return answer, nil
		}
		again := carrier.Again() && ctx.Err() == nil
		if again && passedOver(failure.Reason) {
			tries.strained = append(tries.strained, upstream.Name)
			continue
		}
		call.Suspect = call.Suspect || retry.Death(failure.Reason)
		state = after(state, failure, tries.left(again))
		if decision := s.next(state, call, failure); decision.Action == retry.GiveUp {
			return none, decision.Failure
		}
		last = retry.GivenUp(failure)
	}
}

// mostStrained is how many strained upstreams are passed over for one call.
const mostStrained = 3

// tries is where a call has been.
type tries struct {
	tried []model.UpstreamName
	// strained has the upstreams that would rather not take the call; one takes it if no other does.
	strained []model.UpstreamName
	// others counts the upstreams that could be tried besides the last one.
	others int
}

// left counts the upstreams that could still be tried; none when the request cannot be sent again.
func (t *tries) left(again bool) int {
	if !again {
		return 0
	}
	return t.others + len(t.strained)
}

// choose returns the upstream to try next and prepares the call for it, or false when there is none.
func (s *Sender[P]) choose(t *tries, call *model.Call) (model.Upstream, bool) {
	scratch := s.scratch.Get().(*[]route.Candidate)
	defer s.scratch.Put(scratch)
	now := s.settings.Now()
	all := s.candidates(now, call.Service, *scratch)
	*scratch = all
	// The order of candidates changes below; those that were passed over are kept apart before.
	strained := route.Only(all, t.strained)
	untried := route.Without(all, t.tried)
	if call.Forced {
		// The least strained one has refused; the others that are strained would too.
		untried = route.AtEase(now, untried)
		t.strained = nil
	}
	chosen, _ := s.picker.Pick(now, rand.IntN, untried)
	t.others = len(untried) - 1
	switch {
	case len(t.strained) > 0 && (len(untried) == 0 || len(t.strained) >= mostStrained):
		chosen, _ = route.LeastStrained(now, strained)
		t.strained = slices.DeleteFunc(t.strained, func(name model.UpstreamName) bool { return name == chosen.Upstream.Name })
		call.Forced = true
	case chosen.Strained(now):
		// If the best is strained the others are too: being sent on from one to the next would help nobody.
		chosen, _ = route.LeastStrained(now, untried)
		call.Forced = true
	}
	t.tried = append(t.tried, chosen.Upstream.Name)
	call.Instance = chosen.Upstream.Instance
	return chosen.Upstream, chosen.Upstream.Name != ""
}

// candidates returns the upstreams of a service that take new work, in the given slice.
func (s *Sender[P]) candidates(now time.Time, service model.ServiceName, into []route.Candidate) []route.Candidate {
	snapshot := s.settings.Snapshot()
	all := s.settings.Book.Candidates(now, service, snapshot.Services[service].Upstreams, into)
	return slices.DeleteFunc(all, func(c route.Candidate) bool {
		return snapshot.Leaving.Contains(c.Upstream.Name)
	})
}

// after returns the state behind a failed attempt.
func after(state retry.State, failure *model.Failure, untried int) retry.State {
	state.Attempts++
	if retry.Reached(failure.Reason) {
		state.Reached++
	}
	if retry.Death(failure.Reason) {
		state.Deaths++
	}
	state.Untried = untried
	return state
}

// passedOver tells whether the upstream would take the call if it has to.
func passedOver(reason model.Reason) bool {
	return reason == model.UpstreamSlow || reason == model.NearlyFull
}

// purse names the budget that pays for a call's retries: that of its customer at its service, so that a
// service in trouble gets no retries that calls to other services have earned. Routes of a document share one.
func purse(call model.Call) budget.Purse {
	if call.Route != "" {
		return budget.Purse{Service: call.Service}
	}
	return budget.Purse{Customer: call.Customer, Service: call.Service}
}

func (s *Sender[P]) next(state retry.State, call model.Call, failure *model.Failure) retry.Decision {
	now := s.settings.Now()
	return retry.Next(now, state, failure, func() bool {
		return s.settings.Retries.Spend(now, purse(call))
	})
}

func attempt[P route.Policy, A any](ctx context.Context, s *Sender[P], call model.Call, upstream model.Upstream, carrier Attempter[A]) (A, *model.Failure) {
	began := s.settings.Now()
	counted := s.settings.Book.Began(upstream.Name)
	// answeredAt is when an answer began; how fast its caller reads it tells nothing of the upstream.
	var answeredAt time.Time
	ended := func(result load.Result) {
		now := s.settings.Now()
		until := now
		if !answeredAt.IsZero() {
			until = answeredAt
		}
		s.settings.Book.Ended(now, counted, load.Outcome{Result: result, Latency: until.Sub(began), Class: call.Class})
	}
	s.settings.ProbeBudget.Sent()
	answer, report, failure := carrier.Attempt(ctx, call, upstream, ended)
	answeredAt = s.settings.Now()
	if report != nil {
		now := s.settings.Now()
		s.settings.Book.Reported(now, *report)
		s.settings.ProbeBudget.Learned(now, upstream.Name)
	}
	return answer, failure
}
