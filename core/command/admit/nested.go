package admit

import "time"

// SetNested sets how many tickets may hold a slot at once if the last of them are nested, and returns the decisions that
// follow for waiting tickets. It is for disciplines that order tickets one by one, such as Ranked.
func (g *Gate[D]) SetNested(now time.Time, slots int) []Decision {
	g.NestedSlots = max(g.Slots, slots)
	return g.dispatch(now)
}

// nestedSlowdown is by how much work is slower on an upstream that uses a slot of those that are kept free, as a share of
// its time.
const nestedSlowdown = 0.7

// waitsLong reports whether a ticket is expected to wait longer for one of the slots in use than it would lose in a slot of
// those that are kept free.
//
//	5 slots, running work of 200 ms: a slot in 40 ms  ->  work of 40 ms loses 28 ms: true
//	7 slots, running work of 60 ms: a slot in 9 ms    ->  work of 15 ms loses 11 ms: false
func (g *Gate[D]) waitsLong(ticket Ticket) bool {
	var running time.Duration
	for _, run := range g.running {
		running += run.ticket.ExpectedServiceTime
	}
	wait := float64(running) / float64(max(1, len(g.running))*g.Slots)
	return wait > nestedSlowdown*float64(ticket.ExpectedServiceTime)
}
