package admit_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/command/admit"
	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

// walk drives a gate by random steps and tracks the state of each ticket.
type walk[D admit.Discipline] struct {
	testing.TB
	gate *admit.Gate[D]
	// nominalSlots is the number of slots that the limits were computed for.
	nominalSlots int
	now          time.Time
	last         uint64
	waiting      map[uint64]admit.Ticket
	running      map[uint64]admit.Ticket
}

var walkContracts = map[model.Customer]model.Contract{
	"a": {Customer: "a", Weight: 1},
	"b": {Customer: "b", Weight: 5},
	"c": {Customer: "c", Weight: 1, Tier: model.Background},
	"d": {Customer: "d", Weight: 2},
	"e": {Customer: "e", Weight: 1},
}

func newWalk[D admit.Discipline](t testing.TB, nominalSlots int, discipline D) *walk[D] {
	w := &walk[D]{
		TB:           t,
		gate:         admit.New(nominalSlots, discipline),
		nominalSlots: nominalSlots,
		now:          epoch,
		waiting:      map[uint64]admit.Ticket{},
		running:      map[uint64]admit.Ticket{},
	}
	w.applyDecisions(w.gate.SetLimits(epoch, nominalSlots, limits.Of(walkContracts, nominalSlots)))
	return w
}

func (w *walk[D]) arrive(r *rapid.T) {
	w.last++
	ticket := admit.Ticket{
		ID:       w.last,
		Customer: rapid.SampledFrom([]model.Customer{"a", "b", "c", "d", "e"}).Draw(r, "customer"),
		Class:    model.Class(rapid.IntRange(0, 1).Draw(r, "class")),
		Deadline: w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(r, "deadline")) * ms),
	}
	ticket.Tier = walkContracts[ticket.Customer].Tier
	w.waiting[ticket.ID] = ticket
	w.applyDecisions([]admit.Decision{w.gate.Arrive(w.now, ticket)})
}

// step makes one random step.
func (w *walk[D]) step(r *rapid.T) {
	switch rapid.IntRange(0, 12).Draw(r, "step") {
	case 0, 1, 2, 3, 4, 5:
		w.arrive(r)
	case 6, 7, 8:
		w.finish(w.pick(r, w.running))
	case 9:
		id := w.pick(r, w.waiting)
		_, waits := w.waiting[id]
		qt.Assert(w, w.gate.Cancel(id), qt.Equals, waits)
		delete(w.waiting, id)
	case 10:
		w.applyDecisions(w.gate.Resize(w.now, rapid.IntRange(1, w.nominalSlots).Draw(r, "slots")))
	case 11:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(r, "elapse")) * ms)
	case 12:
		id := w.pick(r, w.running)
		_, runs := w.running[id]
		qt.Assert(w, w.gate.Abandon(id), qt.Equals, runs)
	}
	w.applyDecisions(w.gate.Expire(w.now))
}

// pick returns the ID of one of the tickets, or at times of the latest ticket, which may not be among them.
func (w *walk[D]) pick(r *rapid.T, tickets map[uint64]admit.Ticket) uint64 {
	ids := slices.Sorted(maps.Keys(tickets))
	ids = append(ids, w.last)
	return rapid.SampledFrom(ids).Draw(r, "ticket")
}

func (w *walk[D]) finish(id uint64) {
	delete(w.running, id)
	w.applyDecisions(w.gate.Finish(w.now, id))
}

// applyDecisions updates the tickets' states and checks that each decision is about a ticket that waited.
func (w *walk[D]) applyDecisions(decisions []admit.Decision) {
	for _, d := range decisions {
		ticket, waits := w.waiting[d.Ticket]
		qt.Assert(w, waits, qt.IsTrue)
		switch d.Action {
		case admit.Start:
			w.started(ticket)
		case admit.Refuse:
			delete(w.waiting, d.Ticket)
			qt.Assert(w, d.Reason, qt.Not(qt.Equals), model.NoReason)
		}
	}
}

func (w *walk[D]) started(ticket admit.Ticket) {
	delete(w.waiting, ticket.ID)
	qt.Assert(w, len(w.running) < w.gate.Slots, qt.IsTrue)
	qt.Assert(w, ticket.Deadline.After(w.now), qt.IsTrue)
	long := 0
	for _, other := range w.running {
		long += int(other.Class)
	}
	qt.Assert(w, ticket.Class == model.Short || long < max(1, w.nominalSlots/3), qt.IsTrue)
	w.running[ticket.ID] = ticket
}

// checkInvariants checks what must hold after each step.
func (w *walk[D]) checkInvariants() {
	report := w.gate.Report()
	qt.Assert(w, report.InFlight, qt.Equals, len(w.running))
	qt.Assert(w, report.Queued, qt.Equals, len(w.waiting))
	next, found := w.gate.NextDeadline()
	qt.Assert(w, found, qt.Equals, len(w.waiting) > 0)
	for _, ticket := range w.waiting {
		qt.Assert(w, next.After(ticket.Deadline), qt.IsFalse)
		free := len(w.running) < w.gate.Slots
		qt.Assert(w, free && ticket.Class == model.Short, qt.IsFalse, qt.Commentf("a slot is free and short work waits"))
	}
}

func walkGate[D admit.Discipline](t testing.TB, r *rapid.T, discipline D) {
	w := newWalk(t, rapid.IntRange(1, slots).Draw(r, "full"), discipline)
	for range rapid.IntRange(1, 200).Draw(r, "steps") {
		w.step(r)
		w.checkInvariants()
	}
	w.applyDecisions(w.gate.Resize(w.now, w.nominalSlots))
	for len(w.running) > 0 {
		for id := range w.running {
			w.finish(id)
		}
	}
	qt.Assert(w, w.waiting, qt.HasLen, 0)
}

func TestRandomWalk(t *testing.T) {
	tests := []struct {
		name string
		walk func(t testing.TB, r *rapid.T)
	}{
		{name: "fifo", walk: func(t testing.TB, r *rapid.T) { walkGate(t, r, admit.NewFIFO()) }},
		{name: "fair", walk: func(t testing.TB, r *rapid.T) {
			fair := admit.NewFair()
			walkGate(t, r, fair)
			qt.Assert(t, fair.Flows(), qt.Equals, 0)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { check(t, test.walk) })
	}
}

// anyGate has the methods of a gate of any discipline.
type anyGate interface {
	Arrive(now time.Time, ticket admit.Ticket) admit.Decision
	Finish(now time.Time, id uint64) []admit.Decision
}

// arriveMany sends tickets of customer a with consecutive IDs to a gate and returns the last decision.
func arriveMany(gate anyGate, at time.Time, from, until uint64, class model.Class) admit.Decision {
	var last admit.Decision
	for id := from; id <= until; id++ {
		last = gate.Arrive(at, admit.Ticket{ID: id, Customer: "a", Class: class, Deadline: epoch.Add(time.Second)})
	}
	return last
}

func TestArrival(t *testing.T) {
	tests := []struct {
		name  string
		slots int
		act   func(gate anyGate) admit.Decision
		want  admit.Decision
		// fifo is the decision of a FIFO gate.
		fifo admit.Decision
	}{
		{
			name:  "no contract",
			slots: 1,
			act: func(gate anyGate) admit.Decision {
				return gate.Arrive(epoch, admit.Ticket{ID: 1, Customer: "stranger", Deadline: epoch.Add(time.Second)})
			},
			want: admit.Decision{Ticket: 1, Action: admit.Refuse, Reason: model.NoContract},
			fifo: admit.Decision{Ticket: 1, Action: admit.Refuse, Reason: model.NoContract},
		},
		{
			name:  "deadline already past",
			slots: 1,
			act:   func(gate anyGate) admit.Decision { return arriveMany(gate, epoch.Add(time.Second), 1, 1, model.Short) },
			want:  admit.Decision{Ticket: 1, Action: admit.Refuse, Reason: model.TooLate},
			fifo:  admit.Decision{Ticket: 1, Action: admit.Refuse, Reason: model.TooLate},
		},
		{
			name:  "one slot and sixteen places in the queue",
			slots: 1,
			act:   func(gate anyGate) admit.Decision { return arriveMany(gate, epoch, 1, 18, model.Short) },
			want:  admit.Decision{Ticket: 18, Action: admit.Refuse, Reason: model.QueueFull},
			fifo:  admit.Decision{Ticket: 18, Action: admit.Refuse, Reason: model.QueueFull},
		},
		{
			name:  "expected wait passes the deadline",
			slots: 1,
			act: func(gate anyGate) admit.Decision {
				arriveMany(gate, epoch, 1, 1, model.Short)
				gate.Finish(epoch.Add(600*ms), 1)
				return arriveMany(gate, epoch.Add(600*ms), 2, 3, model.Short)
			},
			// The expected wait is 600 ms. The service time is 600 ms plus twice its deviation of 300 ms.
			want: admit.Decision{Ticket: 3, Action: admit.Refuse, Reason: model.TooLate, RetryAfter: 1400 * ms},
			fifo: admit.Decision{Ticket: 3, Action: admit.Refuse, Reason: model.TooLate, RetryAfter: 1400 * ms},
		},
		{
			name:  "long work does not fill the queue of short work",
			slots: 1,
			act: func(gate anyGate) admit.Decision {
				arriveMany(gate, epoch, 1, 40, model.Long)
				return arriveMany(gate, epoch, 41, 41, model.Short)
			},
			want: admit.Decision{Ticket: 41, Action: admit.Wait},
			fifo: admit.Decision{Ticket: 41, Action: admit.Refuse, Reason: model.QueueFull},
		},
		{
			name:  "short work that overruns takes up a slot for long work",
			slots: 4,
			act: func(gate anyGate) admit.Decision {
				arriveMany(gate, epoch, 1, 2, model.Short)
				gate.Finish(epoch.Add(5*ms), 1)
				return arriveMany(gate, epoch.Add(51*ms), 3, 3, model.Long)
			},
			want: admit.Decision{Ticket: 3, Action: admit.Wait},
			fifo: admit.Decision{Ticket: 3, Action: admit.Wait},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			customerLimits := limits.Of(contracts(map[model.Customer]int{"a": 1}), test.slots)
			fair := admit.New(test.slots, admit.NewFair())
			fair.SetLimits(epoch, test.slots, customerLimits)
			qt.Check(t, test.act(fair), qt.Equals, test.want)
			fifo := admit.New(test.slots, admit.NewFIFO())
			fifo.SetLimits(epoch, test.slots, customerLimits)
			qt.Check(t, test.act(fifo), qt.Equals, test.fifo)
		})
	}
}

func TestOverruns(t *testing.T) {
	tests := []struct {
		name string
		// later is when a fourth ticket, started at 6 ms, finishes; zero for never.
		later time.Duration
		want  []uint64
	}{
		{name: "later short work ended", later: 10 * ms, want: []uint64{2, 3}},
		{name: "the upstream is stalled", want: nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate := newGate(admit.NewFair(), map[model.Customer]int{"a": 1})
			arriveMany(gate, epoch, 1, 3, model.Short)
			gate.Finish(epoch.Add(5*ms), 1)
			arriveMany(gate, epoch.Add(6*ms), 4, 4, model.Short)
			if test.later > 0 {
				gate.Finish(epoch.Add(test.later), 4)
			}
			arriveMany(gate, epoch.Add(60*ms), 5, 5, model.Short)
			got := gate.TakeOverruns()
			slices.Sort(got)
			qt.Assert(t, got, qt.DeepEquals, test.want)
			qt.Assert(t, gate.TakeOverruns(), qt.HasLen, 0)
		})
	}
}
