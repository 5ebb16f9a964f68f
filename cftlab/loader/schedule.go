package loader

import (
	"math/rand/v2"
	"time"
)

// Schedule holds the intended send times since the start, in order. It implements vegeta.Pacer.
type Schedule []time.Duration

// NewSchedule draws Poisson arrivals within span.
func NewSchedule(stream Stream, span time.Duration, random *rand.Rand) Schedule {
	schedule := Schedule{}
	at := time.Duration(0)
	for at < span {
		rate, until := rateAt(stream, at, span)
		gap := until - at
		// Compared in seconds: at a tiny rate the drawn gap overflows a Duration.
		if gapSeconds := random.ExpFloat64() / rate; rate > 0 && gapSeconds < gap.Seconds() {
			gap = time.Duration(gapSeconds * float64(time.Second))
		}
		at += gap
		if at >= until {
			continue
		}
		schedule = append(schedule, at)
	}
	return schedule
}

// rateAt returns the rate at a time and when that rate ends. An arrival drawn beyond that end is drawn again at the
// next rate, which is exact because a Poisson process is memoryless.
func rateAt(stream Stream, at, span time.Duration) (float64, time.Duration) {
	rate := stream.Rate
	for _, step := range stream.Steps {
		begin := time.Duration(step.AtMs) * time.Millisecond
		if begin > at {
			return rate, min(begin, span)
		}
		rate = step.Rate
	}
	return rate, span
}

// Pace returns how long to wait for the next hit, and whether all hits were sent.
func (s Schedule) Pace(elapsed time.Duration, hits uint64) (time.Duration, bool) {
	if hits >= uint64(len(s)) {
		return 0, true
	}
	return max(0, s[hits]-elapsed), false
}

// Rate returns the mean rate over the whole schedule, in hits per second.
func (s Schedule) Rate(time.Duration) float64 {
	if len(s) == 0 {
		return 0
	}
	return float64(len(s)) / s[len(s)-1].Seconds()
}
