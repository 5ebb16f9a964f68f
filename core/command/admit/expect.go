package admit

import (
	"time"

	"comfreytack/core/model"
)

// wouldMissDeadline reports whether the answer would probably come too late if the ticket started now. Service
// times of long work vary too much to predict, so long tickets are only checked against the deadline itself.
func (g *Gate[D]) wouldMissDeadline(now time.Time, ticket Ticket) bool {
	left := ticket.Deadline.Sub(now)
	if ticket.Class == model.Long {
		return left <= 0
	}
	serviceTime := g.serviceTime(ticket)
	return left <= serviceTime.conservativeBound()
}

// slack returns how long before its deadline or target a ticket that is queued now is expected to end; negative
// if it would be late. A ticket with a target is measured against the target, unless it is nested: a ticket that
// would miss its target in the queue is better refused at once.
func (g *Gate[D]) slack(now time.Time, ticket Ticket, expectedWait time.Duration) time.Duration {
	serviceTime := g.serviceTime(ticket)
	if ticket.Target.IsZero() {
		return ticket.Deadline.Sub(now) - expectedWait - serviceTime.conservativeBound()
	}
	if ticket.Nested {
		return ticket.Deadline.Sub(now) - expectedWait - serviceTime.average()
	}
	return ticket.Target.Sub(now) - expectedWait - serviceTime.likelyBound()
}

// retryAfter returns how long a refused caller should wait before it retries, given the time that its ticket was
// short of. For a ticket with a target it is the expected time until the next slot becomes free: what waits now
// will have ended or moved to another upstream before the target, so a slot may be available then.
func (g *Gate[D]) retryAfter(ticket Ticket, shortfall time.Duration) time.Duration {
	if ticket.Target.IsZero() {
		return shortfall
	}
	return g.classTimes[ticket.Class].average() / g.classSlots(ticket.Class)
}

// ExpectedServiceTime returns the mean service time to expect of a ticket, or zero before the first measurement.
func (g *Gate[D]) ExpectedServiceTime(ticket Ticket) time.Duration {
	serviceTime := g.serviceTime(ticket)
	return serviceTime.average()
}

// serviceTime returns the estimate for a ticket's route, or for its class if the route has none yet.
func (g *Gate[D]) serviceTime(ticket Ticket) estimate {
	if ticket.Route != "" {
		if known, found := g.routeTimes.Get(ticket.Route); found {
			return known
		}
	}
	known := g.classTimes[ticket.Class]
	if known.mean == 0 && !ticket.Target.IsZero() {
		known.add(ticket.Target.Sub(ticket.ArrivedAt) / assumedTargetRatio)
	}
	return known
}

// assumedTargetRatio is the assumed ratio of a ticket's target to its service time before any was measured.
const assumedTargetRatio = 4

// expectedWait returns how long the ticket would wait if it were queued now: the work ahead of it and the rest
// of the running work, spread over the slots of its class.
func (g *Gate[D]) expectedWait(ticket Ticket, limits model.Limits) time.Duration {
	perTicket := g.classTimes[ticket.Class].average()
	return (g.discipline.WorkAhead(ticket, limits, perTicket) + perTicket) / g.classSlots(ticket.Class)
}

// classSlots returns the number of slots, at least 1, that become free within about the service time of a class.
// Short work cannot count on slots that long work holds.
func (g *Gate[D]) classSlots(class model.Class) time.Duration {
	if class == model.Long {
		return time.Duration(max(1, g.runningLong))
	}
	return time.Duration(max(1, g.Slots-g.runningLong))
}
