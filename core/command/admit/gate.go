package admit

import (
	"time"

	"comfreytack/core/cache"
	"comfreytack/core/heap"
	"comfreytack/core/model"
)

// Gate hands out the slots of one upstream.
//
// Invariant: after each method no waiting ticket could start. If a slot is free, no ticket that may use it waits.
type Gate[D Discipline] struct {
	// Slots is how many tickets may hold a slot at once; at least 1. SetLimits and Resize change it.
	Slots int
	// NestedSlots is how many tickets may hold a slot at once if the last of them are nested and would wait long for
	// another one; at least Slots. SetNested changes it.
	NestedSlots int

	discipline D
	limits     map[model.Customer]model.Limits
	// nominalSlots is the number of slots that limits were computed for.
	nominalSlots int
	running      map[uint64]*runningTicket
	// runningLong counts the running tickets of class Long.
	runningLong int
	// queued holds the waiting tickets by deadline, and queuedShort counts those of class Short.
	queued      *heap.Heap[uint64, queued]
	queuedShort int
	// runningShort holds the running tickets of class Short by start time.
	runningShort *heap.Heap[uint64, time.Time]
	// overruns holds the tickets that the next TakeOverruns returns; at most one for each slot.
	overruns []uint64
	// latestCompletedStart is the latest start time among the short tickets that have ended by themselves.
	latestCompletedStart time.Time
	// classTimes holds the measured service times by class, and routeTimes those by route.
	classTimes [classCount]estimate
	routeTimes *cache.Cache[string, estimate]
}

// maxRoutes bounds the number of routes whose service times are remembered.
const maxRoutes = 1024

// queued is the gate's record of a waiting ticket.
type queued struct {
	deadline time.Time
	class    model.Class
}

type runningTicket struct {
	ticket    Ticket
	startedAt time.Time
	// abandoned says that the ticket will not end by itself, so that its run time is not a service time.
	abandoned bool
}

// New returns a gate with all slots free and no limits. Until SetLimits is called, every ticket is refused.
func New[D Discipline](slots int, discipline D) *Gate[D] {
	return &Gate[D]{
		Slots:        slots,
		NestedSlots:  slots,
		nominalSlots: slots,
		discipline:   discipline,
		running:      map[uint64]*runningTicket{},
		queued:       heap.New[uint64](earlierDeadline),
		runningShort: heap.New[uint64](time.Time.Before),
		routeTimes:   cache.New[string, estimate](maxRoutes),
	}
}

// SetLimits replaces the limits of all customers, computed for the given number of slots, and returns the
// decisions that follow for waiting tickets. Tickets that were queued under earlier limits stay.
func (g *Gate[D]) SetLimits(now time.Time, slots int, limits map[model.Customer]model.Limits) []Decision {
	g.nominalSlots = max(1, slots)
	g.limits = limits
	return g.Resize(now, slots)
}

// Resize changes only the number of slots, as an adaptive limit does. Guarantees are scaled with it. Running
// tickets keep their slots: after a reduction none starts until enough have finished.
func (g *Gate[D]) Resize(now time.Time, slots int) []Decision {
	g.Slots = max(1, slots)
	g.NestedSlots = max(g.NestedSlots, g.Slots)
	return g.dispatch(now)
}

// Arrive decides whether a new ticket starts, waits or is refused.
func (g *Gate[D]) Arrive(now time.Time, ticket Ticket) Decision {
	g.reclassifyOverruns(now)
	limits, known := g.limitsOf(ticket)
	if !known {
		return refusal(ticket, model.NoContract, 0)
	}
	if !ticket.Deadline.After(now) {
		return refusal(ticket, model.TooLate, 0)
	}
	serviceTime := g.serviceTime(ticket)
	ticket.ExpectedServiceTime = serviceTime.average()
	if g.canStart(ticket) {
		return g.start(now, ticket)
	}
	if !ticket.Target.IsZero() && !ticket.Forced {
		return refusal(ticket, model.NearlyFull, 0)
	}
	expectedWait := g.expectedWait(ticket, limits)
	if g.discipline.Waiting(ticket) >= limits.Queue {
		return refusal(ticket, model.QueueFull, expectedWait)
	}
	slack := g.slack(now, ticket, expectedWait)
	if slack < 0 {
		return refusal(ticket, model.TooLate, g.retryAfter(ticket, -slack))
	}
	g.discipline.Push(ticket, limits)
	g.trackQueued(ticket)
	return Decision{Ticket: ticket.ID, Action: Wait}
}

// Finish frees the slot of a started ticket and returns the decisions that follow for waiting tickets. It
// must not be called before the upstream has finished the work: work whose caller is gone still loads the
// upstream.
func (g *Gate[D]) Finish(now time.Time, id uint64) []Decision {
	g.reclassifyOverruns(now)
	run, running := g.running[id]
	if !running {
		return nil
	}
	delete(g.running, id)
	g.runningShort.Remove(id)
	if run.ticket.Class == model.Long {
		g.runningLong--
	}
	g.recordServiceTime(run, now.Sub(run.startedAt))
	limits, _ := g.limitsOf(run.ticket)
	g.discipline.Finished(run.ticket, now.Sub(run.startedAt), limits)
	return g.dispatch(now)
}

// Cancel removes a waiting ticket. It returns false if the ticket is not waiting any more.
func (g *Gate[D]) Cancel(id uint64) bool {
	return g.untrackQueued(id) && g.discipline.Remove(id)
}

// Abandon marks a running ticket that will not end by itself, because its caller is gone or its upstream
// failed, so that its run time is not averaged into the service times. The slot stays taken, and the customer
// charged, until Finish. It returns false if the ticket is not running.
func (g *Gate[D]) Abandon(id uint64) bool {
	run, running := g.running[id]
	if running {
		run.abandoned = true
	}
	return running
}

// NextDeadline returns the earliest deadline of the waiting tickets, or false if none waits.
func (g *Gate[D]) NextDeadline() (time.Time, bool) {
	_, first, found := g.queued.Least()
	return first.deadline, found
}

// Expire refuses the waiting tickets whose deadline has passed.
func (g *Gate[D]) Expire(now time.Time) []Decision {
	var decisions []Decision
	for {
		id, first, found := g.queued.Least()
		if !found || first.deadline.After(now) {
			return decisions
		}
		g.untrackQueued(id)
		g.discipline.Remove(id)
		decisions = append(decisions, refusal(Ticket{ID: id}, model.TooLate, 0))
	}
}

// Report describes the gate's load. The caller fills in Upstream, Incarnation, Leaving and Revision.
func (g *Gate[D]) Report() model.GateReport {
	report := model.GateReport{
		InFlight:  len(g.running),
		Queued:    g.discipline.Len(),
		Slots:     g.Slots,
		ServiceUs: g.ShortServiceTime().Microseconds(),
	}
	if len(g.running) >= g.Slots {
		work := time.Duration(g.queuedShort+1) * g.ShortServiceTime()
		report.WaitUs = (work / g.classSlots(model.Short)).Microseconds()
	}
	return report
}

// ShortServiceTime returns the recent mean service time of short work, or zero before the first measurement.
func (g *Gate[D]) ShortServiceTime() time.Duration {
	return g.classTimes[model.Short].average()
}

// dispatch starts waiting tickets while slots are free. It refuses tickets whose turn comes too late to finish in
// time, and tickets that the discipline returns as overdue.
func (g *Gate[D]) dispatch(now time.Time) []Decision {
	decisions := g.startWaiting(now)
	for {
		ticket, found := g.discipline.PopOverdue()
		if !found {
			return decisions
		}
		g.untrackQueued(ticket.ID)
		decisions = append(decisions, refusal(ticket, model.TooLate, g.retryAfter(ticket, 0)))
	}
}

// startWaiting starts waiting tickets while slots are free, and refuses those that would miss their deadline.
func (g *Gate[D]) startWaiting(now time.Time) []Decision {
	var decisions []Decision
	for len(g.running) < g.NestedSlots {
		ticket, found := g.discipline.Pop(g.canStart)
		if !found {
			return decisions
		}
		g.untrackQueued(ticket.ID)
		if g.wouldMissDeadline(now, ticket) {
			decisions = append(decisions, refusal(ticket, model.TooLate, 0))
			continue
		}
		decisions = append(decisions, g.start(now, ticket))
	}
	return decisions
}

// canStart reports whether a slot is free that the ticket may use.
func (g *Gate[D]) canStart(ticket Ticket) bool {
	slots := g.Slots
	if ticket.Nested && g.waitsLong(ticket) {
		slots = g.NestedSlots
	}
	if len(g.running) >= slots {
		return false
	}
	if ticket.Class == model.Short {
		return true
	}
	limits, _ := g.limitsOf(ticket)
	return g.runningLong < limits.LongSlots
}

func (g *Gate[D]) start(now time.Time, ticket Ticket) Decision {
	g.running[ticket.ID] = &runningTicket{ticket: ticket, startedAt: now}
	if ticket.Class == model.Long {
		g.runningLong++
	} else {
		g.runningShort.Set(ticket.ID, now)
	}
	limits, _ := g.limitsOf(ticket)
	g.discipline.Started(ticket, limits, g.classTimes[ticket.Class].average())
	return Decision{Ticket: ticket.ID, Action: Start}
}

func (g *Gate[D]) trackQueued(ticket Ticket) {
	g.queued.Set(ticket.ID, queued{deadline: ticket.Deadline, class: ticket.Class})
	if ticket.Class == model.Short {
		g.queuedShort++
	}
}

func (g *Gate[D]) untrackQueued(id uint64) bool {
	waiting, found := g.queued.Remove(id)
	if found && waiting.class == model.Short {
		g.queuedShort--
	}
	return found
}

func earlierDeadline(a, b queued) bool { return a.deadline.Before(b.deadline) }

// limitsOf returns the customer's limits with the guarantee and the slots for long work scaled to the present
// number of slots, and reports whether the customer has limits.
func (g *Gate[D]) limitsOf(ticket Ticket) (model.Limits, bool) {
	limits, known := g.limits[ticket.Customer]
	slots := min(g.Slots, g.nominalSlots)
	limits.Guaranteed = limits.Guaranteed * slots / g.nominalSlots
	limits.LongSlots = max(1, limits.LongSlots*slots/g.nominalSlots)
	return limits, known
}

func refusal(ticket Ticket, reason model.Reason, retryAfter time.Duration) Decision {
	return Decision{Ticket: ticket.ID, Action: Refuse, Reason: reason, RetryAfter: retryAfter}
}
