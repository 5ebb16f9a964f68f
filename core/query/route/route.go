// Package route picks the upstream that a call is tried on.
//
// It reads what is known and changes nothing. Policies are the part that varies.
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
	// Near says that the upstream is in this daemon's failure domain.
	Near bool
	// InFlight counts this daemon's own calls to it; exact.
	InFlight int
	// Report is the newest report of its gate; zero when there is none.
	Report model.GateReport
	// ReportAt is when Report was made, as far as known here; zero when there is none.
	ReportAt time.Time
	// InFlightAtReport is what InFlight was when Report arrived: the part of the report that is this daemon's own.
	InFlightAtReport int
	// Latency is the recent mean time of own calls that were answered; zero when there were none.
	Latency time.Duration
	// LatencyAt is when the newest own call was answered; zero when there was none.
	LatencyAt time.Time
	// Failing is the share of own recent calls that failed, from 0 to 1; it fades without calls.
	Failing float64
	// EjectedUntil is when an ejection for failures in a row ends; zero when there was none.
	EjectedUntil time.Time
	// Warmth is the share of a full load that a new incarnation may take, above 0 and up to 1.
	Warmth float64
}

// Overloaded tells whether the candidate's gate reported lately that it would rather not take a call: its
// upstream has no free slot or is slowed by its neighbours.
func (c *Candidate) Overloaded(now time.Time) bool {
	if c.ReportAt.IsZero() || now.Sub(c.ReportAt) >= pace.Lifetime {
		return false
	}
	full := c.Report.InFlight >= c.Report.Slots
	return full || pace.Reading{Percent: c.Report.PacePercent, At: c.ReportAt}.Slow(now)
}

// WithoutOverloaded takes the candidates that are strained out of the slice, in place.
func WithoutOverloaded(now time.Time, candidates []Candidate) []Candidate {
	return slices.DeleteFunc(candidates, func(c Candidate) bool { return c.Overloaded(now) })
}

// LeastOverloaded returns the candidate that is expected to answer first when all are strained, or false when there
// is none: one that can start the call at once before one where it waits, whatever the spell costs there.
//
//	full at the usual pace, idle in a fourfold spell  ->  the idle one, unless work is long
func LeastOverloaded(now time.Time, candidates []Candidate) (Candidate, bool) {
	least, leastCost := Candidate{}, math.Inf(1)
	for i := range candidates {
		if cost := candidates[i].strain(now); cost < leastCost {
			least, leastCost = candidates[i], cost
		}
	}
	return least, len(candidates) > 0
}

// waitCost is what a wait for a slot counts, in usual work times, before the wait for those ahead.
const waitCost = 2.5

// ejectedCost is above every other cost: an upstream that was ejected is called if there is no other.
const ejectedCost = 1000

// strain is the expected time of a call in usual work times, as far as the last report tells.
func (c *Candidate) strain(now time.Time) float64 {
	cost := paceOf(now, c)
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

// New returns a picker.
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

// Without takes the upstreams that were tried out of the slice, in place.
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
