// Package clock measures how long the machine was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock compares two clocks: the boot clock goes on while the machine is suspended, the monotonic clock stops.
type Clock struct {
	// boot reads the boot clock; now reads the monotonic clock.
	boot func() time.Duration
	now  func() time.Time
	// bootAt and nowAt are their readings at the start.
	bootAt time.Duration
	nowAt  time.Time
}

// New returns a clock that starts now.
func New() *Clock { return newClock(bootTime, time.Now) }

func newClock(boot func() time.Duration, now func() time.Time) *Clock {
	return &Clock{boot: boot, now: now, bootAt: boot(), nowAt: now()}
}

// Suspended returns how long the machine was suspended since New; never negative. The two clocks are read one after the
// other, so the result is wrong by up to the time between the readings.
func (c *Clock) Suspended() time.Duration {
	steady := c.now().Sub(c.nowAt)
	return max(0, c.boot()-c.bootAt-steady)
}

// bootTime returns the time since the machine's start, including suspensions. Linux has had this clock since 2.6.39.
// Without it, Suspended always returns zero.
func bootTime() time.Duration {
	var value unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &value); err != nil {
		return 0
	}
	return time.Duration(value.Nano())
}
