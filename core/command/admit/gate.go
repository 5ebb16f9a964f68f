package admit

import (
	"time"

	"comfreytack/core/cache"
	"comfreytack/core/heap"
	"comfreytack/core/model"
)

// Gate hands out the slots of one upstream.
//
// After each method no waiting ticket could start: a free slot means that nothing that may use it waits.
type Gate[D Discipline] struct {
	// Slots is how many tickets may hold a slot at once; at least 1. SetLimits and Resize change it.
	Slots int

	discipline D
	limits     map[model.Customer]model.Limits
	// full is the number of slots that limits were made for.
	full    int
	running map[uint64]*held
	// long counts the running tickets of class Long.
	long int
	// queued has the waiting tickets by deadline, and queuedShort counts those of class Short.
	queued      *heap.Heap[uint64, queued]
	queuedShort int
	// shorts has the running tickets of class Short by their start.
	shorts *heap.Heap[uint64, time.Time]
	// overruns has the tickets that TakeOverruns returns next; at most one for each slot.
	overruns []uint64
	// turnover is the latest start of a short ticket that has ended by itself.
	turnover time.Time
	// times has the measured service times by class, and routes those of the named routes.
	times  [classes]estimate
	routes *cache.Cache[string, estimate]
}

// maxRoutes bounds the routes whose service times are remembered.
const maxRoutes = 1024

type queued struct {
	deadline time.Time
	class    model.Class
}

type held struct {
	ticket    Ticket
	startedAt time.Time
	// abandoned tickets do not end by themselves; how long they run says nothing of a service time.
	abandoned bool
}

// New returns a gate with free slots and no limits.
func New[D Discipline](slots int, discipline D) *Gate[D] {
	return &Gate[D]{
		Slots:      slots,
		full:       slots,
		discipline: discipline,
		running:    map[uint64]*held{},
		queued:     heap.New[uint64](sooner),
		shorts:     heap.New[uint64](time.Time.Before),
		routes:     cache.New[string, estimate](maxRoutes),
	}
}

// SetLimits replaces the limits of all customers, made for the given number of slots, and returns the
// decisions that follow for waiting tickets. Tickets that were accepted under earlier limits stay.
func (g *Gate[D]) SetLimits(now time.Time, slots int, limits map[model.Customer]model.Limits) []Decision {
	g.full = max(1, slots)
	g.limits = limits
	return g.Resize(now, slots)
}

// Resize changes the number of slots alone, as an adaptive limit does. Guarantees shrink and grow with
// it. Running tickets keep their slots: after a cut none starts until enough have finished.
func (g *Gate[D]) Resize(now time.Time, slots int) []Decision {
	g.Slots = max(1, slots)
	return g.fill(now)
}

// Arrive decides for a new ticket.
func (g *Gate[D]) Arrive(now time.Time, ticket Ticket) Decision {
	g.reclass(now)
	limits, known := g.limitsOf(ticket)
	if !known {
		return refusal(ticket, model.NoContract, 0)
	}
	if !ticket.Deadline.After(now) {
		return refusal(ticket, model.TooLate, 0)
	}
	expected := g.expected(ticket)
	ticket.Work = expected.average()
	if g.may(ticket) {
		return g.start(now, ticket)
	}
	if !ticket.Target.IsZero() && !ticket.Forced {
		return refusal(ticket, model.NearlyFull, 0)
	}
	wait := g.wait(ticket, limits)
	if g.discipline.Waiting(ticket) >= limits.Queue {
		return refusal(ticket, model.QueueFull, wait)
	}
	spare := g.spare(now, ticket, wait)
	if spare < 0 {
		return refusal(ticket, model.TooLate, g.comeBack(ticket, -spare))
	}
	g.discipline.Push(ticket, limits)
	g.enqueued(ticket)
	return Decision{Ticket: ticket.ID, Action: Wait}
}

// Finish frees the slot of a started ticket and returns the decisions that follow for waiting ones. It
// must not be called before the upstream's work is over: work whose caller is gone still loads the
// upstream.
func (g *Gate[D]) Finish(now time.Time, id uint64) []Decision {
	g.reclass(now)
	h, running := g.running[id]
	if !running {
		return nil
	}
	delete(g.running, id)
	g.shorts.Remove(id)
	if h.ticket.Class == model.Long {
		g.long--
	}
	g.measure(h, now.Sub(h.startedAt))
	limits, _ := g.limitsOf(h.ticket)
	g.discipline.Finished(h.ticket, now.Sub(h.startedAt), limits)
	return g.fill(now)
}

// Cancel takes out a waiting ticket. It returns false when the ticket is not waiting any more.
func (g *Gate[D]) Cancel(id uint64) bool {
	return g.dequeued(id) && g.discipline.Remove(id)
}

// Abandon notes that a running ticket will not end by itself, since its caller is gone or its upstream
// failed, so that how long it holds its slot does not count as a measured service time. The slot stays
// taken, and the customer charged, until Finish. It returns false when the ticket is not running.
func (g *Gate[D]) Abandon(id uint64) bool {
	h, running := g.running[id]
	if running {
		h.abandoned = true
	}
	return running
}

// NextDeadline returns the first deadline of the waiting tickets, or false when none waits.
func (g *Gate[D]) NextDeadline() (time.Time, bool) {
	_, first, found := g.queued.Least()
	return first.deadline, found
}

// Expire refuses the waiting tickets whose deadline has come.
func (g *Gate[D]) Expire(now time.Time) []Decision {
	var decisions []Decision
	for {
		id, first, found := g.queued.Least()
		if !found || first.deadline.After(now) {
			return decisions
		}
		g.dequeued(id)
		g.discipline.Remove(id)
		decisions = append(decisions, refusal(Ticket{ID: id}, model.TooLate, 0))
	}
}

// Report describes the gate's load. Upstream, Incarnation, Leaving and Revision are for the caller to
// fill in.
func (g *Gate[D]) Report() model.GateReport {
	report := model.GateReport{
		InFlight:  len(g.running),
		Queued:    g.discipline.Len(),
		Slots:     g.Slots,
		ServiceUs: g.ShortServiceTime().Microseconds(),
	}
	if len(g.running) >= g.Slots {
		work := time.Duration(g.queuedShort+1) * g.ShortServiceTime()
		report.WaitUs = (work / g.turning(model.Short)).Microseconds()
	}
	return report
}

// ShortServiceTime returns the recent mean service time of short work; zero before the first was measured.
func (g *Gate[D]) ShortServiceTime() time.Duration {
	return g.times[model.Short].average()
}

// fill starts waiting tickets while slots are free, and refuses those that come up too late to finish and those
// that only keep others waiting.
func (g *Gate[D]) fill(now time.Time) []Decision {
	decisions := g.startWaiting(now)
	for {
		ticket, found := g.discipline.Overdue()
		if !found {
			return decisions
		}
		g.dequeued(ticket.ID)
		decisions = append(decisions, refusal(ticket, model.TooLate, g.comeBack(ticket, 0)))
	}
}

// startWaiting starts waiting tickets while slots are free.
func (g *Gate[D]) startWaiting(now time.Time) []Decision {
	var decisions []Decision
	for len(g.running) < g.Slots {
		ticket, found := g.discipline.Pop(g.may)
		if !found {
			return decisions
		}
		g.dequeued(ticket.ID)
		if g.hopeless(now, ticket) {
			decisions = append(decisions, refusal(ticket, model.TooLate, 0))
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
	if ticket.Class == model.Short {
		return true
	}
	limits, _ := g.limitsOf(ticket)
	return g.long < limits.LongSlots
}

func (g *Gate[D]) start(now time.Time, ticket Ticket) Decision {
	g.running[ticket.ID] = &held{ticket: ticket, startedAt: now}
	if ticket.Class == model.Long {
		g.long++
	} else {
		g.shorts.Set(ticket.ID, now)
	}
	limits, _ := g.limitsOf(ticket)
	g.discipline.Started(ticket, limits, g.times[ticket.Class].average())
	return Decision{Ticket: ticket.ID, Action: Start}
}

func (g *Gate[D]) enqueued(ticket Ticket) {
	g.queued.Set(ticket.ID, queued{deadline: ticket.Deadline, class: ticket.Class})
	if ticket.Class == model.Short {
		g.queuedShort++
	}
}

func (g *Gate[D]) dequeued(id uint64) bool {
	waiting, found := g.queued.Remove(id)
	if found && waiting.class == model.Short {
		g.queuedShort--
	}
	return found
}

func sooner(a, b queued) bool { return a.deadline.Before(b.deadline) }

// limitsOf returns the customer's limits with its shares scaled to the slots that the gate has now.
func (g *Gate[D]) limitsOf(ticket Ticket) (model.Limits, bool) {
	limits, known := g.limits[ticket.Customer]
	slots := min(g.Slots, g.full)
	limits.Guaranteed = limits.Guaranteed * slots / g.full
	limits.LongSlots = max(1, limits.LongSlots*slots/g.full)
	return limits, known
}

func refusal(ticket Ticket, reason model.Reason, retryAfter time.Duration) Decision {
	return Decision{Ticket: ticket.ID, Action: Refuse, Reason: reason, RetryAfter: retryAfter}
}
