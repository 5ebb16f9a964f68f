package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/admit"
	"comfreytack/core/model"
)

// rankedNow is the present time in the tests of Ranked.
var rankedNow = time.Unix(2000, 0)

func rankedTicket(id uint64, rank int, target time.Duration) admit.Ticket {
	return admit.Ticket{
		ID: id, Customer: "any", Route: "beds", Rank: rank, ArrivedAt: rankedNow,
		Target: rankedNow.Add(target), Deadline: rankedNow.Add(target + time.Second), ExpectedServiceTime: 50 * time.Millisecond,
	}
}

func nested(ticket admit.Ticket) admit.Ticket {
	ticket.Nested = true
	return ticket
}

func TestRankedOrder(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		tickets []admit.Ticket
		want    []uint64
	}{
		{name: "by rank", tickets: []admit.Ticket{rankedTicket(1, 2, 200*ms), rankedTicket(2, 0, 200*ms), rankedTicket(3, 1, 200*ms)}, want: []uint64{2, 3, 1}},
		{name: "by target within a rank", tickets: []admit.Ticket{rankedTicket(1, 1, 300*ms), rankedTicket(2, 1, 200*ms)}, want: []uint64{2, 1}},
		{
			name:    "tickets that miss their target go last",
			tickets: []admit.Ticket{rankedTicket(1, 0, 20*ms), rankedTicket(2, 2, 200*ms), rankedTicket(3, 0, 200*ms)},
			want:    []uint64{3, 2, 1},
		},
		{
			name:    "calls of work that has begun go first, also past their target",
			tickets: []admit.Ticket{rankedTicket(1, 0, 200*ms), nested(rankedTicket(2, 2, 200*ms)), nested(rankedTicket(3, 2, 20*ms))},
			want:    []uint64{3, 2, 1},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			queue := admit.NewRanked(func() time.Time { return rankedNow })
			for _, ticket := range test.tickets {
				queue.Push(ticket, model.Limits{})
			}
			var got []uint64
			for range test.tickets {
				ticket, found := queue.Pop(func(admit.Ticket) bool { return true })
				qt.Assert(t, found, qt.IsTrue)
				got = append(got, ticket.ID)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
			qt.Assert(t, queue.Len(), qt.Equals, 0)
		})
	}
}

func TestRankedAdmission(t *testing.T) {
	const ms = time.Millisecond
	forced := func(ticket admit.Ticket) admit.Ticket {
		ticket.Forced = true
		return ticket
	}
	tests := []struct {
		name    string
		running int
		ticket  admit.Ticket
		want    admit.Action
		reason  model.Reason
	}{
		{name: "a free slot", running: 3, ticket: rankedTicket(100, 2, 200*ms), want: admit.Start},
		{name: "the last slot", running: 9, ticket: rankedTicket(100, 0, 200*ms), want: admit.Start},
		{name: "another may have a free slot", running: 10, ticket: rankedTicket(100, 0, 200*ms), want: admit.Refuse, reason: model.NearlyFull},
		{name: "a wait that fits", running: 10, ticket: forced(rankedTicket(100, 0, 200*ms)), want: admit.Wait},
		{name: "a wait that would miss the target", running: 10, ticket: forced(rankedTicket(100, 0, 40*ms)), want: admit.Refuse, reason: model.TooLate},
		{name: "a wait that would miss the target half of the time", running: 10, ticket: forced(rankedTicket(100, 0, 60*ms)), want: admit.Refuse, reason: model.TooLate},
		{name: "a wait that a call of begun work can afford", running: 10, ticket: forced(nested(rankedTicket(100, 0, 40*ms))), want: admit.Wait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate := admit.New(10, admit.NewRanked(func() time.Time { return rankedNow }))
			gate.SetLimits(rankedNow, 10, map[model.Customer]model.Limits{"any": {Weight: 1, Queue: 10, LongSlots: 1}})
			gate.Arrive(rankedNow.Add(-50*ms), rankedTicket(1000, 0, 200*ms))
			gate.Finish(rankedNow, 1000)
			for id := range test.running {
				decision := gate.Arrive(rankedNow, forced(rankedTicket(uint64(id+1), 0, 200*ms)))
				qt.Assert(t, decision.Action, qt.Equals, admit.Start)
			}
			got := gate.Arrive(rankedNow, test.ticket)
			qt.Assert(t, got.Action, qt.Equals, test.want)
			qt.Assert(t, got.Reason, qt.Equals, test.reason)
			if test.reason == model.TooLate {
				// The only measured service time is 50 ms, and there are ten slots.
				qt.Assert(t, got.RetryAfter, qt.Equals, 5*ms)
			}
		})
	}
}

// TestOverdue checks which waiting tickets are refused as overdue when a slot becomes free.
func TestOverdue(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		waiting []admit.Ticket
		// after is when the slot becomes free.
		after time.Duration
		// refused are the waiting tickets that are refused then.
		refused []uint64
	}{
		{name: "in time", waiting: []admit.Ticket{rankedTicket(1, 0, 200*ms), rankedTicket(2, 0, 200*ms)}, after: 50 * ms, refused: nil},
		{name: "late, and it keeps nobody waiting", waiting: []admit.Ticket{rankedTicket(1, 0, 200*ms), rankedTicket(2, 0, 200*ms)}, after: 250 * ms, refused: nil},
		{
			name:    "late, and others are in time",
			waiting: []admit.Ticket{rankedTicket(1, 0, 200*ms), rankedTicket(2, 0, 800*ms), rankedTicket(3, 1, 900*ms)}, after: 250 * ms,
			refused: []uint64{1},
		},
		{
			name:    "calls of begun work are never late",
			waiting: []admit.Ticket{nested(rankedTicket(1, 0, 200*ms)), nested(rankedTicket(2, 0, 200*ms)), rankedTicket(3, 1, 900*ms)}, after: 250 * ms,
			refused: nil,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := rankedNow
			gate := admit.New(1, admit.NewRanked(func() time.Time { return now }))
			gate.SetLimits(now, 1, map[model.Customer]model.Limits{"any": {Weight: 1, Queue: 10, LongSlots: 1}})
			gate.Arrive(now.Add(-50*ms), rankedTicket(1000, 0, 200*ms))
			gate.Finish(now, 1000)
			gate.Arrive(now, rankedTicket(1001, 0, 200*ms))
			for _, ticket := range test.waiting {
				ticket.Forced = true
				qt.Assert(t, gate.Arrive(now, ticket).Action, qt.Equals, admit.Wait)
			}
			now = now.Add(test.after)
			var refused []uint64
			for _, decision := range gate.Finish(now, 1001) {
				if decision.Action == admit.Refuse {
					refused = append(refused, decision.Ticket)
				}
			}
			qt.Assert(t, refused, qt.DeepEquals, test.refused)
		})
	}
}

// TestSlotForNestedTickets checks that the slot above the others goes only to a call of work that has begun, and only if it
// would wait long for another one. A ticket whose target is in t is expected to run for t/4.
func TestSlotForNestedTickets(t *testing.T) {
	const slots = 2
	long, short := 4*time.Second, 400*time.Millisecond
	tests := []struct {
		name    string
		running []time.Duration
		ticket  admit.Ticket
		want    admit.Action
	}{
		{name: "a free slot", running: []time.Duration{long}, ticket: rankedTicket(9, 0, short), want: admit.Start},
		{name: "all slots in use", running: []time.Duration{long, long}, ticket: rankedTicket(9, 0, short), want: admit.Refuse},
		{name: "a nested ticket behind long work", running: []time.Duration{long, long}, ticket: nested(rankedTicket(9, 2, short)), want: admit.Start},
		{name: "a nested ticket behind short work", running: []time.Duration{short, short}, ticket: nested(rankedTicket(9, 2, short)), want: admit.Refuse},
		{name: "a nested ticket when its slot is in use too", running: []time.Duration{long, long, short}, ticket: nested(rankedTicket(9, 2, short)), want: admit.Refuse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate := newGateWithNestedSlot(slots)
			for i, target := range test.running {
				gate.Arrive(rankedNow, nested(rankedTicket(uint64(i+1), 2, target)))
			}
			qt.Assert(t, gate.Report().InFlight, qt.Equals, len(test.running))
			qt.Assert(t, gate.Arrive(rankedNow, test.ticket).Action, qt.Equals, test.want)
		})
	}
}

// newGateWithNestedSlot returns a gate with one slot besides the given ones for nested tickets.
func newGateWithNestedSlot(slots int) *admit.Gate[*admit.Ranked] {
	gate := admit.New(slots, admit.NewRanked(func() time.Time { return rankedNow }))
	gate.SetLimits(rankedNow, slots, map[model.Customer]model.Limits{"any": {Weight: 1, Queue: 4, LongSlots: 1}})
	gate.SetNested(rankedNow, slots+1)
	return gate
}

// TestNestedTicketTakesTheSlotThatIsFreed checks which of two waiting tickets starts when a slot is freed.
func TestNestedTicketTakesTheSlotThatIsFreed(t *testing.T) {
	gate := newGateWithNestedSlot(1)
	forced := func(ticket admit.Ticket) admit.Ticket {
		ticket.Forced = true
		return ticket
	}
	gate.Arrive(rankedNow, rankedTicket(1, 2, 5*time.Second))
	gate.Arrive(rankedNow, nested(rankedTicket(2, 2, 500*time.Millisecond)))
	qt.Assert(t, gate.Report().InFlight, qt.Equals, 2)
	qt.Assert(t, gate.Arrive(rankedNow, forced(rankedTicket(3, 0, 9*time.Second))).Action, qt.Equals, admit.Wait)
	qt.Assert(t, gate.Arrive(rankedNow, forced(nested(rankedTicket(4, 2, 9*time.Second)))).Action, qt.Equals, admit.Wait)
	qt.Assert(t, gate.Finish(rankedNow, 2), qt.HasLen, 0)
	qt.Assert(t, gate.Finish(rankedNow, 1), qt.DeepEquals, []admit.Decision{{Ticket: 4, Action: admit.Start}})
	qt.Assert(t, gate.Finish(rankedNow, 4), qt.DeepEquals, []admit.Decision{{Ticket: 3, Action: admit.Start}})
}
