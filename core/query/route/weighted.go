package route

import (
	"math"
	"time"

	"comfreytack/core/query/pace"
)

// Weighted takes the one of a few random candidates whose answer is expected first.
//
// The expected time of a call is the network's round trip plus the service time, which is scaled by the load on the
// slots. What this daemon observes itself (calls in flight, latency, failures) takes precedence over a gate's reports.
type Weighted struct {
	// Choices is how many random candidates are compared; at least 1.
	Choices int
	// NearChoices is how many random candidates of this daemon's failure domain are compared in addition; Choices then
	// counts those of the other domains. Zero draws from all candidates alike.
	NearChoices int
	// ReportLifetime is the age at which the weight of a gate's report reaches zero.
	ReportLifetime time.Duration
	// ServiceLifetime is the age at which the weight of a gate's reported service time reaches zero; the service time
	// changes more slowly than the gate's load.
	ServiceLifetime time.Duration
	// LatencyLifetime is the age at which the weight of the latency of own calls reaches zero.
	LatencyLifetime time.Duration
	// OthersWeight is the weight of a reported request of another daemon, from 0 to 1; an own call has weight 1. It is
	// below 1 because many daemons read the same report and would all move to the same upstream.
	OthersWeight float64
	// RoundTrip is the network time that a call to another failure domain adds.
	RoundTrip time.Duration
	// FarFactor multiplies the expected time in other failure domains, for the cost of such calls besides their time.
	// Zero counts as 1.
	FarFactor float64
	// OverloadFactor multiplies the expected time of an overloaded upstream. Zero counts as 1.
	OverloadFactor float64
	// ServiceTime is assumed of an upstream of which nothing is known; positive.
	ServiceTime time.Duration
	// AssumeMean makes the mean of the upstreams of which something is known replace ServiceTime, if there are any.
	// Otherwise an upstream that has not been called for long looks faster than all others of a slow service.
	AssumeMean bool
	// Slots is assumed of an upstream of which nothing is known; at least 1.
	Slots int
	// ExploreOneIn sends one in so many calls to the candidate whose last answer is the oldest; zero sends none. Without
	// it, a server that was slow would get no call that could show that it has recovered, and its gate would go on
	// reporting the old service time.
	ExploreOneIn int
}

// minSuccess bounds how far failures raise the cost of a candidate.
const minSuccess = 0.05

// Choose implements Policy.
func (p Weighted) Choose(now time.Time, random Random, candidates []Candidate) int {
	if p.ExploreOneIn > 0 && random(p.ExploreOneIn) == 0 {
		return leastRecentlyAnswered(candidates)
	}
	if p.AssumeMean {
		p.ServiceTime = p.meanServiceTime(now, candidates)
	}
	near := 0
	if p.NearChoices > 0 {
		near = moveNearFirst(candidates)
	}
	bestNear, nearCost := p.cheapest(now, random, candidates[:near], p.NearChoices)
	bestFar, farCost := p.cheapest(now, random, candidates[near:], p.Choices)
	if farCost < nearCost {
		return near + bestFar
	}
	return bestNear
}

// meanServiceTime returns the mean service time of the candidates, each weighted by how recent the knowledge of it is, or
// ServiceTime when nothing is known of any.
func (p Weighted) meanServiceTime(now time.Time, candidates []Candidate) time.Duration {
	var sum, weights float64
	for i := range candidates {
		value, weight := p.knownServiceTime(now, &candidates[i])
		sum += weight * value
		weights += weight
	}
	if weights == 0 {
		return p.ServiceTime
	}
	return max(1, time.Duration(sum/weights))
}

// knownServiceTime returns what is known of a candidate's service time, and how recent that is: from 0, nothing is
// known, to 1.
func (p Weighted) knownServiceTime(now time.Time, c *Candidate) (value, weight float64) {
	reportWeight, latencyWeight := 0.0, 0.0
	if c.Report.ServiceUs > 0 {
		reportWeight = ageWeight(now, c.ReportAt, p.ServiceLifetime)
	}
	if c.Latency > 0 {
		latencyWeight = ageWeight(now, c.LatencyAt, p.LatencyLifetime)
	}
	reportWeight *= 1 - latencyWeight
	weight = reportWeight + latencyWeight
	if weight == 0 {
		return 0, 0
	}
	reported := float64(c.Report.ServiceUs) * float64(time.Microsecond)
	return (reportWeight*reported + latencyWeight*float64(c.Latency)) / weight, weight
}

// cheapest returns the index and the cost of the best of a few random candidates; the cost is infinite when there are
// none.
func (p Weighted) cheapest(now time.Time, random Random, candidates []Candidate, choices int) (int, float64) {
	best, bestCost := 0, math.Inf(1)
	for i := range min(choices, len(candidates)) {
		// Moves each drawn candidate to the front so that none is drawn twice.
		drawn := i + random(len(candidates)-i)
		candidates[i], candidates[drawn] = candidates[drawn], candidates[i]
		if cost := p.cost(now, &candidates[i]); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, bestCost
}

// moveNearFirst puts the candidates of this daemon's failure domain first and returns how many there are.
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

// leastRecentlyAnswered returns the index of the candidate whose last answer is the oldest.
func leastRecentlyAnswered(candidates []Candidate) int {
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
	reportWeight := ageWeight(now, c.ReportAt, p.ReportLifetime)
	slots := float64(p.Slots)
	if c.Report.Slots > 0 {
		slots = float64(c.Report.Slots)
	}
	others := max(0, c.Report.InFlight+c.Report.Queued-c.InFlightAtReport)
	load := float64(c.InFlight) + p.OthersWeight*reportWeight*float64(others)
	expected := p.serviceTime(now, c) * slowdownFactor(now, c) * (1 + load/slots)
	if !c.Near {
		expected = (expected + float64(p.RoundTrip)) * max(1, p.FarFactor)
	}
	if c.Overloaded(now) {
		expected *= max(1, p.OverloadFactor)
	}
	success := max(minSuccess, 1-c.Failing)
	return expected / (success * success * max(minSuccess, c.Warmth))
}

// slowdownFactor is the factor by which the upstream's machine is assumed to be slowed now. The older the report of a
// slowdown is, the less likely it is to last.
func slowdownFactor(now time.Time, c *Candidate) float64 {
	if c.Report.PacePercent <= pace.Usual {
		return 1
	}
	age := float64(now.Sub(c.ReportAt))
	return 1 + (float64(c.Report.PacePercent)/pace.Usual-1)*math.Exp(-age/float64(pace.Lifetime))
}

// serviceTime blends the assumed, the reported and the observed time, each with precedence over the one before it.
func (p Weighted) serviceTime(now time.Time, c *Candidate) float64 {
	estimate := float64(p.ServiceTime)
	if c.Report.ServiceUs > 0 {
		reported := float64(c.Report.ServiceUs) * float64(time.Microsecond)
		reportWeight := ageWeight(now, c.ReportAt, p.ServiceLifetime)
		estimate += reportWeight * (reported - estimate)
	}
	if c.Latency > 0 {
		latencyWeight := ageWeight(now, c.LatencyAt, p.LatencyLifetime)
		estimate += latencyWeight * (float64(c.Latency) - estimate)
	}
	return estimate
}
