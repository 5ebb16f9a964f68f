// Package send tries a call on one upstream after another until there is an answer.
package send

import (
	"context"
	"math/rand/v2"
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
	Attempt(ctx context.Context, call model.Call, upstream model.Upstream) (A, *model.GateReport, *model.Failure)
	// Again says whether the request can be sent once more, that is, its body is still at hand.
	Again() bool
}

// Sender picks upstreams and counts the calls in flight to each.
type Sender[P route.Policy] struct {
	snapshot func() *model.Snapshot
	now      func() time.Time
	picker   *route.Picker[P]
	book     *load.Book
}

// New returns a sender.
func New[P route.Policy](snapshot func() *model.Snapshot, now func() time.Time, picker *route.Picker[P], book *load.Book) *Sender[P] {
	return &Sender[P]{snapshot: snapshot, now: now, picker: picker, book: book}
}

// Send tries the call until an upstream answers, the deadline passes or no attempt is left.
func Send[P route.Policy, A any](ctx context.Context, s *Sender[P], call model.Call, carrier Carrier[A]) (A, *model.Failure) {
	var none A
	failure := &model.Failure{Verdict: model.NotRun, Reason: model.NoUpstream}
	tried := make(map[model.UpstreamName]bool, maxAttempts)
	for range maxAttempts {
		upstream, found := s.pick(call.Service, tried)
		if !found {
			return none, failure
		}
		tried[upstream.Name] = true
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
	s.book.Began(upstream.Name)
	defer s.book.Ended(upstream.Name)
	answer, report, failure := carrier.Attempt(ctx, call, upstream)
	if report != nil {
		s.book.Reported(s.now(), *report)
	}
	return answer, failure
}

func (s *Sender[P]) pick(service model.ServiceName, tried map[model.UpstreamName]bool) (model.Upstream, bool) {
	snapshot := s.snapshot()
	var open []model.Upstream
	for _, upstream := range snapshot.Services[service].Upstreams {
		if !tried[upstream.Name] && upstream.State == model.Live && !snapshot.Leaving.Contains(upstream.Name) {
			open = append(open, upstream)
		}
	}
	return s.picker.Pick(s.now(), rand.IntN, s.book.Candidates(open))
}
