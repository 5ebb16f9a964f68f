// Package retry decides whether a failed attempt of a call is followed by another.
//
// Attempts never multiply along a chain of calls: a hop that gives up marks the failure as final for retries, and no
// hop retries a marked failure.
package retry

//go:generate go tool stringer -type=Action -linecomment -output=enums_string.go

import (
	"time"

	"comfreytack/core/model"
)

// MaxAttempts bounds the attempts of one call at one hop, the first one included.
const MaxAttempts = 3

// MaxShed bounds the attempts of one call that an upstream refused before any work. They do not count towards MaxAttempts:
// each is over at once and costs the upstream next to nothing, and the budget bounds them all the same.
const MaxShed = 5

// RefusalLead is how long before its deadline a call that waits is refused, so that the refusal reaches its entry and the
// caller in time. An attempt that has no more time left could only be refused, and the refusal would come too late.
const RefusalLead = 15 * time.Millisecond

// MaxCrashes bounds how many attempts of one call may end with a crash of their upstream and still be followed by
// another.
const MaxCrashes = 1

// Action is what happens after a failed attempt.
type Action int

// The actions.
const (
	// GiveUp means that the failure goes to the caller.
	GiveUp Action = iota // give_up
	// Again means that another upstream is tried.
	Again // again
)

// State is what an entry knows about a call after a failed attempt.
type State struct {
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// MinDuration is the least time that another attempt can take; zero when unknown.
	MinDuration time.Duration
	// Idempotent means that the call may run more than once.
	Idempotent bool
	// Attempts counts the attempts that have failed, this one included; at least 1.
	Attempts int
	// Shed counts those of them that an upstream refused before any work, this one included.
	Shed int
	// Crashes counts those of them for which MayHaveCrashed holds, this one included.
	Crashes int
	// Reached counts those of them that an upstream may have begun, this one included.
	Reached int
	// MaxReached bounds Reached; zero means no bound.
	MaxReached int
	// Untried counts the upstreams that are available and have not been tried.
	Untried int
}

// Decision is the answer to a failed attempt.
type Decision struct {
	Action Action
	// Failure goes to the caller on GiveUp, and is nil on Again. It is always marked as final for retries.
	Failure *model.Failure
}

// Next decides after a failed attempt. It calls spend last, and only if everything else allows another attempt and the
// failed one may have reached an upstream; spend takes one retry from the budget and reports whether one was left. A
// call that a gate refused cost no upstream anything, so trying another upstream needs no budget.
func Next(now time.Time, state State, failure *model.Failure, spend func() bool) Decision {
	if allowed(now, state, failure) && (!Reached(failure.Reason) || spend()) {
		return Decision{Action: Again}
	}
	return Decision{Action: GiveUp, Failure: Final(failure)}
}

// Final returns a copy of the failure for the caller, marked as final for retries.
func Final(failure *model.Failure) *model.Failure {
	final := *failure
	final.NoRetry = true
	return &final
}

func allowed(now time.Time, state State, failure *model.Failure) bool {
	switch {
	case failure.NoRetry:
		return false
	case state.Attempts-state.Shed >= MaxAttempts, state.Shed > MaxShed:
		return false
	case state.Untried < 1:
		return false
	case state.MaxReached > 0 && state.Reached >= state.MaxReached:
		return false
	case !now.Add(state.MinDuration).Before(state.Deadline):
		return false
	case failure.Verdict == model.NotRun:
		return dependsOnUpstream(failure.Reason)
	case failure.Verdict == model.MayHaveRun:
		return state.Idempotent && state.Crashes <= MaxCrashes && dependsOnUpstream(failure.Reason)
	default:
		return false
	}
}

// MayHaveCrashed reports whether a reason means that the request may have crashed the upstream. A lost gate counts,
// because a server can fail together with its daemon.
func MayHaveCrashed(reason model.Reason) bool {
	return reason == model.UpstreamDied || reason == model.GateLost || reason == model.Truncated
}

// Reached reports whether an attempt that failed for the reason may have reached an upstream.
func Reached(reason model.Reason) bool {
	switch reason {
	case model.QueueFull, model.TooLate, model.SlotsShort, model.UpstreamLeaving, model.UpstreamReplaced, model.InstanceStale, model.UpstreamSlow, model.NearlyFull,
		model.DaemonPaused, model.NotReady, model.Stopping, model.Quarantined, model.UpstreamDown, model.NoContract,
		model.DomainEvacuated, model.UpstreamCold:
		return false
	default:
		return true
	}
}

// dependsOnUpstream reports whether another upstream could answer differently.
func dependsOnUpstream(reason model.Reason) bool {
	switch reason {
	case model.NoContract, model.NoService, model.NoUpstream, model.Quarantined, model.DeadlinePassed,
		model.CallerGone, model.KeyUnknown, model.KeyExpired, model.KeyInUse, model.HomeLost,
		model.BadRequest, model.RetriesSpent:
		return false
	default:
		return true
	}
}
