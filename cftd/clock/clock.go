// Package clock tells how long the machine was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock compares the clock that counts suspensions with the steady one, which does not.
type Clock struct {
	// boot reads the clock that counts suspensions; now reads the steady one.
	boot func() time.Duration
	now  func() time.Time
	// bootAt and nowAt are what they read at the start.
	bootAt time.Duration
	nowAt  time.Time
}

// New returns a clock that counts from now on.
func New() *Clock { return newClock(bootTime, time.Now) }

func newClock(boot func() time.Duration, now func() time.Time) *Clock {
	return &Clock{boot: boot, now: now, bootAt: boot(), nowAt: now()}
}

// Slept returns how long the machine was suspended since the clock was made; never negative. It is exact to the time
// between two readings.
func (c *Clock) Slept() time.Duration {
	steady := c.now().Sub(c.nowAt)
	return max(0, c.boot()-c.bootAt-steady)
}

// bootTime reads the time since the machine's start with its suspensions. Linux has had this clock since 2.6.39; without
// it nothing counts as a suspension.
func bootTime() time.Duration {
	var value unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &value); err != nil {
		return 0
	}
	return time.Duration(value.Nano())
}
