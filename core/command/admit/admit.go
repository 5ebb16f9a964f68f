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
	// Class is the class of the work.
	Class model.Class
	// ArrivedAt is when the gate first saw the request.
	ArrivedAt time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
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
	// Pop takes the next ticket for which may returns true.
	Pop(may func(Ticket) bool) (Ticket, bool)
	// Remove takes out one ticket and says whether it was there.
	Remove(id uint64) bool
	// Finished tells that a started ticket held a slot for the given time.
	Finished(ticket Ticket, held time.Duration, limits model.Limits)
	// Len counts the waiting tickets; Waiting those of one customer.
	Len() int
	Waiting(customer model.Customer) int
}

// Gate hands out the slots of one upstream.
type Gate[D Discipline] struct {
	// Slots is how many tickets may hold a slot at once; at least 1.
	Slots int

	discipline D
	limits     map[model.Customer]model.Limits
	running    map[uint64]held
	long       int
}

type held struct {
	ticket    Ticket
	startedAt time.Time
}

// New returns a gate with free slots and no limits.
func New[D Discipline](slots int, discipline D) *Gate[D] {
	return &Gate[D]{Slots: slots, discipline: discipline, running: map[uint64]held{}}
}

// SetLimits replaces the limits of all customers.
func (g *Gate[D]) SetLimits(slots int, limits map[model.Customer]model.Limits) {
	g.Slots = slots
	g.limits = limits
}

// Arrive decides for a new ticket.
func (g *Gate[D]) Arrive(now time.Time, ticket Ticket) Decision {
	limits, known := g.limits[ticket.Customer]
	if !known {
		return refusal(ticket, model.NoContract)
	}
	if !ticket.Deadline.After(now) {
		return refusal(ticket, model.TooLate)
	}
	if g.discipline.Len() == 0 && g.may(ticket) {
		return g.start(now, ticket)
	}
	if g.discipline.Waiting(ticket.Customer) >= limits.Queue {
		return refusal(ticket, model.QueueFull)
	}
	g.discipline.Push(ticket, limits)
	return Decision{Ticket: ticket.ID, Action: Wait}
}

// Finish frees the slot of a started ticket and returns the decisions that follow for waiting ones.
func (g *Gate[D]) Finish(now time.Time, id uint64) []Decision {
	h, running := g.running[id]
	if !running {
		return nil
	}
	delete(g.running, id)
	if h.ticket.Class == model.Long {
		g.long--
	}
	g.discipline.Finished(h.ticket, now.Sub(h.startedAt), g.limits[h.ticket.Customer])
	return g.fill(now)
}

// Cancel takes out a waiting ticket. It returns false when the ticket is not waiting any more.
func (g *Gate[D]) Cancel(id uint64) bool {
	return g.discipline.Remove(id)
}

// Report describes the gate's load.
func (g *Gate[D]) Report() model.GateReport {
	return model.GateReport{InFlight: len(g.running), Queued: g.discipline.Len(), Slots: g.Slots}
}

func (g *Gate[D]) fill(now time.Time) []Decision {
	var decisions []Decision
	for len(g.running) < g.Slots {
		ticket, found := g.discipline.Pop(g.may)
		if !found {
			return decisions
		}
		if !ticket.Deadline.After(now) {
			decisions = append(decisions, refusal(ticket, model.TooLate))
			continue
		}
		decisions = append(decisions, g.start(now, ticket))
	}
	return decisions
}

func (g *Gate[D]) may(ticket Ticket) bool {
	if len(g.running) >= g.Slots {
		return false
	}
	return ticket.Class == model.Short || g.long < max(1, g.limits[ticket.Customer].LongSlots)
}

func (g *Gate[D]) start(now time.Time, ticket Ticket) Decision {
	g.running[ticket.ID] = held{ticket: ticket, startedAt: now}
	if ticket.Class == model.Long {
		g.long++
	}
	return Decision{Ticket: ticket.ID, Action: Start}
}

func refusal(ticket Ticket, reason model.Reason) Decision {
	return Decision{Ticket: ticket.ID, Action: Refuse, Reason: reason}
}
