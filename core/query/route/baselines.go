package route

import (
	"slices"
	"sync/atomic"
	"time"
)

// RoundRobin takes the candidates in turn, in the order of the slice.
type RoundRobin struct {
	next atomic.Uint64
}

// Choose implements Policy.
func (p *RoundRobin) Choose(_ time.Time, _ Random, candidates []Candidate) int {
	return int((p.next.Add(1) - 1) % uint64(len(candidates)))
}

// LeastInFlight takes the candidate with the fewest calls of this daemon in flight; random among equals.
type LeastInFlight struct{}

// Choose implements Policy.
func (LeastInFlight) Choose(_ time.Time, random Random, candidates []Candidate) int {
	start := random(len(candidates))
	best := start
	for i := range candidates {
		at := (start + i) % len(candidates)
		if candidates[at].InFlight < candidates[best].InFlight {
			best = at
		}
	}
	return best
}

// HotCold compares a few random candidates. Hot ones are those whose gate reports more requests than a quantile of all
// reports. It takes the cold candidate with the lowest reported latency, or the least loaded one if all are hot.
// Like probes, reports are reused until they are too old.
type HotCold struct {
	// Choices is how many random candidates are compared; at least 1.
	Choices int
	// HotQuantile is the share of candidates that are cold, from 0 to 1.
	HotQuantile float64
	// ReportLifetime is the age from which a gate's report is ignored.
	ReportLifetime time.Duration
}

// Choose implements Policy.
func (p HotCold) Choose(now time.Time, random Random, candidates []Candidate) int {
	limit := p.hotLimit(now, candidates)
	best := -1
	for i := range min(p.Choices, len(candidates)) {
		drawn := i + random(len(candidates)-i)
		candidates[i], candidates[drawn] = candidates[drawn], candidates[i]
		if best < 0 || p.before(now, &candidates[i], &candidates[best], limit) {
			best = i
		}
	}
	return best
}

func (p HotCold) before(now time.Time, a, b *Candidate, limit int) bool {
	loadA, loadB := p.load(now, a), p.load(now, b)
	hotA, hotB := loadA > limit, loadB > limit
	switch {
	case hotA != hotB:
		return hotB
	case hotA:
		return loadA < loadB
	default:
		return p.latency(now, a) < p.latency(now, b)
	}
}

// hotLimit returns the load that separates hot from cold.
func (p HotCold) hotLimit(now time.Time, candidates []Candidate) int {
	var buffer [maxHotColdLoads]int
	loads := buffer[:0]
	for i := range candidates[:min(len(candidates), maxHotColdLoads)] {
		loads = append(loads, p.load(now, &candidates[i]))
	}
	slices.Sort(loads)
	return loads[int(p.HotQuantile*float64(len(loads)-1))]
}

// maxHotColdLoads bounds the number of loads of which the quantile is taken.
const maxHotColdLoads = 64

// load counts the reported requests and this daemon's calls that began after the report.
func (p HotCold) load(now time.Time, c *Candidate) int {
	if ageWeight(now, c.ReportAt, p.ReportLifetime) == 0 {
		return c.InFlight
	}
	return c.Report.InFlight + c.Report.Queued + max(0, c.InFlight-c.InFlightAtReport)
}

func (p HotCold) latency(now time.Time, c *Candidate) int64 {
	if ageWeight(now, c.ReportAt, p.ReportLifetime) == 0 {
		return 0
	}
	return c.Report.WaitUs + c.Report.ServiceUs
}
