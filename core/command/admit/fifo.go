package admit

import (
	"slices"
	"time"

	"comfreytack/core/model"
)

// FIFO serves tickets in order of arrival, regardless of customer. It is the baseline that the other disciplines
// are compared with.
type FIFO struct {
	waiting []Ticket
	counts  map[model.Customer]int
}

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO {
	return &FIFO{counts: map[model.Customer]int{}}
}

// Push adds a ticket at the end.
func (f *FIFO) Push(ticket Ticket, _ model.Limits) {
	f.waiting = append(f.waiting, ticket)
	f.counts[ticket.Customer]++
}

// Pop removes and returns the first ticket for which eligible returns true.
func (f *FIFO) Pop(eligible func(Ticket) bool) (Ticket, bool) {
	i := slices.IndexFunc(f.waiting, eligible)
	if i < 0 {
		return Ticket{}, false
	}
	return f.removeAt(i), true
}

// PopOverdue always returns false: FIFO does not consider targets.
func (f *FIFO) PopOverdue() (Ticket, bool) { return Ticket{}, false }

// Remove removes one ticket.
func (f *FIFO) Remove(id uint64) bool {
	i := slices.IndexFunc(f.waiting, func(t Ticket) bool { return t.ID == id })
	if i < 0 {
		return false
	}
	f.removeAt(i)
	return true
}

// Started does nothing: FIFO does not account for slot time.
func (f *FIFO) Started(Ticket, model.Limits, time.Duration) {}

// Reclassified does nothing.
func (f *FIFO) Reclassified(Ticket, model.Limits, time.Duration) {}

// Finished does nothing.
func (f *FIFO) Finished(Ticket, time.Duration, model.Limits) {}

// WorkAhead returns the slot time of all waiting tickets.
func (f *FIFO) WorkAhead(_ Ticket, _ model.Limits, perTicket time.Duration) time.Duration {
	return time.Duration(len(f.waiting)) * perTicket
}

// Len returns the number of waiting tickets.
func (f *FIFO) Len() int { return len(f.waiting) }

// Waiting returns the number of waiting tickets of the same customer.
func (f *FIFO) Waiting(ticket Ticket) int { return f.counts[ticket.Customer] }

func (f *FIFO) removeAt(i int) Ticket {
	ticket := f.waiting[i]
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.counts[ticket.Customer]--
	if f.counts[ticket.Customer] == 0 {
		delete(f.counts, ticket.Customer)
	}
	return ticket
}
