package admit

import (
	"time"

	"comfreytack/core/model"
)

// Ranked serves nested tickets first, then the lowest rank and, within a rank, the ticket whose answer loses its
// full worth first. A ticket that can no longer be answered within its target gives way to every one that can.
//
//	waiting: rank 1 in time, rank 0 past its target, rank 0 in time  ->  rank 0 in time, rank 1, rank 0
//	waiting: rank 0, nested of rank 2                                ->  nested of rank 2, rank 0
type Ranked struct {
	now     func() time.Time
	waiting []Ticket
	counts  map[int]int
}

// NewRanked returns an empty queue. The function now reads the clock that tickets are timed by.
func NewRanked(now func() time.Time) *Ranked {
	return &Ranked{now: now, counts: map[int]int{}}
}

// Push adds a ticket.
func (r *Ranked) Push(ticket Ticket, _ model.Limits) {
	r.waiting = append(r.waiting, ticket)
	r.counts[ticket.Rank]++
}

// Pop takes the first ticket for which may returns true.
func (r *Ranked) Pop(may func(Ticket) bool) (Ticket, bool) {
	now := r.now()
	first := -1
	for i := range r.waiting {
		if may(r.waiting[i]) && (first < 0 || goesBefore(now, &r.waiting[i], &r.waiting[first])) {
			first = i
		}
	}
	if first < 0 {
		return Ticket{}, false
	}
	return r.take(first), true
}

// goesBefore tells whether a is served before b.
func goesBefore(now time.Time, a, b *Ticket) bool {
	if a.Nested != b.Nested {
		return a.Nested
	}
	lateA, lateB := late(now, a), late(now, b)
	if lateA != lateB {
		return lateB
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.target().Before(b.target())
}

// late tells whether a ticket that starts now is expected to miss its target.
func late(now time.Time, t *Ticket) bool {
	return t.target().Before(now.Add(t.Work))
}

// Overdue takes out a ticket that can no longer be answered within its target, while others wait that can: it would
// be held for nothing.
func (r *Ranked) Overdue() (Ticket, bool) {
	now := r.now()
	overdue, inTime := -1, false
	for i := range r.waiting {
		if late(now, &r.waiting[i]) {
			overdue = i
		} else {
			inTime = true
		}
	}
	if overdue < 0 || !inTime {
		return Ticket{}, false
	}
	return r.take(overdue), true
}

// Remove takes out one ticket.
func (r *Ranked) Remove(id uint64) bool {
	for i := range r.waiting {
		if r.waiting[i].ID == id {
			r.take(i)
			return true
		}
	}
	return false
}

// Started does nothing: ranks need no accounts.
func (r *Ranked) Started(Ticket, model.Limits, time.Duration) {}

// Reclassed does nothing.
func (r *Ranked) Reclassed(Ticket, model.Limits, time.Duration) {}

// Finished does nothing.
func (r *Ranked) Finished(Ticket, time.Duration, model.Limits) {}

// Ahead returns the work of the waiting tickets that are served before this one.
func (r *Ranked) Ahead(ticket Ticket, _ model.Limits, _ time.Duration) time.Duration {
	now := r.now()
	var ahead time.Duration
	for i := range r.waiting {
		if goesBefore(now, &r.waiting[i], &ticket) {
			ahead += r.waiting[i].Work
		}
	}
	return ahead
}

// Len counts the waiting tickets.
func (r *Ranked) Len() int { return len(r.waiting) }

// Waiting counts the waiting tickets of the same rank.
func (r *Ranked) Waiting(ticket Ticket) int { return r.counts[ticket.Rank] }

func (r *Ranked) take(i int) Ticket {
	ticket := r.waiting[i]
	last := len(r.waiting) - 1
	r.waiting[i] = r.waiting[last]
	r.waiting[last] = Ticket{}
	r.waiting = r.waiting[:last]
	r.counts[ticket.Rank]--
	return ticket
}
