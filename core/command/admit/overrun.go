package admit

import (
	"time"

	"comfreytack/core/model"
)

// TakeOverruns returns the tickets that started as short and turned out to be long since the last call, so
// that their routes' class can be learnt before they end. It leaves out those of a time in which no later
// short work ended: then the upstream stands still and says nothing of a route.
func (g *Gate[D]) TakeOverruns() []uint64 {
	taken := g.overruns
	g.overruns = nil
	return taken
}

// reclass turns running short tickets that have taken far too long into long ones, so that they count
// against the slots for long work.
func (g *Gate[D]) reclass(now time.Time) {
	limit := g.times[model.Short].overrun()
	if limit == 0 {
		return
	}
	for {
		id, startedAt, found := g.shorts.Least()
		if !found || now.Sub(startedAt) < limit {
			return
		}
		g.shorts.Remove(id)
		h := g.running[id]
		h.ticket.Class = model.Long
		g.long++
		if startedAt.Before(g.turnover) && len(g.overruns) < g.Slots {
			g.overruns = append(g.overruns, id)
		}
		g.times[model.Short].add(limit)
		limits, _ := g.limitsOf(h.ticket)
		g.discipline.Reclassed(h.ticket, limits, g.times[model.Long].average())
	}
}

func (g *Gate[D]) measure(h *held, taken time.Duration) {
	if h.abandoned {
		return
	}
	g.times[h.ticket.Class].add(taken)
	if h.ticket.Route != "" {
		known, _ := g.routes.Get(h.ticket.Route)
		known.add(taken)
		g.routes.Set(h.ticket.Route, known)
	}
	if h.ticket.Class == model.Short && h.startedAt.After(g.turnover) {
		g.turnover = h.startedAt
	}
}
