// Package warm limits the requests that a gate sends to its upstream while the upstream is cold.
//
// A cold upstream gets at most a rate and a burst beyond it (Bounds). It does so from the moment at which it turns cold, because every send takes from the burst, and only a reading that shows the
// upstream to be warm gives back what was taken before that reading was asked for:
//
//	tolerated 2 a second, burst 1, read warm at 0 ms, sent at 10 ms, next at 40 ms  ->  Read: it may have turned cold at 1 ms
//	a reading asked for at 40 ms says warm                                        ->  Start: what was sent before is given back
//	it says cold                                                                  ->  Refuse: the next one fits at 510 ms
//
// A Limiter is safe for concurrent use.
package warm

//go:generate go tool stringer -type=Action -linecomment -output=enums_string.go

import (
	"math"
	"sync"
	"time"

	"comfreytack/core/model"
)

const (
	// burstShare is the burst as a share of the requests that the upstream tolerates in a second, where no tolerance is set.
	burstShare = 0.5
	// usedTolerance is the share of a tolerance that is used for the burst. The rest is for requests that take differently
	// long on their way to the upstream.
	usedTolerance = 0.5
	// minRate is the lowest rate, so that a cold upstream gets a request at all.
	minRate = 0.1
	// nestedShare is the share of the burst that only nested calls may use, while there are any.
	nestedShare = 0.5
	// prefetchShare is the share of the burst below which a reading is asked for in advance.
	prefetchShare = 2.0 / 3
	// nestedMemory is how long nested calls count as present after the last one.
	nestedMemory = time.Second
	// maxSends bounds how many sends are remembered; those of a tolerated rate above are not told from each other.
	maxSends = 1024
)

// Bounds say how many requests a cold upstream may get in any second: Overshoot times what it tolerates a second, and
// Tolerance more. Without them that is half as much again as it tolerates.
type Bounds struct {
	// Overshoot is at least 1, or zero when no bounds are set.
	Overshoot float64
	// Tolerance is not negative.
	Tolerance float64
}

// rate returns how many requests a second a cold upstream gets that tolerates the given number, and the burst. In any
// second it gets at most their sum.
//
//	12 a second, no bounds               -> 12 a second, burst 6
//	12 a second, overshoot 1.5, tolerance 8 -> 18 a second, burst 4
func (b Bounds) rate(perS float64) (rate, burst float64) {
	if b.Overshoot == 0 {
		return perS, max(1, perS*burstShare)
	}
	burst = max(1, b.Tolerance*usedTolerance)
	return max(minRate, min(b.Overshoot*perS, b.Overshoot*perS+b.Tolerance-burst)), burst
}

// Action is what the gate does with a call that is about to be sent.
type Action int

// The actions.
const (
	// Start means that the call is sent now; it has been counted.
	Start Action = iota // start
	// Read means that the upstream may have turned cold: a newer reading is needed for the decision.
	Read // read
	// Refuse means that the upstream is cold and has no room.
	Refuse // refuse
)

// Decision is the answer to Begin.
type Decision struct {
	Action Action
	// RetryAfter is when the next request fits; zero if the action is Start.
	RetryAfter time.Duration
}

// State describes a Limiter at one moment.
type State struct {
	// Left is how much longer the upstream is cold; zero when it is not known to be.
	Left time.Duration
	// Room is how many requests fit now; meaningless unless Left is positive.
	Room int
	// Wait is how long until one more request fits; zero when Room is positive.
	Wait time.Duration
}

// Limiter counts the sends of one gate.
type Limiter struct {
	// bounds never change.
	bounds Bounds

	mu sync.Mutex
	// perS is the rate that the upstream tolerates while it is cold; zero when there is no limit. The rate and the burst
	// follow from it.
	perS, rate, burst float64
	// tokens is how many requests could be sent at the time of refilledAt; from 0 to burst. A gate that has just started
	// has none: its predecessor may have used them.
	tokens     float64
	refilledAt time.Time
	// sends has the times of the last sends in a ring; next is the oldest.
	sends []time.Time
	next  int
	// lastSentAt is when the last call was sent; zero when none was.
	lastSentAt time.Time
	// nestedAt is when a nested call was decided about last.
	nestedAt time.Time
	// coldUntil is the latest end of the cold that any source has named.
	coldUntil time.Time
	// listed is the upstream's entry that was observed last.
	listed model.Upstream
}

// New returns the limiter of a gate that has just started.
func New(now time.Time, bounds Bounds) *Limiter {
	return &Limiter{bounds: bounds, refilledAt: now}
}

// Listed observes the upstream's entry and its service, whenever they may have changed. The end of the cold that an
// entry names counts from the moment at which this daemon sees it.
func (l *Limiter) Listed(now time.Time, upstream model.Upstream, service model.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setRate(service.WarmupPerS)
	if upstream == l.listed || (upstream.Instance == "" && l.listed.Instance != "") {
		return
	}
	left := time.Duration(upstream.WarmupLeftMs) * time.Millisecond
	// The first entry that a daemon sees may be of an upstream that started long ago.
	if l.listed.Instance != "" && upstream.Incarnation > l.listed.Incarnation {
		left = max(left, time.Duration(service.WarmupMs)*time.Millisecond)
	}
	l.listed = upstream
	l.extend(now.Add(left))
}

// Observe takes a reading from the upstream itself: how much longer it is cold. The reading was asked for and answered
// at the given times.
func (l *Limiter) Observe(askedAt, answeredAt time.Time, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if left > 0 {
		l.extend(answeredAt.Add(left))
		return
	}
	// When another source says that it is cold until later than this answer, the latest end wins.
	if !answeredAt.Before(l.coldUntil) {
		l.giveBack(answeredAt, askedAt)
	}
}

// Gone takes the observation that no upstream ran when it was asked for at the given time. What was sent before went to an
// earlier incarnation.
func (l *Limiter) Gone(askedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.giveBack(askedAt, askedAt)
}

// Begin decides about a call that is about to be sent, and counts it if it is. Calls that are not nested leave a part of
// the burst to those that are.
func (l *Limiter) Begin(now time.Time, nested bool) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perS == 0 {
		l.lastSentAt = now
		return Decision{}
	}
	l.refill(now)
	if nested {
		l.nestedAt = now
	}
	needed := 1 + l.reserved(now, nested)
	switch wait := l.wait(needed); {
	case wait <= 0:
		l.tokens--
		l.lastSentAt = now
		l.sends[l.next] = now
		l.next = (l.next + 1) % len(l.sends)
		return Decision{}
	case now.Before(l.coldUntil):
		return Decision{Action: Refuse, RetryAfter: wait}
	default:
		return Decision{Action: Read, RetryAfter: wait}
	}
}

// NeedsReading reports whether so much of the burst is used that a reading is to be asked for in advance.
func (l *Limiter) NeedsReading(now time.Time) bool {
	return l.unsure(now, prefetchShare)
}

// Unsure reports whether Begin may need a reading.
func (l *Limiter) Unsure(now time.Time) bool {
	return l.unsure(now, nestedShare)
}

// unsure reports whether not even one token is left besides a share of the burst, and the upstream is not known to be
// cold.
func (l *Limiter) unsure(now time.Time, share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perS == 0 || now.Before(l.coldUntil) {
		return false
	}
	l.refill(now)
	return l.tokens < min(l.burst, 1+math.Floor(l.burst*share))
}

// State describes the limiter now, as calls that are not nested see it.
func (l *Limiter) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perS == 0 || !now.Before(l.coldUntil) {
		return State{}
	}
	l.refill(now)
	reserved := l.reserved(now, false)
	return State{Left: l.coldUntil.Sub(now), Room: max(0, int(l.tokens-reserved)), Wait: max(0, l.wait(1+reserved))}
}

// reserved returns the tokens that a call leaves to nested ones.
func (l *Limiter) reserved(now time.Time, nested bool) float64 {
	if nested || now.Sub(l.nestedAt) >= nestedMemory {
		return 0
	}
	return math.Floor(l.burst * nestedShare)
}

// wait returns how long until there are as many tokens as needed; not positive when there are. The caller holds the lock.
func (l *Limiter) wait(needed float64) time.Duration {
	return time.Duration(math.Ceil((needed - l.tokens) / l.rate * float64(time.Second)))
}

// refill adds the tokens of the time that has passed. The caller holds the lock.
func (l *Limiter) refill(now time.Time) {
	passed := now.Sub(l.refilledAt)
	if passed <= 0 {
		return
	}
	l.tokens = min(l.burst, l.tokens+l.rate*passed.Seconds())
	l.refilledAt = now
}

// giveBack gives back the tokens of what was sent before the given time. The caller holds the lock.
func (l *Limiter) giveBack(now, before time.Time) {
	if l.perS == 0 {
		return
	}
	l.refill(now)
	since := 0
	for _, sentAt := range l.sends {
		if !sentAt.Before(before) {
			since++
		}
	}
	l.tokens = max(l.tokens, l.burst-float64(since))
}

// extend moves the end of the cold to a later time. The caller holds the lock.
func (l *Limiter) extend(until time.Time) {
	if until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// setRate changes the tolerated rate. Under another one nothing is known of what was sent before, so there were no tokens
// left after the last send. The caller holds the lock.
func (l *Limiter) setRate(perS float64) {
	if perS == l.perS {
		return
	}
	if l.lastSentAt.After(l.refilledAt) {
		l.refilledAt = l.lastSentAt
	}
	l.perS = perS
	l.rate, l.burst = l.bounds.rate(perS)
	l.tokens = 0
	l.next = 0
	l.sends = make([]time.Time, min(maxSends, int(math.Ceil(l.rate+l.burst))))
}
