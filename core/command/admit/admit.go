// Package admit decides at a gate which requests start, wait or are refused.
//
// A gate is a state machine: it takes the time as an argument and performs no I/O. The caller
// serialises its methods.
package admit

//go:generate go tool stringer -type=Action -linecomment -output=enums_string.go

import (
	"time"

	"comfreytack/core/model"
)

// Action is what a gate decides for a ticket.
type Action int

// The actions.
const (
	// Start means that the ticket holds a slot now.
	Start Action = iota // start
	// Wait means that the ticket is queued.
	Wait // wait
	// Refuse means that the ticket will never run here.
	Refuse // refuse
)

// Ticket is one request at the gate.
type Ticket struct {
	// ID is unique at the gate; never zero.
	ID uint64
	// Customer holds the contract.
	Customer model.Customer
	// Tier is the tier of the customer's contract.
	Tier model.Tier
	// Class is the class of the work.
	Class model.Class
	// ArrivedAt is when the gate first saw the request.
	ArrivedAt time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Route tells apart requests whose work takes different times; empty where only the class does.
	Route string
	// Rank orders tickets when not all can be served; 0 goes first.
	Rank int
	// Target is when the answer loses its full worth; zero when Deadline counts alone.
	Target time.Time
	// Forced asks to wait when no slot is free; a ticket with a target that does not is sent elsewhere.
	Forced bool
	// Nested tickets are calls of work that has begun elsewhere. They go first, and count as in time until Deadline.
	Nested bool
	// Work is how long the ticket is expected to hold its slot. The gate sets it on arrival.
	Work time.Duration
}

// target returns the time by which the ticket is best answered.
func (t *Ticket) target() time.Time {
	if t.Target.IsZero() || t.Nested {
		return t.Deadline
	}
	return t.Target
}

// Decision answers an arrival or wakes a waiting ticket.
type Decision struct {
	// Ticket is the ticket that the decision is about.
	Ticket uint64
	// Action is what happens to it.
	Action Action
	// Reason is NoReason unless the action is Refuse.
	Reason model.Reason
	// RetryAfter is how long a refused caller had better wait; zero when unknown.
	RetryAfter time.Duration
}

// Discipline orders the waiting tickets. It is the part of a gate that varies.
type Discipline interface {
	// Push adds a ticket.
	Push(ticket Ticket, limits model.Limits)
	// Pop takes the next ticket for which may returns true. The answer of may depends on the tier and
	// the class of a ticket alone.
	Pop(may func(Ticket) bool) (Ticket, bool)
	// Overdue takes out a waiting ticket that had better be refused now than kept, or returns false.
	Overdue() (Ticket, bool)
	// Remove takes out one ticket and says whether it was there.
	Remove(id uint64) bool
	// Started tells that a ticket, popped or not, takes a slot for about the given time.
	Started(ticket Ticket, limits model.Limits, estimate time.Duration)
	// Reclassed tells that a running ticket turned out to be long; its class is Long already.
	Reclassed(ticket Ticket, limits model.Limits, estimate time.Duration)
	// Finished tells that a started ticket held a slot for the given time.
	Finished(ticket Ticket, held time.Duration, limits model.Limits)
	// Ahead returns the slot time of the work that will start before the ticket if it waits now, where
	// one waiting ticket of its class takes about the given time.
	Ahead(ticket Ticket, limits model.Limits, each time.Duration) time.Duration
	// Len counts the waiting tickets; Waiting those that share the ticket's queue bound.
	Len() int
	Waiting(ticket Ticket) int
}
