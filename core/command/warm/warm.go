// Package warm limits the requests that a gate sends to its upstream while the upstream is cold.
//
// Wherever the upstream turned cold, it has got at most Limit requests in any second since, because sends count from the
// last reading that showed it to be warm, and not from the moment at which the gate learns that it is cold:
//
//	limit 3, read warm at 0 ms, sends at 10, 20, 30 ms, next at 40 ms  ->  Read: it may have turned cold at 1 ms
//	the reading says warm                                              ->  Start: the sends until 40 ms no longer count
//	the reading says cold                                              ->  Refuse: the next one fits at 1010 ms
//
// A Limiter is safe for concurrent use.
package warm

//go:generate go tool stringer -type=Action -linecomment -output=enums_string.go

import (
	"sync"
	"time"

	"comfreytack/core/model"
)

// span is the time in which the sends to a cold upstream are limited.
const span = time.Second

// burstShare is the part of the tolerated rate that is added to it for requests that arrive unevenly.
const burstShare = 0.25

// Limit returns how many requests a cold upstream may get in any second, if it tolerates the given number a second; zero
// when there is no limit.
//
//	Limit(12) = 15, Limit(0.5) = 1, Limit(0) = 0
func Limit(perS float64) int {
	if perS <= 0 {
		return 0
	}
	return max(1, int(perS*(1+burstShare)))
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
	// RetryAfter is when the next request fits; zero unless the action is Refuse.
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
	mu sync.Mutex
	// startedAt is when the gate started: it does not know what was sent before.
	startedAt time.Time
	// sends has the times of the last sends in a ring of as many as the limit; next is the oldest. It is empty when there
	// is no limit.
	sends []time.Time
	next  int
	// lastSentAt is when the last request was sent while there was no limit; zero when none was.
	lastSentAt time.Time
	// warmAt is when the newest reading that showed a warm upstream was asked for. Sends before do not count.
	warmAt time.Time
	// coldUntil is the latest end of the cold that any source has named.
	coldUntil time.Time
	// listed is the upstream's entry that was observed last.
	listed model.Upstream
}

// New returns the limiter of a gate that has just started.
func New(now time.Time) *Limiter {
	return &Limiter{startedAt: now}
}

// Listed observes the upstream's entry and its service, whenever they may have changed. The end of the cold that an
// entry names counts from the moment at which this daemon sees it.
func (l *Limiter) Listed(now time.Time, upstream model.Upstream, service model.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resize(Limit(service.WarmupPerS))
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
	// Another source says that it is cold until later than this answer: the latest end wins.
	if answeredAt.Before(l.coldUntil) {
		return
	}
	if askedAt.After(l.warmAt) {
		l.warmAt = askedAt
	}
}

// Begin decides about a call that is about to be sent, and counts it if it is.
func (l *Limiter) Begin(now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sends) == 0 {
		l.lastSentAt = now
		return Decision{}
	}
	wait := l.wait(now)
	switch {
	case wait <= 0:
		l.sends[l.next] = now
		l.next = (l.next + 1) % len(l.sends)
		return Decision{}
	case now.Before(l.coldUntil):
		return Decision{Action: Refuse, RetryAfter: wait}
	}
	return Decision{Action: Read, RetryAfter: wait}
}

// NeedsReading reports whether so many sends count that a reading is to be asked for in advance.
func (l *Limiter) NeedsReading(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sends) == 0 || now.Before(l.coldUntil) {
		return false
	}
	return l.room(now) <= len(l.sends)/2
}

// Unsure reports whether Begin would need a reading.
func (l *Limiter) Unsure(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sends) > 0 && !now.Before(l.coldUntil) && l.wait(now) > 0
}

// State describes the limiter now.
func (l *Limiter) State(now time.Time) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sends) == 0 || !now.Before(l.coldUntil) {
		return State{}
	}
	return State{Left: l.coldUntil.Sub(now), Room: l.room(now), Wait: max(0, l.wait(now))}
}

// wait returns how long until one more request fits; not positive when it fits now. The caller holds the lock.
func (l *Limiter) wait(now time.Time) time.Duration {
	oldest := l.sends[l.next]
	if oldest.Before(l.warmAt) {
		return 0
	}
	return oldest.Add(span).Sub(now)
}

// room returns how many requests fit now. The caller holds the lock.
func (l *Limiter) room(now time.Time) int {
	room := 0
	for _, sentAt := range l.sends {
		if sentAt.Before(l.warmAt) || now.Sub(sentAt) >= span {
			room++
		}
	}
	return room
}

// extend moves the end of the cold to a later time. The caller holds the lock.
func (l *Limiter) extend(until time.Time) {
	if until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// resize changes the limit. What was sent before is then not known, so a whole limit counts as sent at the last send, or
// at the start when there was none: a predecessor of this gate may have sent that much just before. The caller holds the
// lock.
func (l *Limiter) resize(limit int) {
	if limit == len(l.sends) {
		return
	}
	unknownAt := l.startedAt
	for _, sentAt := range append(l.sends, l.lastSentAt) {
		if sentAt.After(unknownAt) {
			unknownAt = sentAt
		}
	}
	l.sends = make([]time.Time, limit)
	l.next = 0
	for i := range l.sends {
		l.sends[i] = unknownAt
	}
}
