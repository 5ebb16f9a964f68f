// Package admit decides at a gate which requests start, wait or are refused.
//
// A gate is a state machine: it takes the time as an argument and performs no I/O. It is not safe for
// concurrent use; the caller serializes calls.
package admit

//go:generate go tool stringer -type=Action -linecomment -output=enums_string.go

import (
	"time"

	"comfreytack/core/model"
)

// Action is a gate's decision about a ticket.
type Action int

// The actions.
const (
	// Start means that the ticket holds a slot now.
	Start Action = iota // start
	// Wait means that the ticket is queued.
	Wait // wait
	// Refuse means that the ticket will not run at this gate.
	Refuse // refuse
)

// Ticket is one request at the gate.
type Ticket struct {
	// ID identifies the ticket at the gate; never zero.
	ID uint64
	// Customer is the customer whose contract applies.
	Customer model.Customer
	// Tier is the tier of the customer's contract.
	Tier model.Tier
	// Class is the class of the work.
	Class model.Class
	// ArrivedAt is when the gate first saw the request.
	ArrivedAt time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Route is the key under which service times are averaged; if empty, those of the class are used.
	Route string
	// Rank is the priority of the ticket when not all can be served; 0 is the highest.
	Rank int
	// Target is the time after which the answer is worth less; zero if only Deadline counts.
	Target time.Time
	// Forced makes a ticket with a target wait when no slot is free. Without it the ticket is refused with
	// NearlyFull, so that the caller can try another upstream.
	Forced bool
	// Nested marks a call made by work that has already begun elsewhere. Ranked serves these first, and they
	// count as in time until Deadline.
	Nested bool
	// ExpectedServiceTime is how long the ticket is expected to hold its slot. The gate sets it on arrival.
	ExpectedServiceTime time.Duration
}

// effectiveTarget returns Target, or Deadline for nested tickets and tickets without a target.
func (t *Ticket) effectiveTarget() time.Time {
	if t.Target.IsZero() || t.Nested {
		return t.Deadline
	}
	return t.Target
}

// Decision is the gate's decision about an arriving or waiting ticket.
type Decision struct {
	// Ticket is the ticket that the decision is about.
	Ticket uint64
	// Action is what is decided.
	Action Action
	// Reason is NoReason unless the action is Refuse.
	Reason model.Reason
	// RetryAfter is how long a refused caller should wait before it retries; zero if unknown.
	RetryAfter time.Duration
}

// Discipline is the queueing discipline of a gate: it orders the waiting tickets.
type Discipline interface {
	// Push adds a ticket.
	Push(ticket Ticket, limits model.Limits)
	// Pop removes and returns the next ticket for which eligible returns true. The result of eligible
	// depends only on the tier and the class of a ticket, and on whether it is nested if Gate.NestedSlots is above
	// Gate.Slots.
	Pop(eligible func(Ticket) bool) (Ticket, bool)
	// PopOverdue removes and returns a waiting ticket that should be refused now rather than kept, or
	// returns false.
	PopOverdue() (Ticket, bool)
	// Remove removes one ticket and reports whether it was waiting.
	Remove(id uint64) bool
	// Started records that a ticket takes a slot for about the estimated time, whether it waited or not.
	Started(ticket Ticket, limits model.Limits, estimate time.Duration)
	// Reclassified records that a running short ticket now counts as long; its class is already set to Long.
	Reclassified(ticket Ticket, limits model.Limits, estimate time.Duration)
	// Finished records that a started ticket held a slot for the given time.
	Finished(ticket Ticket, held time.Duration, limits model.Limits)
	// WorkAhead returns the total slot time of the work that will start before the ticket if it is queued
	// now. perTicket is the expected slot time of one waiting ticket of its class.
	WorkAhead(ticket Ticket, limits model.Limits, perTicket time.Duration) time.Duration
	// Len returns the number of waiting tickets.
	Len() int
	// Waiting returns the number of waiting tickets that count against the same queue bound as the ticket.
	Waiting(ticket Ticket) int
}
