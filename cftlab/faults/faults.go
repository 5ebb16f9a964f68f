// Package faults draws random faults, which may overlap and repeat, and applies them to a running deployment.
//
// draw.go chooses the faults from a seed alone; apply.go applies them.
package faults

import (
	"time"

	"github.com/pkg/errors"
)

//go:generate go tool stringer -type=Kind -linecomment -output=enums_string.go

// Kind is the kind of a fault.
type Kind int

// The kinds of faults.
const (
	// Drain makes an upstream report that it is draining.
	Drain Kind = iota // drain
	// Slow makes work on an upstream take ten times as long.
	Slow // slow
	// Shed makes an upstream refuse all requests before they run.
	Shed // shed
	// FailFast makes an upstream answer 500 at once.
	FailFast // fail_fast
	// Truncate makes an upstream break off its next answers.
	Truncate // truncate
	// Cold makes an upstream as slow as after a cold start.
	Cold // cold
	// Lie makes an upstream report that it has no requests in flight.
	Lie // lie
	// Noisy takes half of an upstream's slots, as a busy neighbour on its server would.
	Noisy // noisy
	// Evacuate evacuates the failure domain of an upstream, whose upstreams come back cold.
	Evacuate // evacuate
	// KillUpstream kills an upstream and later restarts it.
	KillUpstream // kill_upstream
	// KillDaemon kills a daemon and later restarts it.
	KillDaemon // kill_daemon
	// StopDaemon stops a daemon gracefully and later restarts it.
	StopDaemon // stop_daemon
	// PauseDaemon suspends a daemon's threads for a while.
	PauseDaemon // pause_daemon
	// LinkReset resets the connections to a gate or an upstream.
	LinkReset // link_reset
	// LinkLate delays all bytes on the connections to a gate or an upstream.
	LinkLate // link_late
	// LinkOneWay drops the bytes that a gate or an upstream sends.
	LinkOneWay // link_one_way
	// LinkSilent drops the bytes in both directions, without a reset.
	LinkSilent // link_silent
	// PlatformSilent drops all bytes to and from the platform, without a reset.
	PlatformSilent // platform_silent
	// PlatformDown makes the platform refuse reads.
	PlatformDown // platform_down
	// PlatformStale makes the platform answer with the state of when the fault began.
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

// AllKinds returns every kind in the order of the constants.
func AllKinds() []Kind {
	kinds := []Kind{}
	for kind := Drain; kind <= PlatformReordered; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// Fault is one fault of one upstream, daemon, link or the platform.
type Fault struct {
	Kind Kind
	// At is when the fault begins, measured from the start of the run, and Duration how long it lasts.
	At       time.Duration
	Duration time.Duration
	// Node is the index of the affected node; unused for faults of the platform.
	Node int
}
