// Package lease decides when a daemon reads the platform, by how fresh its knowledge is.
//
// Each daemon knows at which moment everything published was known to it: by its own read, or because a
// peer that had read said so. Knowledge older than Limit makes it read itself, the best-ranked daemon first.
// There is no election and no agreement: a daemon that hears of nobody's reads goes on with its own.
//
//	s-1 (rank 0) reads every Wait and tells all      ->  the others stay silent
//	s-1 is killed                                    ->  s-2 (rank 1) reads Limit + Step after s-1's last word
//	s-9 is cut off from the others, not the platform ->  it reads for itself, every Wait
package lease

import (
	"math/rand/v2"
	"time"

	"comfreytack/core/model"
)

const (
	// Wait is how long a read waits for a change; a waiting read counts as one.
	Wait = 500 * time.Millisecond
	// Limit is the age of knowledge at which the best-ranked daemon reads.
	Limit = 900 * time.Millisecond
	// Step is how much longer each further rank waits, so that one reads and the others hear of it.
	Step = 30 * time.Millisecond
	// rest is the gap behind a read that succeeded, so that changes which come together are read together;
	// startRest is that of a daemon that has just started, perhaps with a whole fleet whose upstreams register
	// one by one.
	rest      = 100 * time.Millisecond
	startRest = 700 * time.Millisecond
	// Outage is the age of knowledge from which the platform counts as having been away.
	Outage = 2 * time.Second
	// firstRetry is the gap behind a first failed read; it doubles up to maxRetry.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 800 * time.Millisecond
	// jitterShare spreads retries by this part of their gap.
	jitterShare = 4
)

// State is how fresh one daemon's knowledge is and when it reads next.
type State struct {
	// FreshAt is the latest moment at which everything published is known here; zero before the first read.
	FreshAt time.Time
	// BetterAt is when a read of a better-ranked daemon was last heard of.
	BetterAt time.Time
	// OwnAt is when this daemon last read with success.
	OwnAt time.Time
	// DueAt is the earliest start of the next read.
	DueAt time.Time
	// InFlight is true while a read waits for its answer.
	InFlight bool
	// Failures counts failed reads in a row.
	Failures int
}

// News is what one daemon tells another of the freshness of its knowledge.
type News struct {
	// AgeMs is how old the knowledge was when this was sent, in ms.
	AgeMs int64 `json:"age_ms"`
	// Reader is the daemon that tells, if it was the one that read.
	Reader model.UpstreamName `json:"reader,omitempty"`
}

// New returns the state of a daemon that knows nothing.
func New() *State { return &State{} }

// Beat tells whether to start a read now. The rank counts the daemons that go before this one; lacks says
// that others are known to have changes that this daemon does not have.
func (s *State) Beat(now time.Time, rank int, lacks bool) bool {
	if s.InFlight || now.Before(s.DueAt) {
		return false
	}
	if !lacks && !s.leads(now) && now.Sub(s.FreshAt) < Limit+time.Duration(rank)*Step {
		return false
	}
	s.InFlight = true
	return true
}

// leads tells whether this daemon is the one that reads: it did lately, and nobody better does.
func (s *State) leads(now time.Time) bool {
	return now.Sub(s.OwnAt) < Limit && now.Sub(s.BetterAt) >= Limit
}

// Ended takes the end of a read. The flag starting says that the daemon has just started.
func (s *State) Ended(now time.Time, succeeded, starting bool, random *rand.Rand) {
	s.InFlight = false
	if !succeeded {
		s.Failures++
		gap := min(maxRetry, firstRetry<<min(s.Failures-1, 10))
		s.DueAt = now.Add(gap + time.Duration(random.Int64N(int64(gap/jitterShare))))
		return
	}
	s.Failures = 0
	s.OwnAt = now
	s.FreshAt = now
	s.DueAt = now.Add(rest)
	if starting {
		s.DueAt = now.Add(startRest)
	}
}

// Heard takes what a peer says whose knowledge this daemon has in full. The flag says that the peer goes
// before this daemon.
func (s *State) Heard(now time.Time, news News, better bool) {
	if better && news.Reader != "" {
		s.BetterAt = now
	}
	if at := news.at(now); at.After(s.FreshAt) {
		s.FreshAt = at
	}
}

// Slept ages all that is known by a suspension of the machine, which its clock did not count.
func (s *State) Slept(d time.Duration) {
	for _, at := range []*time.Time{&s.FreshAt, &s.BetterAt, &s.OwnAt} {
		if !at.IsZero() {
			*at = at.Add(-d)
		}
	}
}

// Returned tells whether knowledge of the given moment ends an outage of the platform: nothing fresh was
// known for long.
func (s *State) Returned(at time.Time) bool {
	return !s.FreshAt.IsZero() && at.Sub(s.FreshAt) >= Outage
}

// ReturnedBy tells whether a peer's word ends an outage.
func (s *State) ReturnedBy(now time.Time, news News) bool { return s.Returned(news.at(now)) }

func (n News) at(now time.Time) time.Time {
	return now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
}

// Tell returns what to tell others; self is named when the knowledge comes from an own read.
func (s *State) Tell(now time.Time, self model.UpstreamName) *News {
	if s.FreshAt.IsZero() {
		return nil
	}
	news := &News{AgeMs: now.Sub(s.FreshAt).Milliseconds()}
	if s.OwnAt.Equal(s.FreshAt) {
		news.Reader = self
	}
	return news
}
