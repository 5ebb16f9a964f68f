// Package adapt finds out how many slots an upstream can use well at present.
//
// A Limiter gathers run times in windows and lets a policy set the limit after each. It is a state machine
// without a clock; its caller guards it and passes the limit on to the gate.
package adapt

import "time"

const (
	// windowSamples is how many runs make a window.
	windowSamples = 64
	// fallSmoothing and riseSmoothing move the baseline towards a window's mean: faster down than up, so
	// that it stays near the unloaded run time through a slow spell and yet follows a lasting change.
	fallSmoothing = 1.0 / 64
	riseSmoothing = 1.0 / 512
	// firstWindows is how many windows the baseline is a plain average of at first.
	firstWindows = 16
	// largestRatio caps a sample as a multiple of the baseline, so that one straggler does not make a window.
	largestRatio = 20
	// leastSpan keeps the rate of a window finite.
	leastSpan = time.Millisecond
)

// Sample is one run of short work on the upstream.
type Sample struct {
	// RunTime is how long it held its slot.
	RunTime time.Duration
	// InFlight counts the slots in use just before it ended, its own among them.
	InFlight int
	// Shed says that the upstream refused it.
	Shed bool
}

// Window sums up the samples since the last change of the limit.
type Window struct {
	// Mean is the mean run time.
	Mean time.Duration
	// Baseline is the run time to expect of an upstream that nothing else loads.
	Baseline time.Duration
	// Peak is the most slots in use.
	Peak int
	// Saturated says that every sample found all slots in use, so that Rate is the upstream's own.
	Saturated bool
	// Rate counts the runs that ended per second.
	Rate float64
	// Shed counts the runs that the upstream refused.
	Shed int
}

// Policy sets a limit. It is the part of a Limiter that varies.
type Policy interface {
	// Next returns the limit after a window.
	Next(limit float64, window Window) float64
}

// Limiter keeps the limit of one upstream.
type Limiter[P Policy] struct {
	// Least and Most bound the limit; at least 1.
	Least, Most int

	policy    P
	limit     float64
	baseline  float64
	windows   int
	count     int
	total     time.Duration
	startedAt time.Time
	idle      bool
	window    Window
}

// New returns a limiter that starts at the largest limit.
func New[P Policy](least, most int, policy P) *Limiter[P] {
	return &Limiter[P]{Least: max(1, least), Most: max(1, most), policy: policy, limit: float64(max(1, most))}
}

// SetMaxLimit follows a change of the upstream's published slots. A limit that was not cut stays uncut.
func (l *Limiter[P]) SetMaxLimit(most int) {
	uncut := l.limit >= float64(l.Most)
	l.Most = max(1, most)
	if uncut {
		l.limit = float64(l.Most)
	}
	l.limit = min(l.limit, float64(l.Most))
}

// Slots returns the limit as whole slots.
func (l *Limiter[P]) Slots() int { return int(l.limit) }

// Observe takes a sample and returns the limit that follows.
func (l *Limiter[P]) Observe(now time.Time, sample Sample) int {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	l.count++
	l.idle = l.idle || sample.InFlight < l.Slots()
	l.total += l.capped(sample.RunTime)
	l.window.Peak = max(l.window.Peak, sample.InFlight)
	if sample.Shed {
		l.window.Shed++
	}
	if l.count < windowSamples {
		return l.Slots()
	}
	l.close(now)
	return l.Slots()
}

func (l *Limiter[P]) capped(held time.Duration) time.Duration {
	if l.windows == 0 {
		return held
	}
	return min(held, time.Duration(largestRatio*l.baseline))
}

// close ends a window.
func (l *Limiter[P]) close(now time.Time) {
	mean := float64(l.total) / float64(l.count)
	l.follow(mean)
	l.window.Mean = time.Duration(mean)
	l.window.Baseline = time.Duration(l.baseline)
	l.window.Saturated = !l.idle
	l.window.Rate = float64(l.count) / max(leastSpan, now.Sub(l.startedAt)).Seconds()
	next := l.policy.Next(l.limit, l.window)
	l.limit = min(max(next, float64(l.Least)), float64(l.Most))
	l.window = Window{}
	l.startedAt = now
	l.idle = false
	l.count = 0
	l.total = 0
}

// follow moves the baseline, which starts as a plain average.
func (l *Limiter[P]) follow(mean float64) {
	l.windows++
	smoothing := riseSmoothing
	if mean < l.baseline {
		smoothing = fallSmoothing
	}
	if l.windows <= firstWindows {
		smoothing = 1 / float64(l.windows)
	}
	l.baseline += smoothing * (mean - l.baseline)
}
