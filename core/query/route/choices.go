package route

import "time"

// TwoChoices compares two random candidates by their requests in flight and takes the less loaded one.
type TwoChoices struct {
	// ReportLifetime is the age at which a gate's report counts for nothing.
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

// load adds what is known exactly to a report that counts for less the older it is.
func (p TwoChoices) load(now time.Time, c *Candidate) float64 {
	trust := trustAt(now, c.ReportAt, p.ReportLifetime)
	return float64(c.InFlight) + trust*float64(c.Report.InFlight+c.Report.Queued)
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

// trustAt falls in a straight line from 1 for something just learnt to 0 at the end of its lifetime.
func trustAt(now, learntAt time.Time, lifetime time.Duration) float64 {
	age := now.Sub(learntAt)
	if learntAt.IsZero() || age >= lifetime {
		return 0
	}
	return 1 - float64(max(0, age))/float64(lifetime)
}
