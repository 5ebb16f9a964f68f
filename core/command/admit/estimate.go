package admit

import "time"

const (
	// smoothing is the weight of one sample in the moving averages.
	smoothing = 1.0 / 16
	// conservativeDeviations is how many mean deviations are added to the mean for a conservative bound.
	conservativeDeviations = 2
	// overrunFactor is how many times the mean a short ticket may run before it counts as long.
	overrunFactor = 10
	// minOverrunThreshold keeps a scheduler pause in a very fast service from being taken for long work.
	minOverrunThreshold = 20 * time.Millisecond
)

// estimate is a moving average of service times with its mean deviation, in nanoseconds.
type estimate struct {
	mean      float64
	deviation float64
}

func (e *estimate) add(sample time.Duration) {
	value := float64(sample)
	if e.mean == 0 {
		e.mean = value
		e.deviation = value / 2
		return
	}
	difference := value - e.mean
	e.mean += smoothing * difference
	e.deviation += smoothing * (max(difference, -difference) - e.deviation)
}

// average returns the mean, or zero before the first sample.
func (e *estimate) average() time.Duration { return time.Duration(e.mean) }

// likelyBound returns a service time that more than half of the tickets stay below: the mean plus one deviation.
func (e *estimate) likelyBound() time.Duration {
	return time.Duration(e.mean + e.deviation)
}

// conservativeBound returns a service time that most tickets stay below.
func (e *estimate) conservativeBound() time.Duration {
	return time.Duration(e.mean + conservativeDeviations*e.deviation)
}

// overrunThreshold returns the run time from which a short ticket counts as long, or zero before the first sample.
func (e *estimate) overrunThreshold() time.Duration {
	if e.mean == 0 {
		return 0
	}
	return max(minOverrunThreshold, overrunFactor*e.average())
}
