package stub

import (
	"strings"
	"time"
)

// loadSampleInterval is the time between two samples of the load.
const loadSampleInterval = 20 * time.Millisecond

// ColdFactor multiplies work times during a cold start.
const ColdFactor = 5

// WorkTime returns how long a request takes under the given switches.
// A request for 20 ms takes 200 ms with a slow factor of 10.
func WorkTime(requested time.Duration, switches Switches, now time.Time) time.Duration {
	factor := max(1, switches.SlowFactor)
	if now.Before(switches.ColdUntil) {
		factor *= ColdFactor
	}
	return time.Duration(float64(requested) * factor)
}

// RouteTime returns the work time of the longest prefix that matches path, or fallback if none does.
func RouteTime(routes map[string]time.Duration, path string, fallback time.Duration) time.Duration {
	longest := ""
	for prefix, span := range routes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest, fallback = prefix, span
		}
	}
	return fallback
}

// Runs returns a copy of all runs so far, in the order in which they started.
func (u *Upstream) Runs() []Run {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return append([]Run{}, u.runs...)
}

// Health returns the answer to a probe, with the replaced load or the lag that is switched on.
func (u *Upstream) Health() Health {
	switches := u.control.Current().State
	inFlight := int(u.inFlight.Load())
	if switches.ReportLag > 0 {
		inFlight = u.loadBefore(switches.ReportLag)
	}
	if reported, ok := switches.ReportInFlight.Get(); ok && reported >= 0 {
		inFlight = reported
	}
	return Health{Draining: switches.Draining, InFlight: inFlight, Slots: u.settings.Slots}
}

// ColdLeft returns how much longer the upstream is cold.
func (u *Upstream) ColdLeft() time.Duration {
	return max(0, u.control.Current().State.ColdUntil.Sub(u.settings.Now()))
}

// loadBefore returns the load sample of the given age, or the oldest one that is kept.
func (u *Upstream) loadBefore(age time.Duration) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if len(u.loadSamples) == 0 {
		return 0
	}
	samplesBack := int(age / loadSampleInterval)
	return u.loadSamples[max(0, len(u.loadSamples)-1-samplesBack)]
}
