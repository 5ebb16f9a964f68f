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
	"comfreytack/core/traffic/stale"
)

// Attempter makes attempts at upstreams' gates in the encoding of one front end. A is the type of its answers.
type Attempter[A any] interface {
	// Attempt sends the call to one upstream's gate and returns an answer or a failure. The report is nil when the
	// gate sent none. It calls ended once: when the attempt fails, or when the whole answer has been read or
	// abandoned. The result passed to ended is what the attempt says about the upstream.
	Attempt(ctx context.Context, call model.Call, upstream model.Upstream, ended func(load.Result)) (A, *model.GateReport, *model.Failure)
	// CanResend reports whether the request can be sent once more, that is, whether its body is still available.
	CanResend() bool
}

// Settings has the explicit dependencies of a Sender.
type Settings struct {
	// Snapshot returns the current control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Tracker has what is known of the upstreams' load.
	Tracker *load.Tracker
	// ProbeBudget limits the probes that refresh the load of idle gates; calls that are sent add to it.
	ProbeBudget *probe.Budget
	// Retries limits the retries of each customer.
	Retries *budget.Buckets
	// RetryPercent is the percentage of a retry that each call earns; zero means that of its customer.
	RetryPercent int
}

// Sender picks upstreams and counts the calls in flight to each.
type Sender[P route.Policy] struct {
	settings Settings
	picker   *route.Picker[P]
	// stale has the listed instances that no longer run.
	stale stale.Memory
	// scratch pools slices of candidates, so that choosing an upstream allocates none.
	scratch sync.Pool
}

// New returns a Sender that chooses upstreams with the given picker.
func New[P route.Policy](settings Settings, picker *route.Picker[P]) *Sender[P] {
	return &Sender[P]{
		settings: settings,
		picker:   picker,
		scratch:  sync.Pool{New: func() any { return new([]route.Candidate) }},
	}
}

// Send tries the call until an upstream answers, the deadline passes or no attempt is left.
func Send[P route.Policy, A any](ctx context.Context, s *Sender[P], call model.Call, attempter Attempter[A]) (A, *model.Failure) {
	var zero A
	state := retry.State{Deadline: call.Deadline, Idempotent: call.Idempotent, MaxReached: call.Attempts}
	s.settings.Retries.Deposit(s.settings.Now(), budgetKey(call), s.retryPercent(call))
	progress := progress{tried: make([]model.UpstreamName, 0, retry.MaxAttempts)}
	last := &model.Failure{Verdict: model.NotRun, Reason: model.NoUpstream, NoRetry: true}
	for {
		upstream, found := s.choose(&progress, &call)
		if !found {
			return zero, s.noneLeft(&progress, &call, last)
		}
		if call.Deadline.Sub(s.settings.Now()) <= retry.RefusalLead {
			return zero, tooLate(last)
		}
		answer, failure := attempt(ctx, s, call, upstream, attempter)
		if failure == nil {
			return answer, nil
		}
		s.stale.Learn(s.settings.Now(), upstream.Name, upstream.Instance, failure.Reason)
		canResend := attempter.CanResend() && ctx.Err() == nil
		if canResend && refusedAsOverloaded(failure.Reason) {
			progress.overloaded = append(progress.overloaded, upstream.Name)
			continue
		}
		if canResend && progress.tryElsewhere(upstream, failure.Reason) {
			call.Forced = false
			last = retry.Final(failure)
			continue
		}
		if canResend && failure.Reason == model.InstanceStale {
			// The gate refused by what it remembers, which costs no upstream anything and is now remembered here too.
			last = retry.Final(failure)
			continue
		}
		call.Suspect = call.Suspect || retry.MayHaveCrashed(failure.Reason)
		state = afterFailure(state, failure, progress.remaining(canResend))
		if decision := s.decideRetry(state, call, failure); decision.Action == retry.GiveUp {
			return zero, decision.Failure
		}
		last = retry.Final(failure)
	}
}

// maxOverloaded is how many overloaded upstreams one call may be refused by before it is forced on one of them.
const maxOverloaded = 3

// progress records which upstreams a call has been sent to, and which are left.
type progress struct {
	tried []model.UpstreamName
	// overloaded has the upstreams that refused the call because they are overloaded; one of them is forced to take it
	// if no other upstream does.
	overloaded []model.UpstreamName
	// evacuated has the failure domains whose gates refused the call because they are evacuated.
	evacuated []model.FailureDomain
	// coldRefusals counts the cold upstreams that refused the call, and coldWait is how long until a cold upstream that
	// was left out takes a request; zero when none was.
	coldRefusals int
	coldWait     time.Duration
	// others is the number of untried upstreams besides the one chosen last.
	others int
}

// remaining returns how many upstreams could still be tried; none when the request cannot be sent again.
func (p *progress) remaining(canResend bool) int {
	if !canResend {
		return 0
	}
	return p.others + len(p.overloaded)
}

// choose returns the upstream to try next and prepares the call for it, or returns false when there is none.
func (s *Sender[P]) choose(p *progress, call *model.Call) (model.Upstream, bool) {
	scratch := s.scratch.Get().(*[]route.Candidate)
	defer s.scratch.Put(scratch)
	now := s.settings.Now()
	all := route.Outside(s.candidates(now, call.Service, *scratch), p.evacuated)
	*scratch = all
	// Copies the overloaded candidates first, because the calls below modify the slice in place.
	overloaded := route.Only(all, p.overloaded)
	untried, coldWait := route.WithoutFullCold(now, route.Without(all, p.tried))
	p.coldWait = coldWait
	if call.Forced {
		// The least overloaded one has refused the forced call; the other overloaded ones would too.
		untried = route.WithoutOverloaded(now, untried)
		p.overloaded = nil
	}
	chosen, _ := s.picker.Pick(now, rand.IntN, untried)
	p.others = len(untried) - 1
	switch {
	case len(p.overloaded) > 0 && (len(untried) == 0 || len(p.overloaded) >= maxOverloaded):
		chosen, _ = route.LeastOverloaded(now, overloaded)
		p.overloaded = slices.DeleteFunc(p.overloaded, func(name model.UpstreamName) bool { return name == chosen.Upstream.Name })
		call.Forced = true
	case chosen.Overloaded(now):
		// If the best is overloaded, so are the others, and being refused by one after another would help nobody.
		chosen, _ = route.LeastOverloaded(now, untried)
		call.Forced = true
	}
	p.tried = append(p.tried, chosen.Upstream.Name)
	call.Instance = chosen.Upstream.Instance
	return chosen.Upstream, chosen.Upstream.Name != ""
}

// candidates returns the upstreams of a service that accept new work, reusing the given slice.
func (s *Sender[P]) candidates(now time.Time, service model.ServiceName, into []route.Candidate) []route.Candidate {
	snapshot := s.settings.Snapshot()
	all := s.settings.Tracker.Candidates(now, service, snapshot.OpenUpstreams(service), into)
	return slices.DeleteFunc(all, func(c route.Candidate) bool {
		return snapshot.Leaving.Contains(c.Upstream.Name) || s.stale.Refuses(now, c.Upstream.Name, c.Upstream.Instance)
	})
}

// afterFailure returns the state after a failed attempt.
func afterFailure(state retry.State, failure *model.Failure, untried int) retry.State {
	state.Attempts++
	switch {
	case failure.Reason == model.UpstreamShed:
		state.Shed++
	case retry.Reached(failure.Reason):
		state.Reached++
	}
	if retry.MayHaveCrashed(failure.Reason) {
		state.Crashes++
	}
	state.Untried = untried
	return state
}

// refusedAsOverloaded reports whether the upstream refused because it is overloaded, and would take the call if forced.
func refusedAsOverloaded(reason model.Reason) bool {
	return reason == model.UpstreamSlow || reason == model.NearlyFull
}

// budgetKey returns the key of the retry budget that a call uses: one for each customer and service, so that a
// failing service cannot use up retries that calls to other services have earned. All calls that follow routes of a
// document to one service share a key.
func budgetKey(call model.Call) budget.Key {
	if call.Route != "" {
		return budget.Key{Service: call.Service}
	}
	return budget.Key{Customer: call.Customer, Service: call.Service}
}

// retryPercent returns the percentage of a retry that a call earns.
func (s *Sender[P]) retryPercent(call model.Call) int {
	if s.settings.RetryPercent > 0 {
		return s.settings.RetryPercent
	}
	return s.settings.Snapshot().Limits[call.Customer].RetryPercent
}

func (s *Sender[P]) decideRetry(state retry.State, call model.Call, failure *model.Failure) retry.Decision {
	now := s.settings.Now()
	return retry.Next(now, state, failure, func() bool {
		return s.settings.Retries.Withdraw(now, budgetKey(call), call.Rank)
	})
}

func attempt[P route.Policy, A any](ctx context.Context, s *Sender[P], call model.Call, upstream model.Upstream, attempter Attempter[A]) (A, *model.Failure) {
	began := s.settings.Now()
	counted := s.settings.Tracker.Began(began, upstream.Name)
	// answeredAt is when the answer began. Latency ends there, as how fast the caller reads the answer says nothing about
	// the upstream.
	var answeredAt time.Time
	ended := func(result load.Result) {
		now := s.settings.Now()
		until := now
		if !answeredAt.IsZero() {
			until = answeredAt
		}
		s.settings.Tracker.Ended(now, counted, load.Outcome{Result: result, Latency: until.Sub(began), Class: call.Class})
	}
	s.settings.ProbeBudget.Sent()
	answer, report, failure := attempter.Attempt(ctx, call, upstream, ended)
	answeredAt = s.settings.Now()
	if report != nil {
		now := s.settings.Now()
		s.settings.Tracker.Reported(now, *report)
		s.settings.ProbeBudget.ReportReceived(now, upstream.Name)
	}
	return answer, failure
}
