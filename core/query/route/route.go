// Package route picks the upstream that a call is tried on.
//
// It reads what is known and changes nothing. Policies are the part that varies.
package route

import (
	"time"

	"comfreytack/core/model"
)

// Candidate is an upstream with what this daemon knows of its load.
type Candidate struct {
	// Upstream is the instance.
	Upstream model.Upstream
	// InFlight counts this daemon's own calls to it; exact.
	InFlight int
	// Report is the newest report of its gate; zero when there is none.
	Report model.GateReport
	// ReportAt is when Report was made, as far as known here; zero when there is none.
	ReportAt time.Time
}

// Random returns a number from 0 to n-1.
type Random func(n int) int

// Policy chooses among candidates.
type Policy interface {
	// Choose returns the index of the chosen candidate. The slice is not empty.
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

// Pick returns the upstream to try, or false when there is no candidate.
func (p *Picker[P]) Pick(now time.Time, random Random, candidates []Candidate) (model.Upstream, bool) {
	if len(candidates) == 0 {
		return model.Upstream{}, false
	}
	return candidates[p.policy.Choose(now, random, candidates)].Upstream, true
}
