package adapt

// Fixed never changes the limit.
type Fixed struct{}

// Next implements Policy.
func (Fixed) Next(limit float64, _ Window) float64 { return limit }

// AIMD adds to the limit while run times are near the baseline and the limit is in use, and cuts it by a
// factor when they are not or the upstream sheds.
type AIMD struct {
	// Add is what a good window adds, in slots.
	Add float64
	// Cut is what a bad window multiplies with; between 0 and 1.
	Cut float64
	// Tolerance is the ratio of run time to baseline above which a window is bad; above 1.
	Tolerance float64
}

// Next implements Policy.
func (p AIMD) Next(limit float64, window Window) float64 {
	if window.Shed > 0 || float64(window.Mean) > p.Tolerance*float64(window.Baseline) {
		return limit * p.Cut
	}
	if window.Peak < int(limit) {
		return limit
	}
	return limit + p.Add
}

// Gradient scales the limit by the ratio of baseline to run time and adds room to grow into.
type Gradient struct {
	// Tolerance is the ratio of run time to baseline that is not held against the upstream; at least 1.
	Tolerance float64
	// Room is what each window adds, in slots.
	Room float64
	// Smoothing is the weight of the new limit against the old one; from 0 to 1.
	Smoothing float64
}

// leastGradient bounds how far one window can scale the limit down.
const leastGradient = 0.5

// Next implements Policy.
func (p Gradient) Next(limit float64, window Window) float64 {
	gradient := p.Tolerance * float64(window.Baseline) / float64(max(1, window.Mean))
	gradient = min(1, max(leastGradient, gradient))
	next := limit*gradient + p.Room
	if gradient == 1 && window.Peak < int(limit) {
		return limit
	}
	return limit + p.Smoothing*(next-limit)
}

// Verified cuts the limit like AIMD, but keeps a cut only when the upstream then gets as much done as
// before. Run times alone cannot tell a slow upstream from heavier requests; the rate can, since fewer
// slots raise it only where the upstream wastes work on concurrency.
type Verified struct {
	// Cut is what a cut multiplies the limit with; between 0 and 1.
	Cut float64
	// Tolerance is the ratio of run time to baseline above which a cut is tried; above 1.
	Tolerance float64
	// Gain is the ratio of rates after and before that a cut must reach to be kept.
	Gain float64

	// before are the limit and the rate that a tried cut is compared with; the rate is 0 while none is.
	before struct{ limit, rate float64 }
	// rate is the moving average of the slow windows in a row, and tried sums the rates of a tried cut.
	rate  float64
	tried float64
	// slow counts the saturated windows above the tolerance in a row.
	slow int
	// windows counts the windows of a tried cut, and pause those until the next may be tried.
	windows int
	pause   int
	// backoff is the pause that follows the next cut that fails.
	backoff int
}

const (
	// defaultCut, defaultTolerance and defaultGain are the fields that NewVerified sets.
	defaultCut       = 0.7
	defaultTolerance = 1.5
	defaultGain      = 1
	// settlingWindows are left out after a cut, since they hold runs from before it.
	settlingWindows = 1
	// triedWindows is how many windows a cut is judged by.
	triedWindows = 3
	// slowWindows is how many slow windows in a row call for a cut.
	slowWindows = 2
	// leastBackoff and mostBackoff bound the windows between a failed cut and the next.
	leastBackoff = 8
	mostBackoff  = 128
	// earlyRatio is the ratio of a window's rate to the rate before below which a cut has failed.
	earlyRatio = 0.8
	// rateWindows is how many windows the rate before a cut averages over, more or less.
	rateWindows = 4
)

// NewVerified returns the policy with the fields that did best over models of an upstream.
func NewVerified() *Verified {
	return &Verified{Cut: defaultCut, Tolerance: defaultTolerance, Gain: defaultGain}
}

// Next implements Policy.
func (p *Verified) Next(limit float64, window Window) float64 {
	if p.before.rate > 0 {
		return p.judge(limit, window)
	}
	p.pause = max(0, p.pause-1)
	slow := window.Shed > 0 || float64(window.Mean) > p.Tolerance*float64(window.Baseline)
	if !window.Saturated || !slow {
		p.slow = 0
		p.rate = 0
		return limit + 1
	}
	p.slow++
	p.rate += (window.Rate - p.rate) / min(rateWindows, float64(p.slow))
	if p.slow < slowWindows || p.pause > 0 {
		return limit
	}
	p.before.limit = limit
	p.before.rate = p.rate
	p.windows = 0
	p.tried = 0
	return limit * p.Cut
}

// judge goes on with a tried cut, then keeps it or takes it back; a window that fell far ends it early.
func (p *Verified) judge(limit float64, window Window) float64 {
	p.windows++
	if p.windows <= settlingWindows {
		return limit
	}
	p.tried += window.Rate
	failed := window.Saturated && window.Rate < earlyRatio*p.Gain*p.before.rate
	if p.windows < settlingWindows+triedWindows && !failed {
		return limit
	}
	if !window.Saturated || p.tried >= triedWindows*p.Gain*p.before.rate {
		p.before.rate = 0
		p.slow = 0
		p.backoff = leastBackoff
		return limit
	}
	return p.restore()
}

// restore takes a cut back and lets the next one wait.
func (p *Verified) restore() float64 {
	p.before.rate = 0
	p.slow = 0
	p.pause = max(leastBackoff, p.backoff)
	p.backoff = min(mostBackoff, 2*p.pause)
	return p.before.limit
}
