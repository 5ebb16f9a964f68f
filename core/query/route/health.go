package route

import "time"

// Healthy hides ejected candidates from the policy Inner.
//
// When more than half of the candidates are ejected, the cause is more likely this daemon or the load than the
// candidates, so all ejections are ignored. There is always a candidate left to choose.
type Healthy[P Policy] struct {
	// Inner chooses among the candidates that are left.
	Inner P
}

// Choose implements Policy.
func (h Healthy[P]) Choose(now time.Time, random Random, candidates []Candidate) int {
	healthy := moveEjectedBack(now, candidates)
	if 2*healthy < len(candidates) {
		healthy = len(candidates)
	}
	return h.Inner.Choose(now, random, candidates[:healthy])
}

// moveEjectedBack puts the ejected candidates last and returns how many others there are.
//
//	[a b(ejected) c] -> [a c b(ejected)], 2
func moveEjectedBack(now time.Time, candidates []Candidate) int {
	healthy := len(candidates)
	for i := 0; i < healthy; {
		if !now.Before(candidates[i].EjectedUntil) {
			i++
			continue
		}
		healthy--
		candidates[i], candidates[healthy] = candidates[healthy], candidates[i]
	}
	return healthy
}
