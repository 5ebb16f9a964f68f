package adapt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/adapt"
)

const (
	ms    = time.Millisecond
	slots = 10
	// steadySamples covers the 16 warm-up windows of 64 samples each; run times change only after them.
	steadySamples = 16 * 64
	totalSamples  = 4 * steadySamples
)

// drive keeps every slot busy with runs that take runTime(i, slots), and returns the lowest and the last limit.
func drive[P adapt.Policy](policy P, runTime func(i, slots int) time.Duration) (least, last int) {
	limiter := adapt.New(2, slots, policy)
	now := time.Unix(1000, 0)
	least = slots
	for i := range totalSamples {
		last = limiter.Slots()
		least = min(least, last)
		now = now.Add(runTime(i, last) / time.Duration(last))
		limiter.Observe(now, adapt.Sample{RunTime: runTime(i, last), InFlight: last})
	}
	return least, last
}

func TestLimiter(t *testing.T) {
	heavier := func(i, _ int) time.Duration {
		if i < steadySamples {
			return 5 * ms
		}
		return 10 * ms
	}
	contended := func(i, slots int) time.Duration {
		if i < steadySamples || slots <= 7 {
			return 5 * ms
		}
		return 12 * ms
	}
	stragglers := func(i, _ int) time.Duration {
		if i > steadySamples && i%64 == 0 {
			return time.Minute
		}
		return 5 * ms
	}
	type driver func(runTime func(i, slots int) time.Duration) (least, last int)
	fixed := func(runTime func(i, slots int) time.Duration) (int, int) { return drive(adapt.Fixed{}, runTime) }
	aimd := func(runTime func(i, slots int) time.Duration) (int, int) {
		return drive(adapt.AIMD{Add: 1, Cut: 0.9, Tolerance: 1.5}, runTime)
	}
	gradient := func(runTime func(i, slots int) time.Duration) (int, int) {
		return drive(adapt.Gradient{Tolerance: 1.5, Headroom: 1, Smoothing: 0.5}, runTime)
	}
	verified := func(runTime func(i, slots int) time.Duration) (int, int) { return drive(adapt.NewVerified(), runTime) }
	tests := []struct {
		name        string
		drive       driver
		runTime     func(i, slots int) time.Duration
		least, last int
	}{
		{name: "fixed, contended", drive: fixed, runTime: contended, least: 10, last: 10},
		{name: "aimd, stragglers", drive: aimd, runTime: stragglers, least: 10, last: 10},
		{name: "aimd, contended", drive: aimd, runTime: contended, least: 7, last: 8},
		{name: "aimd, heavier requests", drive: aimd, runTime: heavier, least: 2, last: 2},
		{name: "gradient, heavier requests", drive: gradient, runTime: heavier, least: 4, last: 5},
		{name: "verified, stragglers", drive: verified, runTime: stragglers, least: 10, last: 10},
		{name: "verified, heavier requests", drive: verified, runTime: heavier, least: 7, last: 10},
		{name: "verified, contended", drive: verified, runTime: contended, least: 5, last: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			least, last := test.drive(test.runTime)
			qt.Check(t, least, qt.Equals, test.least)
			qt.Check(t, last, qt.Equals, test.last)
		})
	}
}
