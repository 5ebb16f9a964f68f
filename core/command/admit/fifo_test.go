package admit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/admit"
	"comfreytack/core/model"
)

func TestFIFOGate(t *testing.T) {
	start := time.Unix(1000, 0)
	limits := map[model.Customer]model.Limits{"a": {Queue: 1, LongSlots: 1, Weight: 1}}
	tests := []struct {
		name    string
		tickets []admit.Ticket
		want    []admit.Decision
	}{
		{
			name:    "no contract",
			tickets: []admit.Ticket{{ID: 1, Customer: "b", Deadline: start.Add(time.Second)}},
			want:    []admit.Decision{{Ticket: 1, Action: admit.Refuse, Reason: model.NoContract}},
		},
		{
			name: "one slot, one waits, one is refused",
			tickets: []admit.Ticket{
				{ID: 1, Customer: "a", Deadline: start.Add(time.Second)},
				{ID: 2, Customer: "a", Deadline: start.Add(time.Second)},
				{ID: 3, Customer: "a", Deadline: start.Add(time.Second)},
			},
			want: []admit.Decision{
				{Ticket: 1, Action: admit.Start},
				{Ticket: 2, Action: admit.Wait},
				{Ticket: 3, Action: admit.Refuse, Reason: model.QueueFull, RetryAfter: 0},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate := admit.New(1, admit.NewFIFO())
			gate.SetLimits(start, 1, limits)
			var got []admit.Decision
			for _, ticket := range test.tickets {
				got = append(got, gate.Arrive(start, ticket))
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}
