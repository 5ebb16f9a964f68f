package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/command/admit"
	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

// walk drives a gate by random steps and knows what state each ticket is in.
type walk[D admit.Discipline] struct {
	testing.TB
	gate    *admit.Gate[D]
	now     time.Time
	last    uint64
	waiting map[uint64]admit.Ticket
	running map[uint64]admit.Ticket
}

var walkContracts = map[model.Customer]model.Contract{
	"a": {Customer: "a", Weight: 1},
	"b": {Customer: "b", Weight: 5},
	"c": {Customer: "c", Weight: 1, Tier: model.Background},
}

func newWalk[D admit.Discipline](t testing.TB, discipline D) *walk[D] {
	w := &walk[D]{
		TB:      t,
		gate:    admit.New(slots, discipline),
		now:     epoch,
		waiting: map[uint64]admit.Ticket{},
		running: map[uint64]admit.Ticket{},
	}
	w.take(w.gate.SetLimits(epoch, slots, limits.Of(walkContracts, slots)))
	return w
}

func (w *walk[D]) arrive(r *rapid.T) {
	w.last++
	ticket := admit.Ticket{
		ID:       w.last,
		Customer: rapid.SampledFrom([]model.Customer{"a", "b", "c"}).Draw(r, "customer"),
		Class:    model.Class(rapid.IntRange(0, 1).Draw(r, "class")),
		Deadline: w.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "deadline")) * ms),
	}
	ticket.Tier = walkContracts[ticket.Customer].Tier
	w.waiting[ticket.ID] = ticket
	w.take([]admit.Decision{w.gate.Arrive(w.now, ticket)})
}

// step makes one random step.
func (w *walk[D]) step(r *rapid.T) {
	switch rapid.IntRange(0, 12).Draw(r, "step") {
	case 0, 1, 2, 3, 4, 5:
		w.arrive(r)
	case 6, 7, 8:
		w.finish(rapid.Uint64Range(1, w.last+1).Draw(r, "finish"))
	case 9:
		id := rapid.Uint64Range(1, w.last+1).Draw(r, "cancel")
		_, waits := w.waiting[id]
		qt.Assert(w, w.gate.Cancel(id), qt.Equals, waits)
		delete(w.waiting, id)
	case 10:
		w.take(w.gate.Resize(w.now, rapid.IntRange(1, slots).Draw(r, "slots")))
	case 11:
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(r, "elapse")) * ms)
	case 12:
		id := rapid.Uint64Range(1, w.last+1).Draw(r, "abandon")
		_, runs := w.running[id]
		qt.Assert(w, w.gate.Abandon(id), qt.Equals, runs)
	}
	w.take(w.gate.Expire(w.now))
}

func (w *walk[D]) finish(id uint64) {
	delete(w.running, id)
	w.take(w.gate.Finish(w.now, id))
}

// take checks that each decision is about a ticket that waited.
func (w *walk[D]) take(decisions []admit.Decision) {
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
	qt.Assert(w, ticket.Class == model.Short || long < max(1, slots/3), qt.IsTrue)
	w.running[ticket.ID] = ticket
}

// settled checks what must hold between two steps.
func (w *walk[D]) settled() {
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
	w := newWalk(t, discipline)
	for range rapid.IntRange(1, 200).Draw(r, "steps") {
		w.step(r)
		w.settled()
	}
	w.take(w.gate.Resize(w.now, slots))
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

func TestArrivalAndDeadlines(t *testing.T) {
	deadline := epoch.Add(time.Second)
	short := func(id uint64) admit.Ticket { return admit.Ticket{ID: id, Customer: "a", Deadline: deadline} }
	tests := []struct {
		name string
		act  func(gate *admit.Gate[*admit.Fair]) admit.Decision
		want admit.Decision
	}{
		{
			name: "no contract",
			act: func(gate *admit.Gate[*admit.Fair]) admit.Decision {
				return gate.Arrive(epoch, admit.Ticket{ID: 1, Customer: "stranger", Deadline: deadline})
			},
			want: admit.Decision{Ticket: 1, Action: admit.Refuse, Reason: model.NoContract},
		},
		{
			name: "deadline already past",
			act: func(gate *admit.Gate[*admit.Fair]) admit.Decision {
				return gate.Arrive(deadline, short(1))
			},
			want: admit.Decision{Ticket: 1, Action: admit.Refuse, Reason: model.TooLate},
		},
		{
			name: "expected wait passes the deadline",
			act: func(gate *admit.Gate[*admit.Fair]) admit.Decision {
				gate.Arrive(epoch, short(1))
				gate.Finish(epoch.Add(600*ms), 1)
				gate.Arrive(epoch.Add(600*ms), short(2))
				return gate.Arrive(epoch.Add(600*ms), short(3))
			},
			// The wait is 600 ms, and 600 ms with twice their deviation of 300 ms follow.
			want: admit.Decision{Ticket: 3, Action: admit.Refuse, Reason: model.TooLate, RetryAfter: 1400 * ms},
		},
		{
			name: "long work of the same customer does not fill the queue of short work",
			act: func(gate *admit.Gate[*admit.Fair]) admit.Decision {
				gate.Arrive(epoch, short(1))
				for id := uint64(2); id < 40; id++ {
					long := short(id)
					long.Class = model.Long
					gate.Arrive(epoch, long)
				}
				return gate.Arrive(epoch, short(40))
			},
			want: admit.Decision{Ticket: 40, Action: admit.Wait},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate := admit.New(1, admit.NewFair())
			gate.SetLimits(epoch, 1, limits.Of(contracts(map[model.Customer]int{"a": 1}), 1))
			qt.Assert(t, test.act(gate), qt.Equals, test.want)
		})
	}
}
