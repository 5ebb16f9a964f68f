package admit

import (
	"time"

	"comfreytack/core/model"
)

// tiers and classes count the values of the enums.
const (
	tiers   = int(model.Background) + 1
	classes = int(model.Long) + 1
)

// Fair shares the slots by weight: start-time fair queueing, where the cost of a ticket is the time that
// it holds a slot.
//
// Each tier and class has a lane of its own, and each lane keeps a virtual time. A customer that was
// idle joins at the lane's virtual time, so it owes nothing for what others borrowed meanwhile and holds
// no claim for what it left unused. Customers that hold fewer slots than their guarantee go before all
// others. Any free slot goes to whoever waits, so slots are lent; since nothing is ever interrupted, a
// lent slot comes back when the work in it ends.
type Fair struct {
	lanes [tiers][classes]*lane
	// waiting finds the flow of a waiting ticket; running has what was charged for a running one.
	waiting map[uint64]*flow
	running map[uint64]charge
	// longRunning counts the running long tickets of each tier.
	longRunning [tiers]int
	// shortSince is whether a short ticket has started since the last long one, by tier.
	shortSince [tiers]bool
}

type charge struct {
	flow *flow
	// virtual is the cost that the flow was charged in advance.
	virtual float64
}

// NewFair returns an empty queue.
func NewFair() *Fair {
	f := &Fair{waiting: map[uint64]*flow{}, running: map[uint64]charge{}}
	for tier := range f.lanes {
		for class := range f.lanes[tier] {
			f.lanes[tier][class] = newLane(model.Class(class))
		}
	}
	return f
}

// Push adds a ticket at the end of its customer's queue.
func (f *Fair) Push(ticket Ticket, limits model.Limits) {
	f.waiting[ticket.ID] = f.lane(ticket).push(ticket, limits)
}

// Pop takes the next ticket for which may returns true. Background work comes up only when no standard
// ticket waits that could use the slot.
func (f *Fair) Pop(may func(Ticket) bool) (Ticket, bool) {
	for tier := range f.lanes {
		for _, class := range f.order(tier) {
			l := f.lanes[tier][class]
			next := l.next()
			if next == nil || !may(next.queue[0]) {
				continue
			}
			ticket := l.pop(next)
			delete(f.waiting, ticket.ID)
			return ticket, true
		}
	}
	return Ticket{}, false
}

// order puts short before long, except that long work gets one slot when none runs, by turns with short
// work. So neither class can keep the other out, even with a single slot.
func (f *Fair) order(tier int) [classes]model.Class {
	if f.longRunning[tier] == 0 && f.shortSince[tier] {
		return [classes]model.Class{model.Long, model.Short}
	}
	return [classes]model.Class{model.Short, model.Long}
}

// Overdue returns none: customers' shares know no targets.
func (f *Fair) Overdue() (Ticket, bool) { return Ticket{}, false }

// Remove takes out one ticket. Its time grows with the customer's queue bound.
func (f *Fair) Remove(id uint64) bool {
	owner, found := f.waiting[id]
	if !found {
		return false
	}
	delete(f.waiting, id)
	owner.lane.remove(owner, id)
	return true
}

// Started charges the ticket's customer for the estimated time.
func (f *Fair) Started(ticket Ticket, limits model.Limits, estimate time.Duration) {
	f.running[ticket.ID] = f.lane(ticket).start(ticket, limits, estimate)
	if ticket.Class == model.Long {
		f.longRunning[ticket.Tier]++
		f.shortSince[ticket.Tier] = false
		return
	}
	f.shortSince[ticket.Tier] = true
}

// Reclassed moves a running ticket from the short lane to the long one. The customer's short work stays
// charged for the estimate and its long work bears the rest.
func (f *Fair) Reclassed(ticket Ticket, limits model.Limits, estimate time.Duration) {
	paid := f.running[ticket.ID]
	paid.flow.lane.end(paid.flow)
	f.running[ticket.ID] = f.lane(ticket).start(ticket, limits, estimate)
	f.longRunning[ticket.Tier]++
}

// Finished corrects the charge to the time that the ticket held its slot.
func (f *Fair) Finished(ticket Ticket, held time.Duration, limits model.Limits) {
	paid, found := f.running[ticket.ID]
	if !found {
		return
	}
	delete(f.running, ticket.ID)
	if ticket.Class == model.Long {
		f.longRunning[ticket.Tier]--
	}
	paid.flow.setLimits(limits)
	paid.flow.lane.settle(paid, held)
}

// Ahead returns the work that starts before the ticket: what its own customer has waiting, with what
// the other waiting customers may run meanwhile by their weights, but never more than all that waits.
func (f *Fair) Ahead(ticket Ticket, limits model.Limits, each time.Duration) time.Duration {
	l := f.lane(ticket)
	ahead := l.ahead(ticket, limits, each)
	if ticket.Tier == model.Background {
		standard := f.lanes[model.Standard][ticket.Class].waiting
		ahead += time.Duration(standard) * each
	}
	return ahead
}

// Len counts the waiting tickets.
func (f *Fair) Len() int { return len(f.waiting) }

// Waiting counts the waiting tickets of the same customer, tier and class.
func (f *Fair) Waiting(ticket Ticket) int {
	known, found := f.lane(ticket).flows[ticket.Customer]
	if !found {
		return 0
	}
	return len(known.queue)
}

// Flows counts the customers, by tier and class, that the queue keeps any state of.
func (f *Fair) Flows() int {
	count := 0
	for tier := range f.lanes {
		for _, l := range f.lanes[tier] {
			count += len(l.flows)
		}
	}
	return count
}

func (f *Fair) lane(ticket Ticket) *lane {
	return f.lanes[ticket.Tier][ticket.Class]
}
