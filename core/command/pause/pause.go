// Package pause detects that the daemon did not run for a while, so that its state may be stale and is not trusted
// until a peer has confirmed it.
//
//	runs at 0.0 s, 0.1 s, 9.0 s   ->  suspect from 9.0 s; asks peers with nonce 2
//	a ready peer answers nonce 2  ->  trusted again
//	no answer until 12.0 s        ->  trusted again, since no peer knows better
package pause

import (
	"time"

	"comfreytack/core/query/fresh"
)

// MaxSuspicion is how long the daemon starts no new work while no peer answers.
const MaxSuspicion = 3 * time.Second

// State tracks whether the daemon may trust what it knows.
type State struct {
	// RanAt is when the control goroutine last ran.
	RanAt time.Time
	// Suspect is true from the end of a pause until a peer has confirmed the state or Until has passed.
	Suspect bool
	// Until is when the suspicion ends by itself; meaningful only while Suspect is true.
	Until time.Time
	// Nonce starts at 1 and increases by one with each pause. Only answers to requests that carry it count.
	Nonce uint64
}

// New returns the State of a daemon that has not been paused.
func New(now time.Time) *State {
	return &State{RanAt: now, Nonce: 1}
}

// Ran records that the control goroutine runs, and reports whether a pause has just ended. Since its last run the
// machine was suspended for the time suspended, which is not part of the difference between the two times.
func (s *State) Ran(now time.Time, suspended time.Duration) bool {
	gap := now.Sub(s.RanAt) + suspended
	s.RanAt = now
	if gap > fresh.MaxGap {
		s.Suspect = true
		s.Until = now.Add(MaxSuspicion)
		s.Nonce++
		return true
	}
	if s.Suspect && now.After(s.Until) {
		s.Suspect = false
	}
	return false
}

// Confirmed records the answer to a request that carried nonce. The caller has applied everything that the
// answering daemon knows.
func (s *State) Confirmed(nonce uint64) {
	if nonce == s.Nonce {
		s.Suspect = false
	}
}

// SuspectAt reports whether new work must wait. It also detects a pause after which the control goroutine has not run
// yet.
func (s *State) SuspectAt(now time.Time) bool {
	return s.Suspect || now.Sub(s.RanAt) > fresh.MaxGap
}
