package admit

import (
	"time"

	"comfreytack/core/model"
)

// TakeOverruns returns and clears the tickets that were reclassified from short to long since the last call, so
// that the class of their routes can be learnt before they end. A ticket is left out if no short work that
// started later has ended: then the upstream may be stalled, which says nothing about the route.
func (g *Gate[D]) TakeOverruns() []uint64 {
	taken := g.overruns
	g.overruns = nil
	return taken
}

// reclassifyOverruns changes running short tickets past the overrun threshold to long, so that they count against
// the slots for long work.
func (g *Gate[D]) reclassifyOverruns(now time.Time) {
	limit := g.classTimes[model.Short].overrunThreshold()
	if limit == 0 {
		return
	}
	for {
		id, startedAt, found := g.runningShort.Least()
		if !found || now.Sub(startedAt) < limit {
			return
		}
		g.runningShort.Remove(id)
		run := g.running[id]
		run.ticket.Class = model.Long
		g.runningLong++
		if startedAt.Before(g.latestCompletedStart) && len(g.overruns) < g.Slots {
			g.overruns = append(g.overruns, id)
		}
		g.classTimes[model.Short].add(limit)
		limits, _ := g.limitsOf(run.ticket)
		g.discipline.Reclassified(run.ticket, limits, g.classTimes[model.Long].average())
	}
}

func (g *Gate[D]) recordServiceTime(run *runningTicket, serviceTime time.Duration) {
	if run.abandoned {
		return
	}
	g.classTimes[run.ticket.Class].add(serviceTime)
	if run.ticket.Route != "" {
		known, _ := g.routeTimes.Get(run.ticket.Route)
		known.add(serviceTime)
		g.routeTimes.Set(run.ticket.Route, known)
	}
	if run.ticket.Class == model.Short && run.startedAt.After(g.latestCompletedStart) {
		g.latestCompletedStart = run.startedAt
	}
}
