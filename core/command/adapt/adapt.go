// Package adapt adapts the concurrency limit of an upstream to its measured run times.
//
// A Limiter collects run times in windows and lets a Policy set the limit after each window. It is a state machine
// without a clock and not safe for concurrent use. The caller serializes calls and applies the limit to the gate.
package adapt

import "time"

const (
	// windowSamples is the number of samples in a window.
	windowSamples = 64
	// fallSmoothing and riseSmoothing are the weights of a window's mean in the baseline. The baseline falls
	// faster than it rises, so that it stays near the unloaded run time during a slowdown and still follows a
	// lasting change.
	fallSmoothing = 1.0 / 64
	riseSmoothing = 1.0 / 512
	// warmupWindows is the number of first windows over which the baseline is a plain average.
	warmupWindows = 16
	// maxSampleRatio caps a sample at a multiple of the baseline, so that a single straggler does not determine
	// the mean of a window.
	maxSampleRatio = 20
	// minWindowSpan is the minimum length of a window in the calculation of its rate, which keeps the rate finite.
	minWindowSpan = time.Millisecond
)

// Sample is one run of short work on the upstream.
type Sample struct {
	// RunTime is how long the run held its slot.
	RunTime time.Duration
	// InFlight is the number of slots in use just before the run ended, including its own.
	InFlight int
	// Shed says that the upstream refused the request.
	Shed bool
}

// Window summarizes the samples since the end of the previous window.
type Window struct {
	// Mean is the mean run time.
	Mean time.Duration
	// Baseline is the expected run time on the upstream without any other load.
	Baseline time.Duration
	// Peak is the maximum number of slots in use.
	Peak int
	// Saturated says that all slots were in use at every sample, so that Rate is limited by the upstream and
	// not by the arrivals.
	Saturated bool
	// Rate is the number of runs that ended per second.
	Rate float64
	// Shed is the number of runs that the upstream refused.
	Shed int
}

// Policy computes the limit of a Limiter.
type Policy interface {
	// Next returns the next limit, given the current limit and the window that has just ended.
	Next(limit float64, window Window) float64
}

// Limiter maintains the concurrency limit of one upstream.
type Limiter[P Policy] struct {
	// MinLimit and MaxLimit bound the limit; at least 1.
	MinLimit, MaxLimit int

	policy P
	limit  float64
	// baseline is Window.Baseline in nanoseconds, averaged over the number of windows so far.
	baseline float64
	windows  int
	// The fields below describe the current window.
	sampleCount int
	runTimeSum  time.Duration
	startedAt   time.Time
	sawFreeSlot bool
	window      Window
}

// New returns a limiter that starts at maxLimit.
func New[P Policy](minLimit, maxLimit int, policy P) *Limiter[P] {
	return &Limiter[P]{MinLimit: max(1, minLimit), MaxLimit: max(1, maxLimit), policy: policy, limit: float64(max(1, maxLimit))}
}

// SetMaxLimit changes MaxLimit, as when the upstream publishes a different number of slots. A limit that was at the
// old maximum moves to the new one.
func (l *Limiter[P]) SetMaxLimit(maxLimit int) {
	uncut := l.limit >= float64(l.MaxLimit)
	l.MaxLimit = max(1, maxLimit)
	if uncut {
		l.limit = float64(l.MaxLimit)
	}
	l.limit = min(l.limit, float64(l.MaxLimit))
}

// Slots returns the limit, rounded down to whole slots.
func (l *Limiter[P]) Slots() int { return int(l.limit) }

// Observe adds a sample to the window and returns the limit, which may have changed.
func (l *Limiter[P]) Observe(now time.Time, sample Sample) int {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	l.sampleCount++
	l.sawFreeSlot = l.sawFreeSlot || sample.InFlight < l.Slots()
	l.runTimeSum += l.capped(sample.RunTime)
	l.window.Peak = max(l.window.Peak, sample.InFlight)
	if sample.Shed {
		l.window.Shed++
	}
	if l.sampleCount < windowSamples {
		return l.Slots()
	}
	l.close(now)
	return l.Slots()
}

func (l *Limiter[P]) capped(runTime time.Duration) time.Duration {
	if l.windows == 0 {
		return runTime
	}
	return min(runTime, time.Duration(maxSampleRatio*l.baseline))
}

// close ends the window, sets the limit and starts a new window.
func (l *Limiter[P]) close(now time.Time) {
	mean := float64(l.runTimeSum) / float64(l.sampleCount)
	l.updateBaseline(mean)
	l.window.Mean = time.Duration(mean)
	l.window.Baseline = time.Duration(l.baseline)
	l.window.Saturated = !l.sawFreeSlot
	l.window.Rate = float64(l.sampleCount) / max(minWindowSpan, now.Sub(l.startedAt)).Seconds()
	next := l.policy.Next(l.limit, l.window)
	l.limit = min(max(next, float64(l.MinLimit)), float64(l.MaxLimit))
	l.window = Window{}
	l.startedAt = now
	l.sawFreeSlot = false
	l.sampleCount = 0
	l.runTimeSum = 0
}

// updateBaseline moves the baseline towards the mean of a window.
func (l *Limiter[P]) updateBaseline(mean float64) {
	l.windows++
	smoothing := riseSmoothing
	if mean < l.baseline {
		smoothing = fallSmoothing
	}
	if l.windows <= warmupWindows {
		smoothing = 1 / float64(l.windows)
	}
	l.baseline += smoothing * (mean - l.baseline)
}
