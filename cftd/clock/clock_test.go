package clock

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSuspended(t *testing.T) {
	tests := []struct {
		name string
		// boot and steady are how far the boot clock and the monotonic clock advance.
		boot, steady time.Duration
		want         time.Duration
	}{
		{name: "awake", boot: 3 * time.Second, steady: 3 * time.Second},
		{name: "suspended", boot: 10 * time.Second, steady: 3 * time.Second, want: 7 * time.Second},
		{name: "read a little later", boot: 3 * time.Second, steady: 3*time.Second + time.Microsecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			boot, now := time.Hour, time.Unix(1000, 0)
			c := newClock(func() time.Duration { return boot }, func() time.Time { return now })
			boot += test.boot
			now = now.Add(test.steady)
			qt.Assert(t, c.Suspended(), qt.Equals, test.want)
		})
	}
}

// TestBootTime checks that the real clocks advance together while the machine is not suspended.
func TestBootTime(t *testing.T) {
	c := New()
	time.Sleep(20 * time.Millisecond)
	qt.Assert(t, bootTime() > 0, qt.IsTrue)
	qt.Assert(t, c.Suspended() < time.Second, qt.IsTrue)
}
