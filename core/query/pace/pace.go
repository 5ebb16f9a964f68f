// Package pace decides what a gate does with work while its upstream's machine is slowed by its neighbours.
//
// The pace at its start determines how long a whole run takes, and slowdowns are short. So work goes to another
// upstream while one is left. Otherwise it is held back, for no longer than the slowdown would lengthen the run:
//
//	work 200 ms, pace 400 percent, others untried   ->  elsewhere, also out of the queue
//	the same, no other left, waited 0 ms            ->  hold: starting now costs 600 ms
//	the same, waited 600 ms                         ->  start
//	work 50 ms, no other left                       ->  start: the slowdown is likely to last longer than 150 ms
package pace

//go:generate go tool stringer -type=Action -linecomment -output=enums_string.go

import (
	"time"

	"comfreytack/core/model"
)

const (
	// Usual is the pace of an upstream that nothing slows, in percent of the usual work time.
	Usual = 100
	// slowThreshold is the pace, in percent, from which work is better started later or elsewhere. It is above the pace
	// of a server that has just started: such a server takes about twice as long for seconds, so waiting does not help.
	slowThreshold = 250
	// Lifetime is the age from which a reading is ignored, about as long as slowdowns last.
	Lifetime = 300 * time.Millisecond
)

// Action is what a gate does with work that could start.
type Action int

// The actions.
const (
	// Start means that the work starts now.
	Start Action = iota // start
	// Elsewhere means that the entry tries another upstream.
	Elsewhere // elsewhere
	// Hold means that the work waits for the slowdown to end.
	Hold // hold
)

// Reading is an upstream's report of its machine's pace. The pace is how long work takes on the machine now, in percent
// of the usual time.
type Reading struct {
	// Percent is the pace, where 100 is usual; zero when the upstream never reported one.
	Percent int
	// At is the time of the report.
	At time.Time
}

// Current returns the pace to assume now.
func (r Reading) Current(now time.Time) int {
	if r.Percent == 0 || now.Sub(r.At) >= Lifetime {
		return Usual
	}
	return r.Percent
}

// Slow reports whether the pace is so slow that work is better not started now.
func (r Reading) Slow(now time.Time) bool { return r.Current(now) >= slowThreshold }

// OnArrival decides about a call that has just arrived.
func OnArrival(now time.Time, reading Reading, call model.Call) Action {
	if reading.Slow(now) && !call.Forced {
		return Elsewhere
	}
	return Start
}

// OnStart decides about a call that holds a slot and whose work usually takes the given time. The argument waited is
// how long the call has been held back so far.
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
