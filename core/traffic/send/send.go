// Package send tries a call on one upstream after another until there is an answer.
package send

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"comfreytack/core/command/load"
	"comfreytack/core/model"
	"comfreytack/core/query/route"
)

// maxAttempts bounds the upstreams that one hop tries for one call.
const maxAttempts = 3

// Carrier takes one attempt to one upstream's gate. A is the type of its answers.
type Carrier[A any] interface {
	// Attempt returns an answer or a failure. The report is nil when the gate sent none.
	// It calls ended once: when it fails, or when the whole answer has been read or given up. The
	// result says what the call tells of the upstream.
	Attempt(ctx context.Context, call model.Call, upstream model.Upstream, ended func(load.Result)) (A, *model.GateReport, *model.Failure)
	// Again says whether the request can be sent once more, that is, its body is still at hand.
	Again() bool
}

// Sender picks upstreams and counts the calls in flight to each.
type Sender[P route.Policy] struct {
	snapshot func() *model.Snapshot
	now      func() time.Time
	picker   *route.Picker[P]
	book     *load.Book
	// scratch has slices of candidates, so that a decision allocates nothing.
	scratch sync.Pool
}

// New returns a sender.
func New[P route.Policy](snapshot func() *model.Snapshot, now func() time.Time, picker *route.Picker[P], book *load.Book) *Sender[P] {
	return &Sender[P]{
		snapshot: snapshot,
		now:      now,
		picker:   picker,
		book:     book,
		scratch:  sync.Pool{New: func() any { return new([]route.Candidate) }},
	}
}

// Send tries the call until an upstream answers, the deadline passes or no attempt is left.
func Send[P route.Policy, A any](ctx context.Context, s *Sender[P], call model.Call, carrier Carrier[A]) (A, *model.Failure) {
	var none A
	failure := &model.Failure{Verdict: model.NotRun, Reason: model.NoUpstream}
	tried := make([]model.UpstreamName, 0, maxAttempts)
	for range maxAttempts {
		upstream, found := s.pick(call.Service, tried)
		if !found {
			return none, failure
		}
		tried = append(tried, upstream.Name)
		answer, failed := attempt(ctx, s, call, upstream, carrier)
		if failed == nil {
			return answer, nil
		}
		failure = failed
		if failed.Verdict != model.NotRun || failed.Spent || !carrier.Again() || ctx.Err() != nil {
			return none, failure
		}
	}
	failure.Spent = true
	return none, failure
}

func attempt[P route.Policy, A any](ctx context.Context, s *Sender[P], call model.Call, upstream model.Upstream, carrier Carrier[A]) (A, *model.Failure) {
	began := s.now()
	counted := s.book.Began(upstream.Name)
	ended := func(result load.Result) {
		now := s.now()
		s.book.Ended(now, counted, load.Outcome{Result: result, Latency: now.Sub(began)})
	}
	answer, report, failure := carrier.Attempt(ctx, call, upstream, ended)
	if report != nil {
		s.book.Reported(s.now(), *report)
	}
	return answer, failure
}

func (s *Sender[P]) pick(service model.ServiceName, tried []model.UpstreamName) (model.Upstream, bool) {
	snapshot := s.snapshot()
	now := s.now()
	scratch := s.scratch.Get().(*[]route.Candidate)
	defer s.scratch.Put(scratch)
	candidates := s.book.Candidates(now, service, snapshot.Services[service].Upstreams, *scratch)
	*scratch = candidates
	candidates = slices.DeleteFunc(candidates, func(c route.Candidate) bool {
		return snapshot.Leaving.Contains(c.Upstream.Name)
	})
	return s.picker.Pick(now, rand.IntN, route.Without(candidates, tried))
}
