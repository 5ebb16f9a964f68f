package stub

import (
	"strings"
	"time"
)

// reportSpacing is the time between two recorded loads.
const reportSpacing = 20 * time.Millisecond

// ColdFactor multiplies work times during a cold start.
const ColdFactor = 5

// WorkTime returns how long a request takes under the given switches.
// A request for 20 ms takes 200 ms with a slow factor of 10.
func WorkTime(asked time.Duration, switches Switches, now time.Time) time.Duration {
	factor := max(1, switches.SlowFactor)
	if now.Before(switches.ColdUntil) {
		factor *= ColdFactor
	}
	return time.Duration(float64(asked) * factor)
}

// RouteTime returns the work time of the longest prefix that matches path, or other.
func RouteTime(routes map[string]time.Duration, path string, other time.Duration) time.Duration {
	longest := ""
	for prefix, span := range routes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest, other = prefix, span
		}
	}
	return other
}

// Runs returns a copy of all runs so far, in order of their start.
func (u *Upstream) Runs() []Run {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return append([]Run{}, u.runs...)
}

// Health returns what a probe is told, with the lies and the lag that are switched on.
func (u *Upstream) Health() Health {
	switches := u.control.Current().State
	inFlight := int(u.inFlight.Load())
	if switches.ReportLag > 0 {
		inFlight = u.loadBefore(switches.ReportLag)
	}
	if lie, ok := switches.ReportInFlight.Get(); ok && lie >= 0 {
		inFlight = lie
	}
	return Health{Draining: switches.Draining, InFlight: inFlight, Slots: u.settings.Slots}
}

// loadBefore returns the recorded load of the given age, or the oldest that is kept.
func (u *Upstream) loadBefore(age time.Duration) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if len(u.loads) == 0 {
		return 0
	}
	back := int(age / reportSpacing)
	return u.loads[max(0, len(u.loads)-1-back)]
}
