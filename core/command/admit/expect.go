package admit

import (
	"time"

	"comfreytack/core/model"
)

// hopeless tells whether starting the ticket now would risk a slot for an answer that comes too late.
// Durations of long work spread too widely to foretell.
func (g *Gate[D]) hopeless(now time.Time, ticket Ticket) bool {
	left := ticket.Deadline.Sub(now)
	if ticket.Class == model.Long {
		return left <= 0
	}
	expected := g.expected(ticket)
	return left <= expected.cautious()
}

// spare returns how much earlier than needed a ticket that waits now is likely to end. One with a target
// is held to that: a queue in which answers lose their worth serves nobody better than a refusal at once.
func (g *Gate[D]) spare(now time.Time, ticket Ticket, wait time.Duration) time.Duration {
	expected := g.expected(ticket)
	if ticket.Target.IsZero() {
		return ticket.Deadline.Sub(now) - wait - expected.cautious()
	}
	if ticket.Nested {
		return ticket.Deadline.Sub(now) - wait - expected.average()
	}
	return ticket.Target.Sub(now) - wait - expected.likely()
}

// comeBack returns how long a refused caller had better wait, where its ticket lacked the given time. One that has a
// target is told when the next slot is likely to be free: what waits now will have ended or gone elsewhere before the
// target, and at that moment there may be room.
func (g *Gate[D]) comeBack(ticket Ticket, lacked time.Duration) time.Duration {
	if ticket.Target.IsZero() {
		return lacked
	}
	return g.times[ticket.Class].average() / g.turning(ticket.Class)
}

// ExpectedServiceTime returns the mean service time to expect of a ticket; zero before the first was measured.
func (g *Gate[D]) ExpectedServiceTime(ticket Ticket) time.Duration {
	expected := g.expected(ticket)
	return expected.average()
}

// expected returns the service time to expect of a ticket: that of its route, or else of its class.
func (g *Gate[D]) expected(ticket Ticket) estimate {
	if ticket.Route != "" {
		if known, found := g.routes.Get(ticket.Route); found {
			return known
		}
	}
	known := g.times[ticket.Class]
	if known.mean == 0 && !ticket.Target.IsZero() {
		known.add(ticket.Target.Sub(ticket.ArrivedAt) / targetOverWork)
	}
	return known
}

// targetOverWork is how many times its work a route's target is taken to be before any work was measured.
const targetOverWork = 4

// wait returns how long the ticket would wait if it were queued now: the work ahead of it and the rest
// of the work that holds the slots, spread over the slots of its class.
func (g *Gate[D]) wait(ticket Ticket, limits model.Limits) time.Duration {
	each := g.times[ticket.Class].average()
	return (g.discipline.Ahead(ticket, limits, each) + each) / g.turning(ticket.Class)
}

// turning counts the slots whose work ends within the service time of a class: those that long work holds
// do not come back to short work soon.
func (g *Gate[D]) turning(class model.Class) time.Duration {
	if class == model.Long {
		return time.Duration(max(1, g.long))
	}
	return time.Duration(max(1, g.Slots-g.long))
}
