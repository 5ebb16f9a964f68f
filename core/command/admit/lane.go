package admit

import (
	"slices"
	"time"

	"comfreytack/core/heap"
	"comfreytack/core/model"
)

const (
	millislotsPerSlot = 1000
	// minCharge is the least slot time that a ticket is charged, so that work that ends at once cannot
	// start over and over at the same virtual time.
	minCharge = 100 * time.Microsecond
)

// flows orders flows by tag.
type flows = heap.Heap[*flow, *flow]

// flow is the work of one customer in one lane.
type flow struct {
	customer model.Customer
	lane     *lane
	// among is the heap of the lane that the flow stands in, or nil.
	among *flows
	// weight is at least 1.
	weight float64
	// guaranteed is how many whole slots the flow may claim before others; zero in lanes of long work.
	guaranteed int
	// queue has the waiting tickets in order of arrival.
	queue []Ticket
	// running counts the slots that the flow holds.
	running int
	// tag is the virtual time at which the flow's next ticket starts; while the flow waits it is at
	// least the lane's virtual time.
	tag float64
	// mean is the moving average of the flow's own service times; zero before the first.
	mean estimate
}

// lane holds the flows of one tier and class. Virtual time is slot time in seconds over weight.
type lane struct {
	class model.Class
	// flows has every flow that waits, runs or still owes for slots that it took in this backlog.
	flows map[model.Customer]*flow
	// reserved has the waiting flows below their guarantee and borrowing the other waiting ones, least
	// tag first; indebted has the flows that neither wait nor run and owe.
	reserved  *flows
	borrowing *flows
	indebted  *flows
	// virtual never falls while the lane has a flow; no waiting flow's tag is below it.
	virtual float64
	// weight sums the weights of the waiting flows, and waiting counts their tickets.
	weight  float64
	waiting int
}

func newLane(class model.Class) *lane {
	return &lane{
		class:     class,
		flows:     map[model.Customer]*flow{},
		reserved:  heap.New[*flow](before),
		borrowing: heap.New[*flow](before),
		indebted:  heap.New[*flow](before),
	}
}

// before orders flows by tag; of two that are level, the one that holds less for its weight goes first.
func before(a, b *flow) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
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

// push adds a ticket to its customer's flow and returns the flow.
func (l *lane) push(ticket Ticket, limits model.Limits) *flow {
	owner := l.flow(ticket.Customer, limits)
	owner.queue = append(owner.queue, ticket)
	l.waiting++
	if len(owner.queue) == 1 {
		l.weight += owner.weight
	}
	l.place(owner)
	return owner
}

// next returns the flow whose first ticket comes up, or nil when none waits.
func (l *lane) next() *flow {
	if _, first, found := l.reserved.Least(); found {
		return first
	}
	_, first, _ := l.borrowing.Least()
	return first
}

// pop takes the first ticket of a waiting flow.
func (l *lane) pop(owner *flow) Ticket {
	ticket := owner.queue[0]
	l.take(owner, 0)
	return ticket
}

// remove takes out one ticket of a waiting flow.
func (l *lane) remove(owner *flow, id uint64) {
	i := slices.IndexFunc(owner.queue, func(t Ticket) bool { return t.ID == id })
	l.take(owner, i)
}

func (l *lane) take(owner *flow, i int) {
	owner.queue = slices.Delete(owner.queue, i, i+1)
	l.waiting--
	if len(owner.queue) == 0 {
		owner.queue = nil
		l.weight -= owner.weight
	}
	l.place(owner)
}

// start charges a flow for a ticket that takes a slot.
func (l *lane) start(ticket Ticket, limits model.Limits, estimate time.Duration) charge {
	owner := l.flow(ticket.Customer, limits)
	if owner.mean.mean != 0 {
		estimate = owner.mean.average()
	}
	cost := max(minCharge, estimate).Seconds() / owner.weight
	l.advance(owner.tag)
	owner.tag += cost
	owner.running++
	l.place(owner)
	return charge{flow: owner, virtual: cost}
}

// settle ends a ticket and corrects its charge to the time that it held a slot.
func (l *lane) settle(paid charge, held time.Duration) {
	owner := paid.flow
	owner.mean.add(held)
	owner.tag += max(minCharge, held).Seconds()/owner.weight - paid.virtual
	l.end(owner)
}

// end gives up one slot of a flow.
func (l *lane) end(owner *flow) {
	owner.running--
	l.place(owner)
}

// advance moves the virtual time to the tag of a ticket that starts, but never past a waiting flow.
func (l *lane) advance(tag float64) {
	for _, waiting := range []*flows{l.reserved, l.borrowing} {
		if _, first, found := waiting.Least(); found {
			tag = min(tag, first.tag)
		}
	}
	if tag <= l.virtual {
		return
	}
	l.virtual = tag
	for {
		first, _, found := l.indebted.Least()
		if !found || first.tag > l.virtual {
			return
		}
		l.drop(first)
	}
}

// flow returns the customer's flow for a change that ends with place. One that was not waiting joins at the
// virtual time, or at its own tag when it owes; it leaves the indebted, so that advance cannot drop it.
func (l *lane) flow(customer model.Customer, limits model.Limits) *flow {
	owner, found := l.flows[customer]
	if !found {
		owner = &flow{customer: customer, lane: l, weight: 1}
		l.flows[customer] = owner
	}
	if owner.among == l.indebted {
		l.move(owner, nil)
	}
	owner.setLimits(limits)
	owner.tag = max(owner.tag, l.virtual)
	return owner
}

// place puts a flow into the heap that its state asks for, and drops it when nothing is left to know of it.
func (l *lane) place(owner *flow) {
	owner.tag = max(owner.tag, l.virtual)
	switch {
	case len(owner.queue) > 0 && owner.running < owner.guaranteed:
		l.move(owner, l.reserved)
	case len(owner.queue) > 0:
		l.move(owner, l.borrowing)
	case owner.running > 0:
		l.move(owner, nil)
	case l.waiting > 0 && owner.tag > l.virtual:
		l.move(owner, l.indebted)
	default:
		l.drop(owner)
	}
	if l.waiting == 0 {
		l.forgive()
	}
}

// move takes a flow to its place in a heap, or out of all of them.
func (l *lane) move(owner *flow, among *flows) {
	if owner.among != nil && owner.among != among {
		owner.among.Remove(owner)
	}
	owner.among = among
	if among != nil {
		among.Set(owner, owner)
	}
}

// drop forgets a flow.
func (l *lane) drop(owner *flow) {
	l.move(owner, nil)
	delete(l.flows, owner.customer)
}

// forgive drops all debts once the backlog is over, since then nobody has to wait for their sake.
func (l *lane) forgive() {
	for {
		first, _, found := l.indebted.Least()
		if !found {
			break
		}
		l.drop(first)
	}
	if len(l.flows) == 0 {
		l.virtual = 0
	}
}

// ahead estimates the slot time that starts before one more ticket of the customer.
func (l *lane) ahead(ticket Ticket, limits model.Limits, each time.Duration) time.Duration {
	weight := float64(max(1, limits.Weight))
	others := l.weight
	tag := l.virtual
	queued := 0
	if owner, found := l.flows[ticket.Customer]; found {
		tag = max(tag, owner.tag)
		queued = len(owner.queue)
	}
	if queued > 0 {
		others -= weight
	}
	own := time.Duration(queued) * each
	shared := time.Duration((tag - l.virtual + own.Seconds()/weight) * others * float64(time.Second))
	return min(own+max(0, shared), time.Duration(l.waiting)*each)
}
