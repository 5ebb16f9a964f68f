package load

import (
	"math"
	"sync"
	"time"

	"comfreytack/core/model"
	"comfreytack/core/query/route"
)

// Result is what the end of a call shows about its upstream's health.
type Result int

// The results.
const (
	// Answered means a complete answer that is not the upstream's own error.
	Answered Result = iota // answered
	// Refused means that the gate rejected the call; its upstream is loaded, not unhealthy.
	Refused // refused
	// Failed means that the upstream died, sent an incomplete answer, or answered with an error of its own.
	Failed // failed
	// Unreachable means that the upstream or its gate accepted no connection, or that another instance runs in its
	// place.
	Unreachable // unreachable
	// Unrelated means that the call ended for a reason on the caller's side, such as its deadline.
	Unrelated // unrelated
)

// Outcome describes how a call ended.
type Outcome struct {
	// Result is what the call shows about its upstream.
	Result Result
	// Latency is the time from Began to the end.
	Latency time.Duration
	// Class is the class of the work. The duration of long work says nothing about the upstream's load.
	Class model.Class
}

// ResultOf maps the reason of a call's outcome to what it shows about the upstream. An answer with NoReason may still
// be the upstream's own error; only the caller, which knows the encoding, can tell.
func ResultOf(reason model.Reason) Result {
	switch reason {
	case model.NoReason:
		return Answered
	case model.UpstreamDown, model.UpstreamReplaced, model.InstanceRefused, model.InstanceStale:
		return Unreachable
	case model.UpstreamDied, model.GateLost, model.Truncated:
		return Failed
	case model.CallerGone, model.DeadlinePassed, model.BadRequest, model.NoContract, model.Quarantined,
		model.KeyUnknown, model.KeyExpired, model.KeyInUse, model.RetriesSpent:
		return Unrelated
	default:
		return Refused
	}
}

const (
	// latencyWeight is the minimum weight of one answered call in the moving average of the latency.
	latencyWeight = 0.05
	// latencyMemory is the time constant by which the average decays between answers: after a longer gap the new
	// latency weighs more than the average.
	latencyMemory = 2 * time.Second
	// failureWeight is the weight of one call in the moving average of the share of failures.
	failureWeight = 0.1
	// failureHalfLife is the time in which the share of failures halves without calls.
	failureHalfLife = 2 * time.Second
	// minWarmth is the share of a full load at which the slow start of a new incarnation begins.
	minWarmth = 0.1
	// coldWarmth is the share of a full load that a cold upstream may take: its work takes longer.
	coldWarmth = 0.25
	// silenceFactor is how many times its mean latency a gate may take without a sign of life before it is checked.
	silenceFactor = 2
	// maxDoublings bounds how often the length of an ejection doubles.
	maxDoublings = 10
)

// stats holds what is known about one incarnation of an upstream.
type stats struct {
	// incarnation and firstSeen never change.
	incarnation model.Incarnation
	firstSeen   time.Time

	mu sync.Mutex
	// inFlight is never negative.
	inFlight         int
	report           model.GateReport
	reportAt         time.Time
	inFlightAtReport int
	latency          time.Duration
	latencyAt        time.Time
	failureShare     float64
	failureShareAt   time.Time
	failuresInRow    int
	ejections        int
	ejectedUntil     time.Time
	// unheardSince is since when calls are in flight without any sign of life of the gate; zero when none is in flight.
	unheardSince time.Time
	// checkedAt is when the gate was last to be checked, and silent that it did not answer.
	checkedAt time.Time
	silent    bool
}

func (s *stats) began(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight == 0 {
		s.unheardSince = now
	}
	s.inFlight++
}

// heard records a sign of life of the gate. The caller holds the lock.
func (s *stats) heard(now time.Time) {
	s.silent = false
	s.unheardSince = now
}

// checkDue reports whether the gate is to be checked now, and if so records that it is.
func (s *stats) checkDue(now time.Time, settings *Settings) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	patience := max(settings.SilenceAfter, silenceFactor*s.latency)
	suspect := s.silent || (s.inFlight > 0 && now.Sub(s.unheardSince) >= patience)
	if !suspect || now.Sub(s.checkedAt) < settings.CheckInterval {
		return false
	}
	s.checkedAt = now
	return true
}

// checkFailed records that the gate did not answer a check, unless it has been heard since the check was sent.
func (s *stats) checkFailed(sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unheardSince.Before(sentAt) {
		s.silent = true
	}
}

func (s *stats) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight > 0
}

func (s *stats) ended(now time.Time, outcome Outcome, settings *Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if outcome.Result == Answered || outcome.Result == Refused {
		s.heard(now)
	}
	switch outcome.Result {
	case Answered:
		s.answered(now, outcome, settings)
	case Failed:
		s.failed(now, 1, settings)
	case Unreachable:
		s.failed(now, settings.FailuresInRow, settings)
	case Unrelated:
		s.abandoned(now, outcome)
	case Refused:
	}
}

func (s *stats) answered(now time.Time, outcome Outcome, settings *Settings) {
	if outcome.Class == model.Short {
		s.addLatency(now, outcome.Latency)
	}
	s.failureShare = (1 - failureWeight) * s.currentFailureShare(now)
	s.failureShareAt = now
	s.failuresInRow = 0
	if now.Sub(s.ejectedUntil) > settings.LongestEjection {
		s.ejections = 0
	}
}

// abandoned counts the duration of a call that its caller gave up as a lower bound of the latency.
func (s *stats) abandoned(now time.Time, outcome Outcome) {
	if outcome.Class == model.Short && outcome.Latency > s.latency {
		s.addLatency(now, outcome.Latency)
	}
}

func (s *stats) addLatency(now time.Time, latency time.Duration) {
	weight := 1.0
	if !s.latencyAt.IsZero() {
		gap := float64(max(0, now.Sub(s.latencyAt)))
		weight = max(latencyWeight, 1-math.Exp(-gap/float64(latencyMemory)))
	}
	s.latency += time.Duration(weight * float64(latency-s.latency))
	s.latencyAt = now
}

// failed counts one failed call. Its weight is how many failures in a row it counts as.
func (s *stats) failed(now time.Time, weight int, settings *Settings) {
	failureShare := s.currentFailureShare(now)
	s.failureShare = failureShare + failureWeight*(1-failureShare)
	s.failureShareAt = now
	s.failuresInRow += weight
	if s.failuresInRow < settings.FailuresInRow || now.Before(s.ejectedUntil) {
		return
	}
	length := settings.FirstEjection << min(s.ejections, maxDoublings)
	s.ejectedUntil = now.Add(min(length, settings.LongestEjection))
	s.ejections++
}

// currentFailureShare returns the share of failures, decayed by its age so that an upstream without calls is tried
// again.
func (s *stats) currentFailureShare(now time.Time) float64 {
	if s.failureShare == 0 {
		return 0
	}
	halvings := float64(now.Sub(s.failureShareAt)) / float64(failureHalfLife)
	return s.failureShare * math.Exp2(-halvings)
}

func (s *stats) reported(madeAt time.Time, report model.GateReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if madeAt.Before(s.reportAt) {
		return
	}
	s.heard(madeAt)
	s.report = report
	s.reportAt = madeAt
	s.inFlightAtReport = s.inFlight
}

// candidate returns what is known about the upstream, and whether it accepts new work.
func (s *stats) candidate(now time.Time, settings *Settings) (route.Candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidate := route.Candidate{
		InFlight:         s.inFlight,
		Report:           s.report,
		ReportAt:         s.reportAt,
		InFlightAtReport: s.inFlightAtReport,
		Latency:          s.latency,
		LatencyAt:        s.latencyAt,
		Failing:          s.currentFailureShare(now),
		EjectedUntil:     s.ejectedUntil,
		Warmth:           s.warmth(now, settings.Ramp),
		Silent:           s.silent,
	}
	if candidate.Cold(now) {
		candidate.Warmth = min(candidate.Warmth, coldWarmth)
	}
	return candidate, !s.report.Leaving
}

// warmth returns the slow-start factor: it rises linearly from minWarmth to 1 during the ramp, which starts again
// when an ejection ends.
func (s *stats) warmth(now time.Time, ramp time.Duration) float64 {
	since := s.firstSeen
	if s.ejectedUntil.After(since) {
		since = s.ejectedUntil
	}
	age := now.Sub(since)
	if age >= ramp {
		return 1
	}
	return minWarmth + (1-minWarmth)*float64(max(0, age))/float64(ramp)
}
