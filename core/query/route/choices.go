package route

import "time"

// TwoChoices compares two random candidates by their requests in flight and takes the less loaded one.
type TwoChoices struct {
	// ReportLifetime is the age at which the weight of a gate's report reaches zero.
	ReportLifetime time.Duration
}

// Choose implements Policy.
func (p TwoChoices) Choose(now time.Time, random Random, candidates []Candidate) int {
	first, second := twoOf(random, len(candidates))
	if p.load(now, &candidates[second]) < p.load(now, &candidates[first]) {
		return second
	}
	return first
}

// load adds this daemon's own calls, which are known exactly, and the reported requests, whose weight falls with age.
func (p TwoChoices) load(now time.Time, c *Candidate) float64 {
	weight := ageWeight(now, c.ReportAt, p.ReportLifetime)
	return float64(c.InFlight) + weight*float64(c.Report.InFlight+c.Report.Queued)
}

// twoOf returns two different indexes below n, or 0 twice when n is 1.
func twoOf(random Random, n int) (first, second int) {
	first = random(n)
	if n == 1 {
		return first, first
	}
	second = random(n - 1)
	if second >= first {
		second++
	}
	return first, second
}

// ageWeight falls linearly from 1 for new information to 0 at the end of its lifetime.
func ageWeight(now, updatedAt time.Time, lifetime time.Duration) float64 {
	age := now.Sub(updatedAt)
	if updatedAt.IsZero() || age >= lifetime {
		return 0
	}
	return 1 - float64(max(0, age))/float64(lifetime)
}
