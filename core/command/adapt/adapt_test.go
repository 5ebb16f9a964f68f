package adapt_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/adapt"
)

const (
	ms     = time.Millisecond
	slots  = 10
	steady = 16 * 64
	total  = 4 * steady
)

// drive keeps every slot busy with runs that take held(i, slots), and returns the least and the last limit.
func drive[P adapt.Policy](policy P, held func(i, slots int) time.Duration) (least, last int) {
	limiter := adapt.New(2, slots, policy)
	now := time.Unix(1000, 0)
	least = slots
	for i := range total {
		last = limiter.Slots()
		least = min(least, last)
		now = now.Add(held(i, last) / time.Duration(last))
		limiter.Observe(now, adapt.Sample{RunTime: held(i, last), InFlight: last})
	}
	return least, last
}

func TestLimiter(t *testing.T) {
	heavier := func(i, _ int) time.Duration {
		if i < steady {
			return 5 * ms
		}
		return 10 * ms
	}
	contended := func(i, slots int) time.Duration {
		if i < steady || slots <= 7 {
			return 5 * ms
		}
		return 12 * ms
	}
	stragglers := func(i, _ int) time.Duration {
		if i > steady && i%64 == 0 {
			return time.Minute
		}
		return 5 * ms
	}
	type drives func(held func(i, slots int) time.Duration) (least, last int)
	fixed := func(held func(i, slots int) time.Duration) (int, int) { return drive(adapt.Fixed{}, held) }
	aimd := func(held func(i, slots int) time.Duration) (int, int) {
		return drive(adapt.AIMD{Add: 1, Cut: 0.9, Tolerance: 1.5}, held)
	}
	gradient := func(held func(i, slots int) time.Duration) (int, int) {
		return drive(adapt.Gradient{Tolerance: 1.5, Room: 1, Smoothing: 0.5}, held)
	}
	verified := func(held func(i, slots int) time.Duration) (int, int) { return drive(adapt.NewVerified(), held) }
	tests := []struct {
		name        string
		drive       drives
		held        func(i, slots int) time.Duration
		least, last int
	}{
		{name: "fixed, contended", drive: fixed, held: contended, least: 10, last: 10},
		{name: "aimd, stragglers", drive: aimd, held: stragglers, least: 10, last: 10},
		{name: "aimd, contended", drive: aimd, held: contended, least: 7, last: 8},
		{name: "aimd, heavier requests", drive: aimd, held: heavier, least: 2, last: 2},
		{name: "gradient, heavier requests", drive: gradient, held: heavier, least: 4, last: 5},
		{name: "verified, stragglers", drive: verified, held: stragglers, least: 10, last: 10},
		{name: "verified, heavier requests", drive: verified, held: heavier, least: 7, last: 10},
		{name: "verified, contended", drive: verified, held: contended, least: 5, last: 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			least, last := test.drive(test.held)
			qt.Check(t, least, qt.Equals, test.least)
			qt.Check(t, last, qt.Equals, test.last)
		})
	}
}
