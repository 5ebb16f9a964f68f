package admit

import (
	"time"

	"comfreytack/core/model"
)

// tierCount and classCount are the numbers of values of model.Tier and model.Class.
const (
	tierCount  = int(model.Background) + 1
	classCount = int(model.Long) + 1
)

// Fair shares the slots among customers by weight. It implements start-time fair queueing, where the cost of
// a ticket is the time that it holds a slot.
//
// Each combination of tier and class has its own lane, and each lane keeps a virtual time. A customer that
// was idle joins at the lane's virtual time, so it is neither charged for capacity that others borrowed nor
// credited for capacity that it left unused. Customers that hold fewer slots than their guarantee go before
// all others. A free slot goes to any waiting ticket, also beyond its customer's guarantee. Running work is
// never preempted, so a borrowed slot becomes free only when its work ends.
type Fair struct {
	lanes [tierCount][classCount]*lane
	// waiting maps waiting tickets to their flows, and running maps running tickets to their charges.
	waiting map[uint64]*flow
	running map[uint64]charge
	// longRunning counts the running long tickets of each tier.
	longRunning [tierCount]int
	// shortSinceLong says for each tier whether a short ticket has started since the last long one.
	shortSinceLong [tierCount]bool
}

// charge is the advance charge for a running ticket.
type charge struct {
	flow *flow
	// virtualCost is the amount added to the flow's start tag.
	virtualCost float64
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

// Pop removes and returns the next ticket for which eligible returns true. Background tickets are considered
// only if no waiting standard ticket could use the slot.
func (f *Fair) Pop(eligible func(Ticket) bool) (Ticket, bool) {
	for tier := range f.lanes {
		for _, class := range f.classOrder(tier) {
			l := f.lanes[tier][class]
			next := l.next()
			if next == nil || !eligible(next.queue[0]) {
				continue
			}
			ticket := l.pop(next)
			delete(f.waiting, ticket.ID)
			return ticket, true
		}
	}
	return Ticket{}, false
}

// classOrder puts short work before long work, with one exception: long work goes first if no long ticket of the
// tier runs and a short one has started since the last long one. So neither class can starve the other, even with
// a single slot.
func (f *Fair) classOrder(tier int) [classCount]model.Class {
	if f.longRunning[tier] == 0 && f.shortSinceLong[tier] {
		return [classCount]model.Class{model.Long, model.Short}
	}
	return [classCount]model.Class{model.Short, model.Long}
}

// PopOverdue always returns false: Fair does not consider targets.
func (f *Fair) PopOverdue() (Ticket, bool) { return Ticket{}, false }

// Remove removes one ticket, in time linear in the length of the customer's queue.
func (f *Fair) Remove(id uint64) bool {
	owner, found := f.waiting[id]
	if !found {
		return false
	}
	delete(f.waiting, id)
	owner.lane.remove(owner, id)
	return true
}

// Started charges the ticket's customer for the estimated slot time.
func (f *Fair) Started(ticket Ticket, limits model.Limits, estimate time.Duration) {
	f.running[ticket.ID] = f.lane(ticket).start(ticket, limits, estimate)
	if ticket.Class == model.Long {
		f.longRunning[ticket.Tier]++
		f.shortSinceLong[ticket.Tier] = false
		return
	}
	f.shortSinceLong[ticket.Tier] = true
}

// Reclassified moves a running ticket from the short lane to the long one. The customer's flow in the short lane
// stays charged for the estimate; its flow in the long lane is charged for the whole time that the slot is held.
func (f *Fair) Reclassified(ticket Ticket, limits model.Limits, estimate time.Duration) {
	charged := f.running[ticket.ID]
	charged.flow.lane.releaseSlot(charged.flow)
	f.running[ticket.ID] = f.lane(ticket).start(ticket, limits, estimate)
	f.longRunning[ticket.Tier]++
}

// Finished replaces the estimated charge by the time that the ticket held its slot.
func (f *Fair) Finished(ticket Ticket, held time.Duration, limits model.Limits) {
	charged, found := f.running[ticket.ID]
	if !found {
		return
	}
	delete(f.running, ticket.ID)
	if ticket.Class == model.Long {
		f.longRunning[ticket.Tier]--
	}
	charged.flow.setLimits(limits)
	charged.flow.lane.finish(charged, held)
}

// WorkAhead returns the slot time of what the ticket's own customer has waiting, plus what the other waiting
// customers may run in the meantime by their weights, but never more than all waiting work of the lane. For a
// background ticket the waiting standard work of its class is added.
func (f *Fair) WorkAhead(ticket Ticket, limits model.Limits, perTicket time.Duration) time.Duration {
	l := f.lane(ticket)
	workAhead := l.workAhead(ticket, limits, perTicket)
	if ticket.Tier == model.Background {
		standard := f.lanes[model.Standard][ticket.Class].waiting
		workAhead += time.Duration(standard) * perTicket
	}
	return workAhead
}

// Len returns the number of waiting tickets.
func (f *Fair) Len() int { return len(f.waiting) }

// Waiting returns the number of waiting tickets of the same customer, tier and class.
func (f *Fair) Waiting(ticket Ticket) int {
	known, found := f.lane(ticket).flows[ticket.Customer]
	if !found {
		return 0
	}
	return len(known.queue)
}

// Flows returns the number of flows that the queue keeps state for, over all lanes.
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
