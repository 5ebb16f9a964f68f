package admit

import (
	"time"

	"comfreytack/core/model"
)

// Ranked serves nested tickets before all others. Within each of these two groups, tickets that are expected to
// meet their target come before those that are expected to miss it, then lower ranks, then earlier targets.
//
//	waiting: rank 1 in time, rank 0 past its target, rank 0 in time  ->  rank 0 in time, rank 1, rank 0
//	waiting: rank 0, nested of rank 2                                ->  nested of rank 2, rank 0
type Ranked struct {
	now     func() time.Time
	waiting []Ticket
	// counts holds the number of waiting tickets by rank.
	counts map[int]int
}

// NewRanked returns an empty queue. The function now reads the clock of the tickets' times.
func NewRanked(now func() time.Time) *Ranked {
	return &Ranked{now: now, counts: map[int]int{}}
}

// Push adds a ticket.
func (r *Ranked) Push(ticket Ticket, _ model.Limits) {
	r.waiting = append(r.waiting, ticket)
	r.counts[ticket.Rank]++
}

// Pop removes and returns the first ticket for which eligible returns true.
func (r *Ranked) Pop(eligible func(Ticket) bool) (Ticket, bool) {
	now := r.now()
	first := -1
	for i := range r.waiting {
		if eligible(r.waiting[i]) && (first < 0 || ticketBefore(now, &r.waiting[i], &r.waiting[first])) {
			first = i
		}
	}
	if first < 0 {
		return Ticket{}, false
	}
	return r.removeAt(first), true
}

// ticketBefore reports whether a is served before b.
func ticketBefore(now time.Time, a, b *Ticket) bool {
	if a.Nested != b.Nested {
		return a.Nested
	}
	lateA, lateB := missesTarget(now, a), missesTarget(now, b)
	if lateA != lateB {
		return lateB
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.effectiveTarget().Before(b.effectiveTarget())
}

// missesTarget reports whether a ticket that starts now is expected to miss its target.
func missesTarget(now time.Time, t *Ticket) bool {
	return t.effectiveTarget().Before(now.Add(t.ExpectedServiceTime))
}

// PopOverdue removes and returns a ticket that is expected to miss its target, if others wait that are not: it
// would stay queued in vain.
func (r *Ranked) PopOverdue() (Ticket, bool) {
	now := r.now()
	overdue, inTime := -1, false
	for i := range r.waiting {
		if missesTarget(now, &r.waiting[i]) {
			overdue = i
		} else {
			inTime = true
		}
	}
	if overdue < 0 || !inTime {
		return Ticket{}, false
	}
	return r.removeAt(overdue), true
}

// Remove removes one ticket.
func (r *Ranked) Remove(id uint64) bool {
	for i := range r.waiting {
		if r.waiting[i].ID == id {
			r.removeAt(i)
			return true
		}
	}
	return false
}

// Started does nothing: Ranked does not account for slot time.
func (r *Ranked) Started(Ticket, model.Limits, time.Duration) {}

// Reclassified does nothing.
func (r *Ranked) Reclassified(Ticket, model.Limits, time.Duration) {}

// Finished does nothing.
func (r *Ranked) Finished(Ticket, time.Duration, model.Limits) {}

// WorkAhead returns the expected slot time of the waiting tickets that are served before this one.
func (r *Ranked) WorkAhead(ticket Ticket, _ model.Limits, _ time.Duration) time.Duration {
	now := r.now()
	var ahead time.Duration
	for i := range r.waiting {
		if ticketBefore(now, &r.waiting[i], &ticket) {
			ahead += r.waiting[i].ExpectedServiceTime
		}
	}
	return ahead
}

// Len returns the number of waiting tickets.
func (r *Ranked) Len() int { return len(r.waiting) }

// Waiting returns the number of waiting tickets of the same rank.
func (r *Ranked) Waiting(ticket Ticket) int { return r.counts[ticket.Rank] }

func (r *Ranked) removeAt(i int) Ticket {
	ticket := r.waiting[i]
	last := len(r.waiting) - 1
	r.waiting[i] = r.waiting[last]
	r.waiting[last] = Ticket{}
	r.waiting = r.waiting[:last]
	r.counts[ticket.Rank]--
	return ticket
}
