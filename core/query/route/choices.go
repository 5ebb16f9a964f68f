package route

import "time"

// TwoChoices compares two random candidates and takes the less loaded one.
type TwoChoices struct {
	// ReportLifetime is the age at which a gate's report counts for nothing.
	ReportLifetime time.Duration
}

// Choose implements Policy.
func (p TwoChoices) Choose(now time.Time, random Random, candidates []Candidate) int {
	first := random(len(candidates))
	if len(candidates) == 1 {
		return first
	}
	second := random(len(candidates) - 1)
	if second >= first {
		second++
	}
	if p.load(now, candidates[second]) < p.load(now, candidates[first]) {
		return second
	}
	return first
}

// load adds what is known exactly to a report that counts for less the older it is.
func (p TwoChoices) load(now time.Time, c Candidate) float64 {
	age := now.Sub(c.ReportAt)
	if c.ReportAt.IsZero() || age >= p.ReportLifetime {
		return float64(c.InFlight)
	}
	trust := 1 - float64(age)/float64(p.ReportLifetime)
	return float64(c.InFlight) + trust*float64(c.Report.InFlight+c.Report.Queued)
}
