// Package home runs keyed calls, each key at most once. The home of an idempotency key is the daemon that issued it:
// all sends of the key go there, so that this daemon alone decides whether one runs.
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

// BatchLimit is the largest number of keys that one request for keys may ask for.
const BatchLimit = 256

// Settings has the explicit dependencies of a home.
type Settings struct {
	// Self is the upstream beside this daemon.
	Self model.Upstream
	// Incarnation identifies one run of the daemon process in the keys that it issues. It differs from that of every
	// earlier process and of every other daemon; a random number will do.
	Incarnation model.Incarnation
	// Ledger bounds what is remembered for each customer.
	Ledger ledger.Settings
	// Snapshot returns the control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Meter counts the sends of keyed calls.
	Meter *meter.Meter
}

// Run sends a call to upstreams. Reading the body of its answer fails when the answer breaks off.
type Run func(ctx context.Context, call model.Call) (*http.Response, *model.Failure)

// Home makes a ledger safe for concurrent use and performs what it decides.
type Home struct {
	settings Settings
	runs     sync.WaitGroup

	mu     sync.Mutex
	ledger *ledger.Ledger[Answer]
	active map[model.Key]*execution
	// sweptRevision is the revision of the configuration at the last sweep.
	sweptRevision model.Revision
}

// execution is one run of a keyed call. All fields except done are written before done is closed.
type execution struct {
	done    chan struct{}
	outcome ledger.Outcome[Answer]
	// stream is an answer that is too large to keep; only the send that started the run may read it.
	stream *http.Response
}

// New returns a home that has issued no key.
func New(settings Settings) *Home {
	return &Home{
		settings: settings,
		ledger:   ledger.New(settings.Self.Name, settings.Incarnation, settings.Ledger, (*Answer).size),
		active:   map[model.Key]*execution{},
	}
}

// Issue returns count new keys for a customer, or a failure when this daemon issues none at the moment.
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

// Call starts a run of the call, waits for the run that an earlier send of its key started, answers from memory, or
// refuses, as the ledger decides. A run continues when ctx ends, so that the caller's next send finds its outcome.
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

// Wait blocks until no run is in progress or ctx ends.
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

// begin lets the ledger decide on a send. It returns the run to wait for, which it has started if the ledger decided on
// Run.
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

// execute performs the run. The contract's limit on long work bounds it, not the caller's deadline.
func (h *Home) execute(ctx context.Context, call model.Call, current *execution, perform Run) {
	call.RunUntil = h.settings.Now().Add(h.settings.Snapshot().Limits[call.Customer].Longest)
	ctx, cancel := context.WithDeadline(ctx, call.RunDeadline())
	// A retry after an attempt that may have run could run the call twice.
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
		h.settings.Meter.TruncatedAnswer(call)
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

// recordOutcome ends the run in the ledger. After a streamed answer the verdict for the key is MayHaveRun: the answer
// is not kept, and nobody knows whether its reader received all of it.
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

// sweep drops the keys of customers whose contract has ended, once per configuration revision. The caller
// holds the lock.
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

// result returns the outcome to one send; owner says that this send started the run.
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

// discard waits for the run to end and closes a streamed answer that its caller did not wait for.
func (r *execution) discard() {
	<-r.done
	if r.stream != nil {
		_ = r.stream.Body.Close()
	}
}

// refuseIssue returns why the customer gets no keys from this daemon now, or nil.
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

// endReason returns why ctx, which has ended, did so.
func endReason(ctx context.Context) model.Reason {
	if ctx.Err() == context.Canceled {
		return model.CallerGone
	}
	return model.DeadlinePassed
}
