package route

import (
	"slices"
	"time"

	"comfreytack/core/model"
)

// coldSpan is the time for which gates count the requests to a cold upstream. A report of room is worthless after it.
const coldSpan = time.Second

// Cold reports whether the upstream is cold according to its gate's last report.
func (c *Candidate) Cold(now time.Time) bool {
	return c.Report.ColdMs > 0 && c.reportAge(now) < time.Duration(c.Report.ColdMs)*time.Millisecond
}

// ColdWait returns how long a cold upstream takes no further request, as far as its gate's last report and the calls sent
// since tell; zero when it takes one now.
func (c *Candidate) ColdWait(now time.Time) time.Duration {
	if !c.Cold(now) {
		return 0
	}
	wait := time.Duration(c.Report.ColdWaitMs) * time.Millisecond
	if c.Report.ColdRoom > 0 && c.InFlight-c.InFlightAtReport >= c.Report.ColdRoom {
		wait = coldSpan
	}
	return max(0, wait-c.reportAge(now))
}

// reportAge returns the age of the last report. One that arrived after the given time was read is new.
func (c *Candidate) reportAge(now time.Time) time.Duration { return max(0, now.Sub(c.ReportAt)) }

// WithoutFullCold removes the cold candidates that take no request now from the slice, in place. It also returns how
// long until the first of them takes one; zero when none was removed.
func WithoutFullCold(now time.Time, candidates []Candidate) ([]Candidate, time.Duration) {
	first := time.Duration(0)
	rest := slices.DeleteFunc(candidates, func(c Candidate) bool {
		wait := c.ColdWait(now)
		if wait > 0 && (first == 0 || wait < first) {
			first = wait
		}
		return wait > 0
	})
	return rest, first
}

// Outside removes the candidates in the given failure domains from the slice, in place.
func Outside(candidates []Candidate, domains []model.FailureDomain) []Candidate {
	if len(domains) == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c Candidate) bool {
		return slices.Contains(domains, c.Upstream.FailureDomain)
	})
}
