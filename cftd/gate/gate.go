// Package gate admits calls to the upstream beside this daemon and forwards them to it.
package gate

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"comfreytack/cftd/health"
	"comfreytack/cftd/meter"
	"comfreytack/cftd/relay"
	"comfreytack/cftd/talk"
	"comfreytack/core/command/uplink"
	"comfreytack/core/command/warm"
	"comfreytack/core/model"
	"comfreytack/core/query/pace"
	"comfreytack/core/query/retry"
	"comfreytack/core/traffic/flight"
	"comfreytack/core/traffic/hold"
	"comfreytack/core/traffic/idle"
	"comfreytack/core/traffic/stale"
	"comfreytack/core/wire"
)

// Settings has the explicit dependencies of a gate.
type Settings[D talk.Dialect] struct {
	// Dialect translates requests to the upstream and its answers.
	Dialect D
	// Upstream is the address of the upstream beside this daemon.
	Upstream model.Address
	// Transport pools the connections to the upstream.
	Transport *http.Transport
	// Snapshot returns the control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Log receives one line for each admission decision.
	Log *slog.Logger
	// Meter records decisions and waiting times.
	Meter *meter.Meter
	// Pace reports how long work takes on the upstream's machine now.
	Pace *health.Pace
	// Warmth limits the requests to the upstream while it is cold.
	Warmth *warm.Limiter
	// Flight tracks the requests that run on the upstream.
	Flight *flight.Tracker
	// Work counts the calls that wait or run here.
	Work *idle.Counter
	// Uplink shares the machine's link among the answers to other daemons.
	Uplink *uplink.Link
}

// Holder admits calls: it queues each until a slot of the upstream is free, or refuses it.
type Holder interface {
	Enter(ctx context.Context, call model.Call) (hold.Slot, *model.Failure)
	// Check returns why a call that holds a slot may not be sent now.
	Check(ctx context.Context, call model.Call) *model.Failure
	// Confirm decides for the last time; it is called once for each send, immediately before the first byte.
	Confirm(ctx context.Context, call model.Call) *model.Failure
	Report() model.GateReport
}

// Gate admits calls and runs them on one upstream.
type Gate[H Holder, D talk.Dialect] struct {
	settings Settings[D]
	hold     H
	// stale remembers that the upstream is not the listed instance.
	stale stale.Memory
}

// New returns a gate.
func New[H Holder, D talk.Dialect](settings Settings[D], hold H) *Gate[H, D] {
	return &Gate[H, D]{settings: settings, hold: hold}
}

// Run waits for a slot and sends the request to the upstream. The slot is held until the answer's body is closed.
func (g *Gate[H, D]) Run(ctx context.Context, call model.Call, request relay.Request) (*http.Response, *model.Failure) {
	g.settings.Work.Enter()
	run, slot, failure := g.enter(ctx, call)
	g.settings.Meter.Decision(call, reasonOf(failure))
	g.logDecision(call, slot, failure)
	if failure != nil {
		g.settings.Work.Leave()
		return nil, failure
	}
	if call.Fingerprint == 0 && call.Prefix != 0 {
		request.Tail = relay.NewTail(call.Prefix, request.Body.Length)
		run.Watch(request.Tail.Fingerprint)
	}
	run.Start()
	g.settings.Meter.Wait(call, slot.Waited)
	answer, failure := g.roundTrip(ctx, call, request)
	if failure != nil {
		slot.Release(resultOf(failure))
		run.End(failure)
		g.settings.Work.Leave()
		return nil, failure
	}
	watched := relay.TrackBody(answer.Body)
	answer.Body = relay.OnClose(watched, func() {
		broken := answerFailure(ctx, watched)
		result := hold.Useless
		if broken == nil && ctx.Err() == nil && answer.StatusCode < http.StatusInternalServerError {
			result = hold.Useful
		}
		slot.Release(result)
		run.End(broken)
		g.settings.Work.Leave()
	})
	return answer, nil
}

// resultOf returns what a failed run says of the upstream's speed.
func resultOf(failure *model.Failure) hold.Result {
	if failure.Reason == model.UpstreamShed {
		return hold.Shed
	}
	return hold.Useless
}

// enter waits until the request may be sent to the upstream. It gives up retry.RefusalLead before the deadline.
func (g *Gate[H, D]) enter(ctx context.Context, call model.Call) (*flight.Run, hold.Slot, *model.Failure) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(-retry.RefusalLead))
	defer cancel()
	if g.stale.Refuses(g.settings.Now(), g.self(), call.Instance) {
		return nil, hold.Slot{}, talk.Refuse(model.InstanceStale)
	}
	run, failure := g.settings.Flight.Begin(ctx, call)
	if failure != nil {
		return nil, hold.Slot{}, failure
	}
	if pace.OnArrival(g.settings.Now(), g.settings.Pace.Read(ctx), call) == pace.Elsewhere {
		failure := talk.Refuse(model.UpstreamSlow)
		run.End(failure)
		return nil, hold.Slot{}, failure
	}
	slot, failure := g.hold.Enter(ctx, call)
	if failure == nil {
		failure = g.waitOutSlowdown(ctx, call, slot)
	}
	if failure == nil {
		g.readWarmth(ctx)
	}
	if failure != nil {
		run.End(failure)
		return nil, hold.Slot{}, failure
	}
	return run, slot, nil
}

// waitOutSlowdown delays a call that holds a slot while the upstream's machine is slowed and waiting costs less than
// starting now. It decides anew every health.PaceMaxAge, and gives the call up when it may no longer be sent, so that
// its entry learns of that at once.
func (g *Gate[H, D]) waitOutSlowdown(ctx context.Context, call model.Call, slot hold.Slot) *model.Failure {
	began := g.settings.Now()
	for {
		if failure := g.hold.Check(ctx, call); failure != nil {
			slot.Release(hold.Useless)
			return failure
		}
		now := g.settings.Now()
		switch pace.OnStart(now, g.settings.Pace.Read(ctx), call, slot.ExpectedDuration, now.Sub(began)) {
		case pace.Start:
			return nil
		case pace.Elsewhere:
			slot.Release(hold.Useless)
			return talk.Refuse(model.UpstreamSlow)
		case pace.Hold:
		}
		select {
		case <-time.After(health.PaceMaxAge):
		case <-ctx.Done():
		}
	}
}

// maxWarmthReads is enough for a reading that is asked for after the call has got its slot: the first may join one that
// was asked for before.
const maxWarmthReads = 2

// readWarmth asks the upstream whether it is cold, if the decision on the next send needs to know.
func (g *Gate[H, D]) readWarmth(ctx context.Context) {
	for range maxWarmthReads {
		if !g.settings.Warmth.Unsure(g.settings.Now()) {
			return
		}
		g.settings.Pace.Refresh(ctx)
	}
}

// roundTrip sends the request to the upstream, checks its answer and records the pace that the answer reports.
func (g *Gate[H, D]) roundTrip(ctx context.Context, call model.Call, request relay.Request) (*http.Response, *model.Failure) {
	request.Address = g.settings.Upstream
	wire.RemoveOwnHeaders(request.Header)
	g.settings.Dialect.SetUpstream(request.Header, call, g.settings.Now())
	request.NamesRequest = func(answer *http.Response) bool { return g.settings.Dialect.NamesRequest(call, answer) }
	request.AllowCloseDelimited = g.settings.Dialect.AllowCloseDelimited()
	var refusal atomic.Pointer[model.Failure]
	request.Confirm = func() *model.Failure {
		failure := g.confirm(ctx, call)
		refusal.Store(failure)
		return failure
	}
	request.CheckAnswer = func(answer *http.Response) *model.Failure {
		return g.settings.Dialect.CheckAnswer(call, g.settings.Snapshot().Services[call.Service], answer)
	}
	answer, failure := relay.RoundTrip(ctx, g.settings.Transport, request, model.UpstreamDied)
	switch {
	case failure == nil:
	case failure == refusal.Load():
		g.settings.Meter.Decision(call, failure.Reason)
		g.logDecision(call, hold.Slot{}, failure)
		return nil, failure
	default:
		g.stale.Learn(g.settings.Now(), g.self(), call.Instance, failure.Reason)
		return nil, failure
	}
	if percent := g.settings.Dialect.PacePercent(answer.Header); percent > 0 {
		g.settings.Pace.Observe(percent)
	}
	wire.RemoveOwnHeaders(answer.Header)
	return answer, nil
}

// confirm is the last decision before a send.
func (g *Gate[H, D]) confirm(ctx context.Context, call model.Call) *model.Failure {
	if g.stale.Refuses(g.settings.Now(), g.self(), call.Instance) {
		return talk.Refuse(model.InstanceStale)
	}
	return g.hold.Confirm(ctx, call)
}

func (g *Gate[H, D]) self() model.UpstreamName { return g.settings.Snapshot().Self.Name }

// answerFailure returns why the upstream's answer is not known to its end, or nil if it is whole: the upstream broke it off,
// or nobody reads on.
func answerFailure(ctx context.Context, body *relay.TrackedBody) *model.Failure {
	failure := &model.Failure{Verdict: model.MayHaveRun, Reason: model.CallerGone, Cause: body.ReadErr()}
	switch {
	case body.Whole():
		return nil
	case ctx.Err() == context.DeadlineExceeded:
		failure.Reason = model.DeadlinePassed
	case ctx.Err() == nil && failure.Cause != nil:
		failure.Reason = model.UpstreamDied
	}
	return failure
}

// Running reports whether the upstream is working on the request with the given ID, and that request's rank.
func (g *Gate[H, D]) Running(id string) (rank int, running bool) {
	return g.settings.Flight.Running(id)
}

// Report describes the gate's load to entries.
func (g *Gate[H, D]) Report() model.GateReport {
	report := g.hold.Report()
	report.PacePercent = g.settings.Pace.Last().Current(g.settings.Now())
	return report
}
