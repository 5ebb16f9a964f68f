package adapt

// Fixed never changes the limit.
type Fixed struct{}

// Next implements Policy.
func (Fixed) Next(limit float64, _ Window) float64 { return limit }

// AIMD (additive increase, multiplicative decrease) increases the limit while run times are near the baseline and
// the limit is fully used, and cuts it by a factor when run times are longer or the upstream sheds load.
type AIMD struct {
	// Add is the number of slots by which the limit is increased.
	Add float64
	// Cut is the factor by which the limit is cut; between 0 and 1.
	Cut float64
	// Tolerance is the ratio of run time to baseline above which the limit is cut; above 1.
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

// Gradient scales the limit by the ratio of baseline to run time and adds headroom, so that the limit can grow.
type Gradient struct {
	// Tolerance is the ratio of run time to baseline up to which the limit is not scaled down; at least 1.
	Tolerance float64
	// Headroom is the number of slots that each window adds.
	Headroom float64
	// Smoothing is the weight of the new limit in the moving average; from 0 to 1.
	Smoothing float64
}

// minGradient is the smallest factor by which one window scales the limit.
const minGradient = 0.5

// Next implements Policy.
func (p Gradient) Next(limit float64, window Window) float64 {
	gradient := p.Tolerance * float64(window.Baseline) / float64(max(1, window.Mean))
	gradient = min(1, max(minGradient, gradient))
	next := limit*gradient + p.Headroom
	if gradient == 1 && window.Peak < int(limit) {
		return limit
	}
	return limit + p.Smoothing*(next-limit)
}

// Verified cuts the limit like AIMD, but keeps a cut only if the rate afterwards is at least as high as before. Run
// times alone cannot distinguish a slow upstream from heavier requests. The rate can, since fewer slots raise it only
// if the upstream loses work to concurrency.
type Verified struct {
	// Cut is the factor by which the limit is cut; between 0 and 1.
	Cut float64
	// Tolerance is the ratio of run time to baseline above which a window is slow; above 1.
	Tolerance float64
	// Gain is the minimum ratio of the rates after and before a cut for the cut to be kept.
	Gain float64

	// beforeCut holds the limit and the rate before the cut on trial; the rate is 0 if none is on trial.
	beforeCut struct{ limit, rate float64 }
	// rate is the moving average of the rates of the consecutive slow windows, and trialRateSum the sum of the
	// rates since the cut on trial.
	rate         float64
	trialRateSum float64
	// slow counts the consecutive slow windows, all of them saturated.
	slow int
	// windowsSinceCut counts the windows since the cut on trial, and cooldown those until the next cut is allowed.
	windowsSinceCut int
	cooldown        int
	// backoff is the cooldown after the next cut that fails.
	backoff int
}

const (
	// defaultCut, defaultTolerance and defaultGain are the parameters that NewVerified sets.
	defaultCut       = 0.7
	defaultTolerance = 1.5
	defaultGain      = 1
	// settlingWindows is the number of windows ignored after a cut, since they include runs from before it.
	settlingWindows = 1
	// trialWindows is the number of windows by which a cut is evaluated.
	trialWindows = 3
	// slowWindows is the number of consecutive slow windows after which the limit is cut.
	slowWindows = 2
	// minBackoff and maxBackoff bound the number of windows between a failed cut and the next.
	minBackoff = 8
	maxBackoff = 128
	// earlyFailureRatio is the ratio of a window's rate to the required rate below which a trial ends early.
	earlyFailureRatio = 0.8
	// rateAverageWindows is about the number of windows in the moving average of the rate before a cut.
	rateAverageWindows = 4
)

// NewVerified returns the policy with the default parameters.
func NewVerified() *Verified {
	return &Verified{Cut: defaultCut, Tolerance: defaultTolerance, Gain: defaultGain}
}

// Next implements Policy.
func (p *Verified) Next(limit float64, window Window) float64 {
	if p.beforeCut.rate > 0 {
		return p.evaluateCut(limit, window)
	}
	p.cooldown = max(0, p.cooldown-1)
	slow := window.Shed > 0 || float64(window.Mean) > p.Tolerance*float64(window.Baseline)
	if !window.Saturated || !slow {
		p.slow = 0
		p.rate = 0
		return limit + 1
	}
	p.slow++
	p.rate += (window.Rate - p.rate) / min(rateAverageWindows, float64(p.slow))
	if p.slow < slowWindows || p.cooldown > 0 {
		return limit
	}
	p.beforeCut.limit = limit
	p.beforeCut.rate = p.rate
	p.windowsSinceCut = 0
	p.trialRateSum = 0
	return limit * p.Cut
}

// evaluateCut continues the trial of a cut, and at its end keeps the cut or reverts it. A window with a rate that is
// much too low ends the trial early.
func (p *Verified) evaluateCut(limit float64, window Window) float64 {
	p.windowsSinceCut++
	if p.windowsSinceCut <= settlingWindows {
		return limit
	}
	p.trialRateSum += window.Rate
	failed := window.Saturated && window.Rate < earlyFailureRatio*p.Gain*p.beforeCut.rate
	if p.windowsSinceCut < settlingWindows+trialWindows && !failed {
		return limit
	}
	if !window.Saturated || p.trialRateSum >= trialWindows*p.Gain*p.beforeCut.rate {
		p.beforeCut.rate = 0
		p.slow = 0
		p.backoff = minBackoff
		return limit
	}
	return p.revertCut()
}

// revertCut restores the limit before the cut and starts a cooldown.
func (p *Verified) revertCut() float64 {
	p.beforeCut.rate = 0
	p.slow = 0
	p.cooldown = max(minBackoff, p.backoff)
	p.backoff = min(maxBackoff, 2*p.cooldown)
	return p.beforeCut.limit
}
