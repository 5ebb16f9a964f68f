// Package lease decides when a daemon reads the platform, by the age of its knowledge.
//
// Each daemon keeps the latest time at which it knew everything published, either from its own read or from a peer
// that had read. When its knowledge gets older than MaxAge it reads itself, the daemon of rank 0 first.
// There is no election and no consensus: the lease is implicit, held by whoever reads as long as the others hear of
// its reads, and a daemon that hears of no reads continues with its own.
//
//	s-1 (rank 0) reads every Wait and reports to all   ->  the others do not read
//	s-1 is killed                                      ->  s-2 (rank 1) reads MaxAge + rankDelay after the last report
//	s-9 loses contact to its peers, not the platform   ->  it reads for itself, every Wait
//	s-5 starts, or hears of a change that it lacks     ->  it reads once and does not become the reader
package lease

import (
	"math/rand/v2"
	"time"

	"comfreytack/core/model"
)

const (
	// Wait is the long-poll time of a read: how long it waits for a change. A read that waits counts as one read.
	Wait = 500 * time.Millisecond
	// MaxAge is the age of knowledge at which the daemon of rank 0 reads.
	MaxAge = 900 * time.Millisecond
	// rankDelay is how much longer each of the first orderedRanks waits, so that one reads and the others hear of it.
	rankDelay    = 30 * time.Millisecond
	orderedRanks = 10
	// aloneAge is the age of knowledge at which a daemon reads of which the others do not know.
	aloneAge = 1400 * time.Millisecond
	// The later ranks read at random times after those, in a period of lateRankDelay for each of them and of maxLateDelay
	// at most. They have their turn only if the first ones are gone or their reports are lost.
	lateRankDelay = 2 * time.Millisecond
	maxLateDelay  = 500 * time.Millisecond
	// readGap is the pause after a successful read, so that changes published shortly after each other are read
	// together. startupReadGap is the pause in a daemon that has just started, perhaps together with a whole fleet
	// whose upstreams register one by one.
	readGap        = 100 * time.Millisecond
	startupReadGap = 700 * time.Millisecond
	// OutageAfter is the age of knowledge from which the platform counts as having been unavailable.
	OutageAfter = 2 * time.Second
	// firstRetry is the backoff after a first failed read; it doubles up to maxRetry.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// jitterDivisor sets the jitter of retries: each backoff is extended at random by up to its jitterDivisor-th part.
	jitterDivisor = 4
)

// State is the age of one daemon's knowledge and the schedule of its reads.
type State struct {
	// FreshAt is the latest time at which this daemon knew everything published; zero before the first read.
	FreshAt time.Time
	// LowerRankReadAt is when a daemon with a lower rank, which reads before this one, last reported a read of its own.
	LowerRankReadAt time.Time
	// OwnReadAt is when this daemon's last successful read ended that was due by the age of its knowledge.
	OwnReadAt time.Time
	// DueAt is the earliest start of the next read.
	DueAt time.Time
	// InFlight is true while a read waits for its answer.
	InFlight bool
	// Alone is true while others do not know of this daemon: they hear of no reads of it, and it is the reader for nobody.
	Alone bool
	// Renewing is true if the latest read was due by the age of this daemon's knowledge. Only such a read makes it the
	// reader for others.
	Renewing bool
	// Failures counts failed reads in a row.
	Failures int
	// lateShare places this daemon in the period of the late ranks, from 0 to 1.
	lateShare float64
}

// Freshness is what one daemon reports to another about the age of its knowledge.
type Freshness struct {
	// AgeMs is the age of the knowledge when this was sent, in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Reader is the daemon whose read this reports, if that was due by age; else empty.
	Reader model.UpstreamName `json:"reader,omitempty"`
}

// New returns the State of a daemon that knows nothing.
func New(random *rand.Rand) *State { return &State{lateShare: random.Float64()} }

// TryStart reports whether a read is due now, and if so marks it as in flight; the caller starts it and calls Ended.
// The rank is the number of daemons that read before this one; behind says that others are known to have changes that
// this daemon does not have.
func (s *State) TryStart(now time.Time, rank int, behind bool) bool {
	if s.InFlight || now.Before(s.DueAt) {
		return false
	}
	first := s.FreshAt.IsZero()
	renewing := !first && (s.isReader(now) || now.Sub(s.FreshAt) >= s.patience(rank))
	if !first && !renewing && !behind {
		return false
	}
	s.InFlight = true
	s.Renewing = renewing
	return true
}

// patience returns the age of its knowledge at which a daemon of the given rank reads.
func (s *State) patience(rank int) time.Duration {
	if s.Alone {
		return aloneAge
	}
	return MaxAge + s.turn(rank)
}

// LongPoll reports whether the read in flight may wait for a change. A daemon that takes over from a reader does not
// wait, so that the others hear in time that they need not read.
func (s *State) LongPoll(now time.Time) bool { return s.Alone || s.isReader(now) }

// turn returns how much longer than MaxAge a daemon of the given rank waits.
func (s *State) turn(rank int) time.Duration {
	if rank <= orderedRanks {
		return time.Duration(rank) * rankDelay
	}
	late := min(maxLateDelay, time.Duration(rank-orderedRanks)*lateRankDelay)
	return orderedRanks*rankDelay + time.Duration(s.lateShare*float64(late))
}

// isReader reports whether this daemon is the one that reads: it has read lately, and none with a lower rank has.
func (s *State) isReader(now time.Time) bool {
	return now.Sub(s.OwnReadAt) < MaxAge && now.Sub(s.LowerRankReadAt) >= MaxAge
}

// Ended records the end of a read. The flag starting says that the daemon has just started.
func (s *State) Ended(now time.Time, succeeded, starting bool, random *rand.Rand) {
	s.InFlight = false
	if !succeeded {
		s.Failures++
		gap := min(maxRetry, firstRetry<<min(s.Failures-1, 10))
		s.DueAt = now.Add(gap + time.Duration(random.Int64N(int64(gap/jitterDivisor))))
		return
	}
	s.Failures = 0
	s.FreshAt = now
	if s.Renewing && !s.Alone {
		s.OwnReadAt = now
	}
	s.DueAt = now.Add(readGap)
	if starting {
		s.DueAt = now.Add(startupReadGap)
	}
}

// Heard records a report of knowledge all of which this daemon has. The flag lowerRank says that its reader has a lower
// rank and so reads before this daemon.
func (s *State) Heard(now time.Time, reported Freshness, lowerRank bool) {
	if lowerRank && reported.Reader != "" {
		s.LowerRankReadAt = now
	}
	if at := reported.at(now); at.After(s.FreshAt) {
		s.FreshAt = at
	}
}

// AddSuspension ages all knowledge by the time for which the machine was suspended, which its clock does not count.
func (s *State) AddSuspension(d time.Duration) {
	for _, at := range []*time.Time{&s.FreshAt, &s.LowerRankReadAt, &s.OwnReadAt} {
		if !at.IsZero() {
			*at = at.Add(-d)
		}
	}
}

// EndsOutage reports whether knowledge from the given time ends an outage of the platform, in which nothing fresher was
// known for at least OutageAfter.
func (s *State) EndsOutage(at time.Time) bool {
	return !s.FreshAt.IsZero() && at.Sub(s.FreshAt) >= OutageAfter
}

// ReportEndsOutage reports whether a peer's report ends an outage.
func (s *State) ReportEndsOutage(now time.Time, r Freshness) bool { return s.EndsOutage(r.at(now)) }

// longestAge bounds the ages that are believed; knowledge of that age is as good as none.
const longestAge = time.Hour

// at returns the time of the knowledge. A malformed age counts as the nearest possible one.
func (f Freshness) at(now time.Time) time.Time {
	ageMs := min(max(f.AgeMs, 0), longestAge.Milliseconds())
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

// Report returns what to report to peers, or nil before the first read. The daemon self is named as the reader when the
// knowledge comes from its own read.
func (s *State) Report(now time.Time, self model.UpstreamName) *Freshness {
	if s.FreshAt.IsZero() {
		return nil
	}
	freshness := &Freshness{AgeMs: now.Sub(s.FreshAt).Milliseconds()}
	if s.OwnReadAt.Equal(s.FreshAt) {
		freshness.Reader = self
	}
	return freshness
}
