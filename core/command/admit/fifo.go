package admit

import (
	"slices"
	"time"

	"comfreytack/core/model"
)

// FIFO serves tickets in the order of their arrival, whoever sent them. It is the baseline.
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

// Pop takes the first ticket for which may returns true.
func (f *FIFO) Pop(may func(Ticket) bool) (Ticket, bool) {
	i := slices.IndexFunc(f.waiting, may)
	if i < 0 {
		return Ticket{}, false
	}
	return f.take(i), true
}

// Overdue returns none: arrival order knows no targets.
func (f *FIFO) Overdue() (Ticket, bool) { return Ticket{}, false }

// Remove takes out one ticket.
func (f *FIFO) Remove(id uint64) bool {
	i := slices.IndexFunc(f.waiting, func(t Ticket) bool { return t.ID == id })
	if i < 0 {
		return false
	}
	f.take(i)
	return true
}

// Started does nothing: arrival order needs no accounts.
func (f *FIFO) Started(Ticket, model.Limits, time.Duration) {}

// Reclassed does nothing.
func (f *FIFO) Reclassed(Ticket, model.Limits, time.Duration) {}

// Finished does nothing.
func (f *FIFO) Finished(Ticket, time.Duration, model.Limits) {}

// Ahead counts every waiting ticket.
func (f *FIFO) Ahead(_ Ticket, _ model.Limits, each time.Duration) time.Duration {
	return time.Duration(len(f.waiting)) * each
}

// Len counts the waiting tickets.
func (f *FIFO) Len() int { return len(f.waiting) }

// Waiting counts the waiting tickets of the same customer.
func (f *FIFO) Waiting(ticket Ticket) int { return f.counts[ticket.Customer] }

func (f *FIFO) take(i int) Ticket {
	ticket := f.waiting[i]
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.counts[ticket.Customer]--
	if f.counts[ticket.Customer] == 0 {
		delete(f.counts, ticket.Customer)
	}
	return ticket
}
