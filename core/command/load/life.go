package load

import (
	"math"
	"sync"
	"time"

	"comfreytack/core/model"
	"comfreytack/core/query/route"
)

// Result is what a call says of its upstream.
type Result int

// The results.
const (
	// Answered means a complete answer that is not the upstream's own error.
	Answered Result = iota // answered
	// Refused means that the gate refused; it says that the upstream is loaded, not that it is unhealthy.
	Refused // refused
	// Failed means that the upstream died, broke off or answered with an error of its own.
	Failed // failed
	// Unreachable means that the upstream or its gate took no connection, or that another life of it stands there.
	Unreachable // unreachable
	// Unrelated means that the call ended for a reason of the caller's, its deadline among them.
	Unrelated // unrelated
)

// Outcome tells how a call ended.
type Outcome struct {
	// Result is what the call says of its upstream.
	Result Result
	// Latency is the time from Began to the end.
	Latency time.Duration
	// Class is the class of the work; the time of long work says nothing of the upstream's load.
	Class model.Class
}

// ResultOf returns what a reason says of the upstream. An answer with NoReason may still be the
// upstream's own error; the caller of ResultOf knows the encoding and decides that.
func ResultOf(reason model.Reason) Result {
	switch reason {
	case model.NoReason:
		return Answered
	case model.UpstreamDown, model.UpstreamReplaced:
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
	// latencyWeight is the least weight of one answered call in the mean latency.
	latencyWeight = 0.05
	// latencyMemory is how long the mean latency outweighs a new one after a time without answers.
	latencyMemory = 2 * time.Second
	// failingWeight is the weight of one call in the share of failures.
	failingWeight = 0.1
	// failingHalfLife is the time in which the share of failures halves without calls.
	failingHalfLife = 2 * time.Second
	// coldest is the warmth of a new incarnation.
	coldest = 0.1
	// maxDoublings bounds the exponent of ejections.
	maxDoublings = 10
)

// life is what is known of one incarnation of an upstream.
type life struct {
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
	failing          float64
	failingAt        time.Time
	failuresInRow    int
	ejections        int
	ejectedUntil     time.Time
}

func (l *life) began() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
}

func (l *life) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight > 0
}

func (l *life) ended(now time.Time, outcome Outcome, settings *Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	switch outcome.Result {
	case Answered:
		l.answered(now, outcome, settings)
	case Failed:
		l.failed(now, 1, settings)
	case Unreachable:
		l.failed(now, settings.FailuresInRow, settings)
	case Unrelated:
		l.abandoned(now, outcome)
	case Refused:
	}
}

func (l *life) answered(now time.Time, outcome Outcome, settings *Settings) {
	if outcome.Class == model.Short {
		l.took(now, outcome.Latency)
	}
	l.failing = (1 - failingWeight) * l.failingNow(now)
	l.failingAt = now
	l.failuresInRow = 0
	if now.Sub(l.ejectedUntil) > settings.LongestEjection {
		l.ejections = 0
	}
}

// abandoned takes the time of a call that was given up for the least that an answer would have taken.
func (l *life) abandoned(now time.Time, outcome Outcome) {
	if outcome.Class == model.Short && outcome.Latency > l.latency {
		l.took(now, outcome.Latency)
	}
}

func (l *life) took(now time.Time, latency time.Duration) {
	weight := 1.0
	if !l.latencyAt.IsZero() {
		gap := float64(max(0, now.Sub(l.latencyAt)))
		weight = max(latencyWeight, 1-math.Exp(-gap/float64(latencyMemory)))
	}
	l.latency += time.Duration(weight * float64(latency-l.latency))
	l.latencyAt = now
}

// failed counts one failed call, which may weigh as much as several in a row.
func (l *life) failed(now time.Time, weight int, settings *Settings) {
	failing := l.failingNow(now)
	l.failing = failing + failingWeight*(1-failing)
	l.failingAt = now
	l.failuresInRow += weight
	if l.failuresInRow < settings.FailuresInRow || now.Before(l.ejectedUntil) {
		return
	}
	length := settings.FirstEjection << min(l.ejections, maxDoublings)
	l.ejectedUntil = now.Add(min(length, settings.LongestEjection))
	l.ejections++
}

// failingNow fades the share of failures by its age, so that an upstream without calls is tried again.
func (l *life) failingNow(now time.Time) float64 {
	if l.failing == 0 {
		return 0
	}
	halvings := float64(now.Sub(l.failingAt)) / float64(failingHalfLife)
	return l.failing * math.Exp2(-halvings)
}

func (l *life) reported(madeAt time.Time, report model.GateReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if madeAt.Before(l.reportAt) {
		return
	}
	l.report = report
	l.reportAt = madeAt
	l.inFlightAtReport = l.inFlight
}

// candidate returns what is known, and whether the upstream takes new work.
func (l *life) candidate(now time.Time, settings *Settings) (route.Candidate, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return route.Candidate{
		InFlight:         l.inFlight,
		Report:           l.report,
		ReportAt:         l.reportAt,
		InFlightAtReport: l.inFlightAtReport,
		Latency:          l.latency,
		LatencyAt:        l.latencyAt,
		Failing:          l.failingNow(now),
		EjectedUntil:     l.ejectedUntil,
		Warmth:           l.warmth(now, settings.Ramp),
	}, !l.report.Leaving
}

// warmth rises in a straight line from coldest to 1 during the ramp, which starts again when an
// ejection ends.
func (l *life) warmth(now time.Time, ramp time.Duration) float64 {
	since := l.firstSeen
	if l.ejectedUntil.After(since) {
		since = l.ejectedUntil
	}
	age := now.Sub(since)
	if age >= ramp {
		return 1
	}
	return coldest + (1-coldest)*float64(max(0, age))/float64(ramp)
}
