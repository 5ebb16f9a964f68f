// Package hold queues traffic goroutines until their gate has a slot for them.
package hold

//go:generate go tool stringer -type=Result -linecomment -output=enums_string.go

import (
	"context"
	"sync"
	"time"

	"comfreytack/core/command/adapt"
	"comfreytack/core/command/admit"
	"comfreytack/core/command/warm"
	"comfreytack/core/model"
	"comfreytack/core/query/final"
	"comfreytack/core/traffic/learn"
)

// Settings has the explicit dependencies of a gate.
type Settings struct {
	// Snapshot returns the current control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Suspended returns how long the machine has been suspended since the daemon's start, which Now does not count.
	Suspended func() time.Duration
	// UsableShare is the share of the published slots that the gate uses: many upstreams have a lower throughput when
	// nearly all their slots are in use. Above 0 and at most 1.
	UsableShare float64
	// Warmth limits the requests to the upstream while it is cold.
	Warmth *warm.Limiter
	// Classifier learns which routes without a configured class are long.
	Classifier *learn.Classifier
}

// Gate makes an admit.Gate, and the limiter that sets its slots, safe for concurrent use.
type Gate[D admit.Discipline, P adapt.Policy] struct {
	settings Settings

	mu              sync.Mutex
	gate            *admit.Gate[D]
	limiter         *adapt.Limiter[P]
	appliedRevision model.Revision
	nextID          uint64
	waiting         map[uint64]chan admit.Decision
	running         map[uint64]*running
}

// running is a call that holds a slot.
type running struct {
	call      model.Call
	startedAt time.Time
	// overran is true when the call turned out to be long while it ran.
	overran bool
}

// Slot is a gate's slot that one running request holds.
type Slot struct {
	// Waited is how long the request waited for the slot.
	Waited time.Duration
	// ExpectedDuration is how long the request is expected to hold the slot; zero when unknown.
	ExpectedDuration time.Duration
	// Release frees the slot; calls after the first have no effect.
	Release func(Result)
}

// Result states whether the time of a run is a measure of the upstream's speed.
type Result int

// The results of runs.
const (
	// Useful means that the upstream worked normally, so that the time counts.
	Useful Result = iota // useful
	// Useless means that the run failed or was aborted, so that its time says nothing about the upstream.
	Useless // useless
	// Shed means that the upstream refused the request before any work.
	Shed // shed
)

// New returns a gate without waiting requests.
func New[D admit.Discipline, P adapt.Policy](settings Settings, gate *admit.Gate[D], limiter *adapt.Limiter[P]) *Gate[D, P] {
	return &Gate[D, P]{settings: settings, gate: gate, limiter: limiter, waiting: map[uint64]chan admit.Decision{}, running: map[uint64]*running{}}
}

// Enter waits for a slot. The failure's verdict is always NotRun: the request has not started.
func (g *Gate[D, P]) Enter(ctx context.Context, call model.Call) (Slot, *model.Failure) {
	arrived := g.settings.Now()
	if failure := rejectEarly(g.settings.Snapshot(), call); failure != nil {
		return Slot{}, failure
	}
	if failure := g.rejectCold(arrived); failure != nil {
		return Slot{}, failure
	}
	if call.Route == "" {
		call.Class = max(call.Class, g.settings.Classifier.Classify(call))
	}
	id, decision, wake := g.arrive(arrived, call)
	if decision.Action == admit.Wait {
		decision = g.wait(ctx, id, wake)
	}
	if decision.Action == admit.Refuse {
		return Slot{}, refusal(decision)
	}
	if failure := g.Check(ctx, call); failure != nil {
		g.finish(id, Useless)
		return Slot{}, failure
	}
	started := g.started(id, call)
	var once sync.Once
	release := func(result Result) {
		once.Do(func() { g.finish(id, result) })
	}
	return Slot{Waited: started.Sub(arrived), ExpectedDuration: g.expectedDuration(call), Release: release}, nil
}

// expectedDuration returns how long a call is expected to hold its slot; zero when unknown.
func (g *Gate[D, P]) expectedDuration(call model.Call) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.ExpectedServiceTime(admit.Ticket{Route: call.Route, Class: call.Class})
}

// Report describes the gate's load to other daemons.
func (g *Gate[D, P]) Report() model.GateReport {
	snapshot := g.settings.Snapshot()
	g.mu.Lock()
	defer g.mu.Unlock()
	report := g.gate.Report()
	report.Upstream = snapshot.Self.Name
	report.Incarnation = snapshot.Self.Incarnation
	report.Leaving = final.Leaving(snapshot)
	report.Revision = snapshot.Revision
	state := g.settings.Warmth.State(g.settings.Now())
	report.ColdMs = ceilMs(state.Left)
	report.ColdRoom = state.Room
	report.ColdWaitMs = ceilMs(state.Wait)
	return report
}

// ceilMs returns a duration in ms, rounded up, so that nothing that lasts is reported as over.
func ceilMs(d time.Duration) int {
	return int((d + time.Millisecond - 1) / time.Millisecond)
}

func (g *Gate[D, P]) arrive(now time.Time, call model.Call) (uint64, admit.Decision, chan admit.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	snapshot := g.settings.Snapshot()
	g.applyLimits(now, snapshot)
	g.nextID++
	ticket := admit.Ticket{
		ID:        g.nextID,
		Customer:  call.Customer,
		Tier:      snapshot.Contracts[call.Customer].Tier,
		Class:     call.Class,
		ArrivedAt: now,
		Deadline:  call.Deadline,
		Route:     call.Route,
		Rank:      call.Rank,
		Target:    call.Target,
		Forced:    call.Forced,
		Nested:    call.Nested,
	}
	decision := g.gate.Arrive(now, ticket)
	g.recordOverruns()
	if decision.Action != admit.Wait {
		return ticket.ID, decision, nil
	}
	// Each waiting ticket gets exactly one decision, so with a buffer of one the sender never blocks.
	wake := make(chan admit.Decision, 1)
	g.waiting[ticket.ID] = wake
	return ticket.ID, decision, wake
}

func (g *Gate[D, P]) wait(ctx context.Context, id uint64, wake chan admit.Decision) admit.Decision {
	select {
	case decision := <-wake:
		return decision
	case <-ctx.Done():
	}
	g.mu.Lock()
	removed := g.gate.Cancel(id)
	delete(g.waiting, id)
	g.mu.Unlock()
	if removed {
		return admit.Decision{Ticket: id, Action: admit.Refuse, Reason: contextReason(ctx, model.TooLate)}
	}
	return <-wake
}

func (g *Gate[D, P]) started(id uint64, call model.Call) time.Time {
	now := g.settings.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[id] = &running{call: call, startedAt: now}
	return now
}

func (g *Gate[D, P]) finish(id uint64, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.settings.Now()
	inFlight := g.gate.Report().InFlight
	if result != Useful {
		g.gate.Abandon(id)
	}
	g.wake(g.gate.Finish(now, id))
	g.recordOverruns()
	if r, known := g.running[id]; known {
		delete(g.running, id)
		g.learn(now, r, inFlight, result)
	}
}

// learn updates the class of a finished run's route, and the limiter. The caller holds the lock.
func (g *Gate[D, P]) learn(now time.Time, r *running, inFlight int, result Result) {
	held := now.Sub(r.startedAt)
	if result == Useful && !r.overran && r.call.Route == "" {
		g.settings.Classifier.RecordRun(r.call, held, g.gate.ShortServiceTime())
	}
	if r.call.Class == model.Short && result != Useless {
		sample := adapt.Sample{RunTime: held, InFlight: inFlight, Shed: result == Shed}
		g.resize(now, g.limiter.Observe(now, sample))
	}
}

// recordOverruns records which running calls have turned out to be long, without waiting for them to finish. The
// caller holds the lock.
func (g *Gate[D, P]) recordOverruns() {
	for _, id := range g.gate.TakeOverruns() {
		if r, known := g.running[id]; known {
			r.overran = true
			if r.call.Route != "" {
				continue
			}
			g.settings.Classifier.RecordOverrun(r.call)
		}
	}
}

// resize sets the gate's slots to the number that the limiter allows. The caller holds the lock.
func (g *Gate[D, P]) resize(now time.Time, slots int) {
	if slots != g.gate.Slots {
		g.wake(g.gate.Resize(now, slots))
	}
}

// wake passes decisions to the goroutines that wait for them. The caller holds the lock.
func (g *Gate[D, P]) wake(decisions []admit.Decision) {
	for _, decision := range decisions {
		g.waiting[decision.Ticket] <- decision
		delete(g.waiting, decision.Ticket)
	}
}

// applyLimits applies the slots and limits of a new configuration revision. The caller holds the lock.
func (g *Gate[D, P]) applyLimits(now time.Time, snapshot *model.Snapshot) {
	if snapshot.Revision == g.appliedRevision {
		return
	}
	g.appliedRevision = snapshot.Revision
	slots := usableSlots(g.settings.UsableShare, snapshot.Slots)
	g.wake(g.gate.SetLimits(now, slots, snapshot.Limits))
	g.limiter.SetMaxLimit(slots)
	g.resize(now, g.limiter.Slots())
	g.wake(g.gate.SetNested(now, nestedSlots(slots, snapshot.Slots)))
}

// nestedSlots returns how many of an upstream's slots the gate uses if the last one is for a nested call. Of the slots
// that it keeps free, one is enough: a nested call is short against the work that waits for it, and the more slots are
// in use the slower the upstream gets.
func nestedSlots(usable, published int) int { return min(usable+1, max(usable, published)) }

// nearlyFullFactor is how many times longer work takes on an upstream with nearly all slots in use.
const nearlyFullFactor = 1.7

// usableSlots returns how many of an upstream's slots the gate uses. If an upstream has few slots, leaving one free
// would cost more throughput than the slower work with all of them in use.
//
//	four fifths of 9 slots -> 7, of 2 slots -> 2
func usableSlots(share float64, slots int) int {
	reduced := int(share * float64(slots))
	if float64(reduced)*nearlyFullFactor < float64(slots) {
		reduced = slots
	}
	return max(1, reduced)
}

func refusal(decision admit.Decision) *model.Failure {
	return &model.Failure{Verdict: model.NotRun, Reason: decision.Reason, RetryAfter: decision.RetryAfter}
}
