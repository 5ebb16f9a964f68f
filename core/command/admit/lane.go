package admit

import (
	"slices"
	"time"

	"comfreytack/core/heap"
	"comfreytack/core/model"
)

const (
	millislotsPerSlot = 1000
	// minCharge is the minimum slot time that a ticket is charged. Without it, work that ends at once could
	// start again and again at the same virtual time.
	minCharge = 100 * time.Microsecond
)

// flows is a heap of flows, ordered by flowBefore.
type flows = heap.Heap[*flow, *flow]

// flow is the work of one customer in one lane.
type flow struct {
	customer model.Customer
	lane     *lane
	// heap is the heap of the lane that the flow is in, or nil.
	heap *flows
	// weight is at least 1.
	weight float64
	// guaranteed is the number of whole slots up to which the flow goes before others; zero in lanes of long work.
	guaranteed int
	// queue holds the waiting tickets in order of arrival.
	queue []Ticket
	// running counts the slots that the flow holds.
	running int
	// startTag is the virtual time at which the flow's next ticket starts. While the flow waits, it is not below
	// the lane's virtual time.
	startTag float64
	// mean is the moving average of the flow's own service times; zero before the first measurement.
	mean estimate
}

// lane holds the flows of one tier and class. Virtual time is slot time in seconds divided by weight.
type lane struct {
	class model.Class
	// flows holds every flow that has waiting or running tickets, or whose start tag is still ahead of the
	// virtual time because of slots that it used during this backlog.
	flows map[model.Customer]*flow
	// reserved holds the waiting flows below their guarantee, and borrowing the other waiting flows. indebted
	// holds the flows without waiting or running tickets whose start tag is ahead of the virtual time.
	reserved  *flows
	borrowing *flows
	indebted  *flows
	// virtualTime never decreases while the lane has a flow; no waiting flow's start tag is below it.
	virtualTime float64
	// weight is the sum of the weights of the waiting flows, and waiting the number of their tickets.
	weight  float64
	waiting int
}

func newLane(class model.Class) *lane {
	return &lane{
		class:     class,
		flows:     map[model.Customer]*flow{},
		reserved:  heap.New[*flow](flowBefore),
		borrowing: heap.New[*flow](flowBefore),
		indebted:  heap.New[*flow](flowBefore),
	}
}

// flowBefore orders flows by start tag. If the tags are equal, the flow with fewer running tickets for its weight
// goes first.
func flowBefore(a, b *flow) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	holdsA := float64(a.running) / a.weight
	holdsB := float64(b.running) / b.weight
	if holdsA != holdsB {
		return holdsA < holdsB
	}
	return a.customer < b.customer
}

func (f *flow) setLimits(limits model.Limits) {
	weight := float64(max(1, limits.Weight))
	if len(f.queue) > 0 {
		f.lane.weight += weight - f.weight
	}
	f.weight = weight
	if f.lane.class == model.Short {
		f.guaranteed = limits.Guaranteed / millislotsPerSlot
	}
}

// push queues a ticket in its customer's flow and returns the flow.
func (l *lane) push(ticket Ticket, limits model.Limits) *flow {
	owner := l.flow(ticket.Customer, limits)
	owner.queue = append(owner.queue, ticket)
	l.waiting++
	if len(owner.queue) == 1 {
		l.weight += owner.weight
	}
	l.reposition(owner)
	return owner
}

// next returns the flow whose first ticket is served next, or nil if none waits.
func (l *lane) next() *flow {
	if _, first, found := l.reserved.Least(); found {
		return first
	}
	_, first, _ := l.borrowing.Least()
	return first
}

// pop removes and returns the first ticket of a waiting flow.
func (l *lane) pop(owner *flow) Ticket {
	ticket := owner.queue[0]
	l.removeAt(owner, 0)
	return ticket
}

// remove removes one ticket from a waiting flow.
func (l *lane) remove(owner *flow, id uint64) {
	i := slices.IndexFunc(owner.queue, func(t Ticket) bool { return t.ID == id })
	l.removeAt(owner, i)
}

func (l *lane) removeAt(owner *flow, i int) {
	owner.queue = slices.Delete(owner.queue, i, i+1)
	l.waiting--
	if len(owner.queue) == 0 {
		owner.queue = nil
		l.weight -= owner.weight
	}
	l.reposition(owner)
}

// start charges the customer's flow in advance for a ticket that takes a slot: by the flow's own mean service
// time, or by the given estimate if none was measured.
func (l *lane) start(ticket Ticket, limits model.Limits, estimate time.Duration) charge {
	owner := l.flow(ticket.Customer, limits)
	if owner.mean.mean != 0 {
		estimate = owner.mean.average()
	}
	cost := max(minCharge, estimate).Seconds() / owner.weight
	l.advanceVirtualTime(owner.startTag)
	owner.startTag += cost
	owner.running++
	l.reposition(owner)
	return charge{flow: owner, virtualCost: cost}
}

// finish ends a ticket and corrects its charge to the time that it held its slot.
func (l *lane) finish(charged charge, held time.Duration) {
	owner := charged.flow
	owner.mean.add(held)
	owner.startTag += max(minCharge, held).Seconds()/owner.weight - charged.virtualCost
	l.releaseSlot(owner)
}

// releaseSlot records that a flow holds one slot fewer.
func (l *lane) releaseSlot(owner *flow) {
	owner.running--
	l.reposition(owner)
}

// advanceVirtualTime moves the virtual time to the start tag of a ticket that starts, but not past the start tag
// of any waiting flow. It drops the indebted flows that the virtual time has reached.
func (l *lane) advanceVirtualTime(startTag float64) {
	for _, waiting := range []*flows{l.reserved, l.borrowing} {
		if _, first, found := waiting.Least(); found {
			startTag = min(startTag, first.startTag)
		}
	}
	if startTag <= l.virtualTime {
		return
	}
	l.virtualTime = startTag
	for {
		first, _, found := l.indebted.Least()
		if !found || first.startTag > l.virtualTime {
			return
		}
		l.drop(first)
	}
}

// flow returns the customer's flow, created if needed. The caller changes it and then calls reposition. A flow that
// was not waiting joins at the virtual time, or at its own start tag if that is later. An indebted flow leaves its
// heap, so that advanceVirtualTime cannot drop it.
func (l *lane) flow(customer model.Customer, limits model.Limits) *flow {
	owner, found := l.flows[customer]
	if !found {
		owner = &flow{customer: customer, lane: l, weight: 1}
		l.flows[customer] = owner
	}
	if owner.heap == l.indebted {
		l.move(owner, nil)
	}
	owner.setLimits(limits)
	owner.startTag = max(owner.startTag, l.virtualTime)
	return owner
}

// reposition puts a flow into the heap that matches its state, or drops it if it has no state worth keeping.
func (l *lane) reposition(owner *flow) {
	owner.startTag = max(owner.startTag, l.virtualTime)
	switch {
	case len(owner.queue) > 0 && owner.running < owner.guaranteed:
		l.move(owner, l.reserved)
	case len(owner.queue) > 0:
		l.move(owner, l.borrowing)
	case owner.running > 0:
		l.move(owner, nil)
	case l.waiting > 0 && owner.startTag > l.virtualTime:
		l.move(owner, l.indebted)
	default:
		l.drop(owner)
	}
	if l.waiting == 0 {
		l.clearDebts()
	}
}

// move puts a flow into its place in the given heap, or removes it from its present heap if heap is nil.
func (l *lane) move(owner *flow, heap *flows) {
	if owner.heap != nil && owner.heap != heap {
		owner.heap.Remove(owner)
	}
	owner.heap = heap
	if heap != nil {
		heap.Set(owner, owner)
	}
}

// drop removes a flow from the lane.
func (l *lane) drop(owner *flow) {
	l.move(owner, nil)
	delete(l.flows, owner.customer)
}

// clearDebts drops all indebted flows once the backlog is over: no flow waits that should be served before them.
func (l *lane) clearDebts() {
	for {
		first, _, found := l.indebted.Least()
		if !found {
			break
		}
		l.drop(first)
	}
	if len(l.flows) == 0 {
		l.virtualTime = 0
	}
}

// workAhead estimates the slot time of the work that would start before one more ticket of the customer.
func (l *lane) workAhead(ticket Ticket, limits model.Limits, perTicket time.Duration) time.Duration {
	weight := float64(max(1, limits.Weight))
	others := l.weight
	startTag := l.virtualTime
	queued := 0
	if owner, found := l.flows[ticket.Customer]; found {
		startTag = max(startTag, owner.startTag)
		queued = len(owner.queue)
	}
	if queued > 0 {
		others -= weight
	}
	own := time.Duration(queued) * perTicket
	shared := time.Duration((startTag - l.virtualTime + own.Seconds()/weight) * others * float64(time.Second))
	return min(own+max(0, shared), time.Duration(l.waiting)*perTicket)
}
