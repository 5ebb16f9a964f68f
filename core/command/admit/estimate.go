package admit

import "time"

const (
	// smoothing is the weight of one sample in the moving averages.
	smoothing = 1.0 / 16
	// cautionDeviations is how many mean deviations above the mean a queued ticket must have time for.
	cautionDeviations = 2
	// overrunFactor is how many times the mean a short ticket may run before it counts as long.
	overrunFactor = 10
	// overrunFloor keeps very quick services from taking a pause of a scheduler for long work.
	overrunFloor = 20 * time.Millisecond
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

// average returns the mean; zero before the first sample.
func (e *estimate) average() time.Duration { return time.Duration(e.mean) }

// likely returns a service time that more than half of the tickets stay below.
func (e *estimate) likely() time.Duration {
	return time.Duration(e.mean + e.deviation)
}

// cautious returns a service time that most tickets stay below.
func (e *estimate) cautious() time.Duration {
	return time.Duration(e.mean + cautionDeviations*e.deviation)
}

// overrun returns the run time from which a short ticket counts as long; zero before the first sample.
func (e *estimate) overrun() time.Duration {
	if e.mean == 0 {
		return 0
	}
	return max(overrunFloor, overrunFactor*e.average())
}
