// Package home runs keyed calls at the daemon that issued their keys, at most once for each key.
package home

import (
	"context"
	"net/http"
	"sync"
	"time"

	"comfreytack/cftd/meter"
	"comfreytack/core/command/ledger"
	"comfreytack/core/model"
)

// BatchLimit bounds the keys of one request for keys.
const BatchLimit = 256

// Settings has the explicit dependencies of a home.
type Settings struct {
	// Self is the upstream beside this daemon.
	Self model.Upstream
	// Life differs in each life of the daemon, and no other daemon has it; a random number will do.
	Life model.Incarnation
	// Ledger bounds what is remembered for each customer.
	Ledger ledger.Settings
	// Snapshot returns the control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Meter counts the sends of keys.
	Meter *meter.Meter
}

// Run sends a call to upstreams. Its answer's body ends in an error when the answer breaks off.
type Run func(ctx context.Context, call model.Call) (*http.Response, *model.Failure)

// Home guards a ledger for many goroutines.
type Home struct {
	settings Settings
	runs     sync.WaitGroup

	mu     sync.Mutex
	ledger *ledger.Ledger[Answer]
	active map[model.Key]*execution
	// sweptRevision is the configuration at which customers without a contract were last forgotten.
	sweptRevision model.Revision
}

// execution is one execution. Its fields but done are written before done is closed.
type execution struct {
	done    chan struct{}
	outcome ledger.Outcome[Answer]
	// stream is the answer that is too large to hold; only the send that began the run may read it.
	stream *http.Response
}

// New returns a home that has issued no key.
func New(settings Settings) *Home {
	return &Home{
		settings: settings,
		ledger:   ledger.New(settings.Self.Name, settings.Life, settings.Ledger, (*Answer).size),
		active:   map[model.Key]*execution{},
	}
}

// Issue returns count new keys for a customer.
func (h *Home) Issue(customer model.Customer, count int) ([]model.Key, *model.Failure) {
	snapshot := h.settings.Snapshot()
	if failure := refuseIssue(snapshot, customer); failure != nil {
		return nil, failure
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep(snapshot)
	return h.ledger.Issue(customer, count), nil
}

// Call runs the call, joins its run, or answers from memory. The run goes on when ctx ends, so that the
// caller's next send finds its outcome.
func (h *Home) Call(ctx context.Context, call model.Call, perform Run) (*http.Response, *model.Failure) {
	decision, current := h.begin(ctx, call, perform)
	h.settings.Meter.Send(call, decision.Action.String())
	switch decision.Action {
	case ledger.Replay:
		return decision.Outcome.Answer.response(), nil
	case ledger.Refuse:
		return nil, failureOf(decision.Outcome)
	}
	owner := decision.Action == ledger.Run
	select {
	case <-current.done:
		return current.result(owner)
	case <-ctx.Done():
		if owner {
			go current.discard()
		}
		return nil, &model.Failure{Verdict: model.MayHaveRun, Reason: endReason(ctx), Cause: ctx.Err()}
	}
}

// Wait returns when no run is under way, or when ctx ends.
func (h *Home) Wait(ctx context.Context) {
	allDone := make(chan struct{})
	go func() {
		h.runs.Wait()
		close(allDone)
	}()
	select {
	case <-allDone:
	case <-ctx.Done():
	}
}

func (h *Home) begin(ctx context.Context, call model.Call, perform Run) (ledger.Decision[Answer], *execution) {
	key := call.Key.OrEmpty()
	h.mu.Lock()
	defer h.mu.Unlock()
	decision := h.ledger.Begin(h.settings.Now(), call)
	if decision.Action != ledger.Run {
		return decision, h.active[key]
	}
	current := &execution{done: make(chan struct{})}
	h.active[key] = current
	h.runs.Add(1)
	go h.execute(context.WithoutCancel(ctx), call, current, perform)
	return decision, current
}

// execute performs the run. It is bounded by the longest work of the contract, not by the caller's patience.
func (h *Home) execute(ctx context.Context, call model.Call, current *execution, perform Run) {
	call.RunUntil = h.settings.Now().Add(h.settings.Snapshot().Limits[call.Customer].Longest)
	ctx, cancel := context.WithDeadline(ctx, call.End())
	// A second attempt after a doubtful one would be a second run.
	call.Idempotent = false
	response, failure := perform(ctx, call)
	if failure != nil {
		cancel()
		h.finish(call, current, ledger.Outcome[Answer]{Verdict: failure.Verdict, Reason: failure.Reason})
		return
	}
	answer, oversized, err := readAnswer(response, h.settings.Ledger.AnswerBytes)
	switch {
	case err != nil:
		cancel()
		h.settings.Meter.Broke(call)
		h.finish(call, current, ledger.Outcome[Answer]{Verdict: model.MayHaveRun, Reason: model.Truncated})
	case oversized != nil:
		current.stream = oversized
		oversized.Body = &closeHook{ReadCloser: oversized.Body, onClose: sync.OnceFunc(func() {
			cancel()
			h.recordOutcome(call, current)
		})}
		close(current.done)
	default:
		cancel()
		h.finish(call, current, ledger.Outcome[Answer]{Verdict: model.Ran, Answer: answer})
	}
}

// finish records the outcome and wakes the sends that wait for it.
func (h *Home) finish(call model.Call, current *execution, outcome ledger.Outcome[Answer]) {
	current.outcome = outcome
	h.recordOutcome(call, current)
	close(current.done)
}

// recordOutcome ends the run in the ledger. A streamed answer leaves the key in doubt: it is not held, and nobody
// can vouch that its reader got it whole.
func (h *Home) recordOutcome(call model.Call, current *execution) {
	outcome := current.outcome
	if current.stream != nil {
		outcome = ledger.Outcome[Answer]{Verdict: model.MayHaveRun, Reason: model.KeyExpired}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.runs.Done()
	h.ledger.Finish(h.settings.Now(), call, outcome)
	delete(h.active, call.Key.OrEmpty())
}

// sweep forgets customers whose contract has ended. The caller holds the lock.
func (h *Home) sweep(snapshot *model.Snapshot) {
	if snapshot.Revision == h.sweptRevision {
		return
	}
	h.sweptRevision = snapshot.Revision
	h.ledger.Retain(func(customer model.Customer) bool {
		_, known := snapshot.Contracts[customer]
		return known
	})
}

func (r *execution) result(owner bool) (*http.Response, *model.Failure) {
	switch {
	case r.stream != nil && owner:
		return r.stream, nil
	case r.stream != nil:
		return nil, &model.Failure{Verdict: model.MayHaveRun, Reason: model.KeyExpired}
	case r.outcome.Verdict == model.Ran:
		return r.outcome.Answer.response(), nil
	}
	return nil, failureOf(r.outcome)
}

// discard reads an answer that its caller did not wait for.
func (r *execution) discard() {
	<-r.done
	if r.stream != nil {
		_ = r.stream.Body.Close()
	}
}

func refuseIssue(snapshot *model.Snapshot, customer model.Customer) *model.Failure {
	_, known := snapshot.Contracts[customer]
	reason := model.NoReason
	switch {
	case !snapshot.Ready:
		reason = model.NotReady
	case snapshot.Stopping:
		reason = model.Stopping
	case snapshot.Leaving.Contains(snapshot.Self.Name):
		reason = model.UpstreamLeaving
	case !known:
		reason = model.NoContract
	default:
		return nil
	}
	return &model.Failure{Verdict: model.NotRun, Reason: reason}
}

func failureOf(outcome ledger.Outcome[Answer]) *model.Failure {
	return &model.Failure{Verdict: outcome.Verdict, Reason: outcome.Reason}
}

func endReason(ctx context.Context) model.Reason {
	if ctx.Err() == context.Canceled {
		return model.CallerGone
	}
	return model.DeadlinePassed
}
