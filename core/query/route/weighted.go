package route

import (
	"math"
	"time"

	"comfreytack/core/query/pace"
)

// Weighted takes the one of a few random candidates whose answer is expected first.
//
// The expected time of a call is the network's round trip plus the service time, stretched by the load
// on the slots. Own evidence (calls in flight, latency, failures) outranks what a gate reports.
type Weighted struct {
	// Choices is how many random candidates are compared; at least 1.
	Choices int
	// NearChoices is how many of the own failure domain are compared besides, and then Choices counts those of
	// the others. Zero draws from all alike.
	NearChoices int
	// ReportLifetime is the age at which a gate's report counts for nothing.
	ReportLifetime time.Duration
	// ServiceLifetime is the age at which a gate's reported service time counts for nothing; it changes
	// more slowly than the gate's load.
	ServiceLifetime time.Duration
	// LatencyLifetime is the age at which the latency of own calls counts for nothing.
	LatencyLifetime time.Duration
	// OthersWeight is what a reported request of another daemon counts beside an own one, from 0 to 1.
	// Below 1 because many daemons read the same report and would all move to the same upstream.
	OthersWeight float64
	// RoundTrip is what a call to another failure domain adds.
	RoundTrip time.Duration
	// FarFactor multiplies the expected time in other failure domains: what their calls cost besides time.
	// Zero counts as 1.
	FarFactor float64
	// StrainFactor is how much longer an answer takes from an upstream that would rather not take the call.
	// Zero counts as 1.
	StrainFactor float64
	// ServiceTime is assumed of an upstream of which nothing is known; positive.
	ServiceTime time.Duration
	// Slots is assumed of an upstream of which nothing is known; at least 1.
	Slots int
	// ExploreOneIn is how many calls there are to one that goes to the candidate that has answered
	// least lately; zero for none. Without it a server that was slow would get no call that could show
	// that it has recovered, and its gate would report the old service time for ever.
	ExploreOneIn int
}

// leastSuccess bounds how far failures raise the cost of a candidate.
const leastSuccess = 0.05

// Choose implements Policy.
func (p Weighted) Choose(now time.Time, random Random, candidates []Candidate) int {
	if p.ExploreOneIn > 0 && random(p.ExploreOneIn) == 0 {
		return leastKnown(candidates)
	}
	near := 0
	if p.NearChoices > 0 {
		near = moveNearFirst(candidates)
	}
	nearest, nearCost := p.cheapest(now, random, candidates[:near], p.NearChoices)
	farther, farCost := p.cheapest(now, random, candidates[near:], p.Choices)
	if farCost < nearCost {
		return near + farther
	}
	return nearest
}

// cheapest returns the best of a few random candidates and its cost, which is infinite when there are none.
func (p Weighted) cheapest(now time.Time, random Random, candidates []Candidate, choices int) (int, float64) {
	best, bestCost := 0, math.Inf(1)
	for i := range min(choices, len(candidates)) {
		// Moves each drawn candidate to the front, so that none is drawn twice.
		drawn := i + random(len(candidates)-i)
		candidates[i], candidates[drawn] = candidates[drawn], candidates[i]
		if cost := p.cost(now, &candidates[i]); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

// moveNearFirst puts the candidates of the own failure domain first and returns how many there are.
//
//	[far near far near] -> [near near far far], 2
func moveNearFirst(candidates []Candidate) int {
	near := 0
	for i := range candidates {
		if candidates[i].Near {
			candidates[i], candidates[near] = candidates[near], candidates[i]
			near++
		}
	}
	return near
}

// leastKnown returns the candidate whose newest answer is the oldest.
func leastKnown(candidates []Candidate) int {
	least := 0
	for i := range candidates {
		if candidates[i].LatencyAt.Before(candidates[least].LatencyAt) {
			least = i
		}
	}
	return least
}

// cost is the expected time of a call in nanoseconds, raised for failures and for cold upstreams.
func (p Weighted) cost(now time.Time, c *Candidate) float64 {
	trust := trustAt(now, c.ReportAt, p.ReportLifetime)
	slots := float64(p.Slots)
	if c.Report.Slots > 0 {
		slots = float64(c.Report.Slots)
	}
	others := max(0, c.Report.InFlight+c.Report.Queued-c.InFlightAtReport)
	load := float64(c.InFlight) + p.OthersWeight*trust*float64(others)
	expected := p.serviceTime(now, c) * paceOf(now, c) * (1 + load/slots)
	if !c.Near {
		expected = (expected + float64(p.RoundTrip)) * max(1, p.FarFactor)
	}
	if c.Overloaded(now) {
		expected *= max(1, p.StrainFactor)
	}
	success := max(leastSuccess, 1-c.Failing)
	return expected / (success * success * max(leastSuccess, c.Warmth))
}

// paceOf is the factor by which the upstream's machine is slowed now: a slow spell that was reported is the
// less likely to go on the older the report is.
func paceOf(now time.Time, c *Candidate) float64 {
	if c.Report.PacePercent <= pace.Usual {
		return 1
	}
	age := float64(now.Sub(c.ReportAt))
	return 1 + (float64(c.Report.PacePercent)/pace.Usual-1)*math.Exp(-age/float64(pace.Lifetime))
}

// serviceTime blends the assumed, the reported and the observed time, each over the one before it.
func (p Weighted) serviceTime(now time.Time, c *Candidate) float64 {
	estimate := float64(p.ServiceTime)
	if c.Report.ServiceUs > 0 {
		reported := float64(c.Report.ServiceUs) * float64(time.Microsecond)
		trust := trustAt(now, c.ReportAt, p.ServiceLifetime)
		estimate += trust * (reported - estimate)
	}
	if c.Latency > 0 {
		evidence := trustAt(now, c.LatencyAt, p.LatencyLifetime)
		estimate += evidence * (float64(c.Latency) - estimate)
	}
	return estimate
}
