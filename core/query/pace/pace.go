// Package pace decides what a gate does with work while its upstream's machine is slowed by its neighbours.
//
// How long a run takes is settled by the pace at its start, and slow spells are short. So work goes to
// another upstream while there is one, and is else held back, for no longer than the spell would cost it:
//
//	work 200 ms, pace 400 percent, others untried   ->  elsewhere, also out of the queue
//	the same, no other left, waited 0 ms            ->  hold: starting now costs 600 ms
//	the same, waited 600 ms                         ->  start
//	work 50 ms, no other left                       ->  start: the spell is likely to last longer than 150 ms
package pace

//go:generate go tool stringer -type=Action -linecomment -output=enums_string.go

import (
	"time"

	"comfreytack/core/model"
)

const (
	// Usual is the pace of an upstream that nothing slows, in percent of the usual work time.
	Usual = 100
	// slowFrom is the pace, in percent, from which work is better started later or elsewhere. A server that has
	// just started takes about twice as long for seconds: there is nothing to wait for.
	slowFrom = 250
	// Lifetime is the age at which a reading tells nothing any more: slow spells last about so long.
	Lifetime = 300 * time.Millisecond
)

// Action is what happens to work that could start.
type Action int

// The actions.
const (
	// Start means that it starts now.
	Start Action = iota // start
	// Elsewhere means that the entry tries another upstream.
	Elsewhere // elsewhere
	// Hold means that it waits for the spell to end.
	Hold // hold
)

// Reading is what an upstream said of its machine's pace.
type Reading struct {
	// Percent is how long work takes, where 100 is as usual; zero when nothing was ever said.
	Percent int
	// At is when the upstream said it.
	At time.Time
}

// Current returns the pace to assume now.
func (r Reading) Current(now time.Time) int {
	if r.Percent == 0 || now.Sub(r.At) >= Lifetime {
		return Usual
	}
	return r.Percent
}

// Slow tells whether work had better not start now.
func (r Reading) Slow(now time.Time) bool { return r.Current(now) >= slowFrom }

// OnArrival decides for a call that has just come.
func OnArrival(now time.Time, reading Reading, call model.Call) Action {
	if reading.Slow(now) && !call.Forced {
		return Elsewhere
	}
	return Start
}

// OnStart decides for a call that holds a slot and whose work usually takes the given time. It has been
// held back for waited.
func OnStart(now time.Time, reading Reading, call model.Call, work, waited time.Duration) Action {
	if action := OnArrival(now, reading, call); action != Start || !reading.Slow(now) {
		return action
	}
	extra := work * time.Duration(reading.Current(now)-Usual) / Usual
	if extra <= Lifetime || waited >= extra {
		return Start
	}
	return Hold
}
