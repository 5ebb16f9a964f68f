// Package faults draws and applies faults to a running deployment, overlapping and repeated.
//
// draw.go decides what happens from a seed alone; apply.go makes it happen.
package faults

import (
	"time"

	"github.com/pkg/errors"
)

//go:generate go tool stringer -type=Kind -linecomment -output=enums_string.go

// Kind is what goes wrong.
type Kind int

// The kinds of faults.
const (
	// Drain makes an upstream say that it drains.
	Drain Kind = iota // drain
	// Slow makes work ten times longer.
	Slow // slow
	// Shed makes an upstream refuse all work.
	Shed // shed
	// FailFast makes an upstream answer 500 at once.
	FailFast // fail_fast
	// Truncate breaks off some answers.
	Truncate // truncate
	// Cold makes an upstream slow as after a start.
	Cold // cold
	// Lie makes an upstream report no load.
	Lie // lie
	// Noisy takes half of an upstream's slots.
	Noisy // noisy
	// KillUpstream ends an upstream at once; it is started again.
	KillUpstream // kill_upstream
	// KillDaemon ends a daemon at once; it is started again.
	KillDaemon // kill_daemon
	// StopDaemon stops a daemon gracefully; it is started again.
	StopDaemon // stop_daemon
	// PauseDaemon stops a daemon's threads for a while.
	PauseDaemon // pause_daemon
	// LinkReset resets the connections of a gate or an upstream.
	LinkReset // link_reset
	// LinkLate delays what they carry.
	LinkLate // link_late
	// LinkOneWay loses what the gate or the upstream sends.
	LinkOneWay // link_one_way
	// LinkSilent loses what goes either way, without a reset.
	LinkSilent // link_silent
	// PlatformSilent loses what goes to and from the platform, without a reset.
	PlatformSilent // platform_silent
	// PlatformDown makes the platform refuse reads.
	PlatformDown // platform_down
	// PlatformStale freezes what the platform shows.
	PlatformStale // platform_stale
	// PlatformReordered shuffles the changes of each answer.
	PlatformReordered // platform_reordered
)

// ParseKind returns the kind with a name, for example "kill_daemon".
func ParseKind(name string) (Kind, error) {
	for kind := Drain; kind <= PlatformReordered; kind++ {
		if kind.String() == name {
			return kind, nil
		}
	}
	return 0, errors.Errorf("no kind of fault is called %q", name)
}

// AllKinds returns all kinds.
func AllKinds() []Kind {
	kinds := []Kind{}
	for kind := Drain; kind <= PlatformReordered; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Fault is one thing that goes wrong for a while.
type Fault struct {
	Kind Kind
	// At is the time since the start, and Span how long it lasts.
	At       time.Duration
	Duration time.Duration
	// Node is the index of the upstream and its daemon; unused for faults of the platform.
	Node int
}
