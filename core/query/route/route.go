// Package route picks the upstream for one attempt of a call.
//
// It only reads what the daemon knows of the upstreams; a Policy makes the choice.
package route

import (
	"math"
	"slices"
	"time"

	"comfreytack/core/model"
	"comfreytack/core/query/pace"
)

// Candidate is an upstream with what this daemon knows of its load.
type Candidate struct {
	// Upstream is the instance.
	Upstream model.Upstream
	// Near means that the upstream is in this daemon's failure domain.
	Near bool
	// InFlight is the exact number of this daemon's own calls in flight to the upstream.
	InFlight int
	// Report is the newest report of its gate; zero when there is none.
	Report model.GateReport
	// ReportAt is when Report was made, as far as this daemon knows; zero when there is none.
	ReportAt time.Time
	// InFlightAtReport is what InFlight was when Report arrived: the part of the report that is this daemon's own.
	InFlightAtReport int
	// Latency is the recent mean time of own calls that were answered; zero when there were none.
	Latency time.Duration
	// LatencyAt is when the newest own call was answered; zero when there was none.
	LatencyAt time.Time
	// Failing is the share of own recent calls that failed, from 0 to 1; it decays without calls.
	Failing float64
	// EjectedUntil is when an ejection for consecutive failures ends; zero when there was none.
	EjectedUntil time.Time
	// Silent is true when the upstream's gate did not answer a check and has not been heard since.
	Silent bool
	// Warmth is the share of a full load that a new incarnation may take, above 0 and up to 1.
	Warmth float64
}

// Overloaded reports whether the candidate is overloaded according to a recent report of its gate: the upstream has no
// free slot, or its machine is slowed by its neighbours.
func (c *Candidate) Overloaded(now time.Time) bool {
	if c.ReportAt.IsZero() || now.Sub(c.ReportAt) >= pace.Lifetime {
		return false
	}
	full := c.Report.InFlight >= c.Report.Slots
	return full || pace.Reading{Percent: c.Report.PacePercent, At: c.ReportAt}.Slow(now)
}

// WithoutOverloaded removes the overloaded candidates from the slice, in place.
func WithoutOverloaded(now time.Time, candidates []Candidate) []Candidate {
	return slices.DeleteFunc(candidates, func(c Candidate) bool { return c.Overloaded(now) })
}

// WithoutSilent removes the silent candidates from the slice, in place, unless all are silent.
func WithoutSilent(candidates []Candidate) []Candidate {
	silent := func(c Candidate) bool { return c.Silent }
	heard := func(c Candidate) bool { return !c.Silent }
	if !slices.ContainsFunc(candidates, heard) {
		return candidates
	}
	return slices.DeleteFunc(candidates, silent)
}

// LeastOverloaded returns the candidate that is expected to answer first when all are overloaded, or false when there
// is none. It weighs a slowdown against the wait for a slot. Both are counted in usual work times, so the choice does
// not depend on how long the work of this call takes:
//
//	full with as many queued as slots, idle at a pace of 400 percent  ->  the idle one
func LeastOverloaded(now time.Time, candidates []Candidate) (Candidate, bool) {
	least, leastCost := Candidate{}, math.Inf(1)
	for i := range candidates {
		if cost := candidates[i].overloadCost(now); cost < leastCost {
			least, leastCost = candidates[i], cost
		}
	}
	return least, len(candidates) > 0
}

// waitCost is the cost of waiting for a slot, in usual work times, without the wait for the requests ahead.
const waitCost = 2.5

// ejectedCost is above every other cost, so that an ejected upstream is called only if there is no other.
const ejectedCost = 1000

// overloadCost is the expected time of a call in usual work times according to the last report. Ejected candidates cost
// ejectedCost more.
func (c *Candidate) overloadCost(now time.Time) float64 {
	cost := slowdownFactor(now, c)
	if c.Report.InFlight >= c.Report.Slots {
		cost += waitCost + float64(c.Report.Queued)/float64(max(1, c.Report.Slots))
	}
	if now.Before(c.EjectedUntil) {
		cost += ejectedCost
	}
	return cost
}

// Random returns a number from 0 to n-1.
type Random func(n int) int

// Policy chooses among candidates.
type Policy interface {
	// Choose returns the index of the chosen candidate. The slice is not empty; Choose may reorder it.
	Choose(now time.Time, random Random, candidates []Candidate) int
}

// Picker picks upstreams by a policy.
type Picker[P Policy] struct {
	policy P
}

// New returns a picker with the policy.
func New[P Policy](policy P) *Picker[P] {
	return &Picker[P]{policy: policy}
}

// Pick returns the candidate to try, or false when there is none. It may reorder the slice.
func (p *Picker[P]) Pick(now time.Time, random Random, candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	chosen := p.policy.Choose(now, random, candidates)
	return candidates[chosen], true
}

// Only returns a copy of the candidates whose upstreams are named.
func Only(candidates []Candidate, named []model.UpstreamName) []Candidate {
	if len(named) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return !slices.Contains(named, c.Upstream.Name)
	})
}

// Without removes the upstreams that were tried from the slice, in place.
//
//	Without([a b c], [b]) -> [a c]
func Without(candidates []Candidate, tried []model.UpstreamName) []Candidate {
	if len(tried) == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c Candidate) bool {
		return slices.Contains(tried, c.Upstream.Name)
	})
}
