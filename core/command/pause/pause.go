// Package pause notices that the daemon did not run for a while and makes it doubt what it knows.
//
//	beats at 0.0 s, 0.1 s, 9.0 s  ->  suspect from 9.0 s; asks peers with nonce 2
//	ready peer answers nonce 2    ->  trusted again
//	no answer until 12.0 s        ->  trusted again, for want of anybody who knows better
package pause

import (
	"time"

	"comfreytack/core/query/fresh"
)

// LongestSuspicion is how long the daemon starts no new work when nobody answers.
const LongestSuspicion = 3 * time.Second

// State tells whether the daemon may trust what it knows.
type State struct {
	// SeenAt is when the control goroutine last ran.
	SeenAt time.Time
	// Suspect is true from a pause until peers have confirmed or Until has passed.
	Suspect bool
	// Until is when the suspicion ends by itself; it has no meaning while not Suspect.
	Until time.Time
	// Nonce starts at 1 and rises by one with each pause. Only answers to questions that carry it count.
	Nonce uint64
}

// New returns the state of a daemon that has not been paused.
func New(now time.Time) *State {
	return &State{SeenAt: now, Nonce: 1}
}

// Ran takes a sign of life of the control goroutine and tells whether a pause has just ended. The machine was suspended
// for slept since the last one, which the times do not count.
func (s *State) Ran(now time.Time, slept time.Duration) bool {
	gap := now.Sub(s.SeenAt) + slept
	s.SeenAt = now
	if gap > fresh.MaxGap {
		s.Suspect = true
		s.Until = now.Add(LongestSuspicion)
		s.Nonce++
		return true
	}
	if s.Suspect && now.After(s.Until) {
		s.Suspect = false
	}
	return false
}

// Confirmed takes the answer to a question that carried nonce. The caller has applied all that the
// answering daemon knows.
func (s *State) Confirmed(nonce uint64) {
	if nonce == s.Nonce {
		s.Suspect = false
	}
}

// SuspectAt tells whether new work must wait, also when the control goroutine has only just woken.
func (s *State) SuspectAt(now time.Time) bool {
	return s.Suspect || now.Sub(s.SeenAt) > fresh.MaxGap
}
