// Package retry decides whether a failed attempt of a call is followed by another.
//
// Attempts never multiply down a chain of calls: whatever a hop gives up it marks as spent, and no hop
// retries what is marked.
package retry

//go:generate go tool stringer -type=Action -linecomment -output=enums_string.go

import (
	"time"

	"comfreytack/core/model"
)

// MaxAttempts bounds the attempts of one call at one hop, the first one included.
const MaxAttempts = 3

// MaxDeaths bounds how many attempts of one call may end with the death of their upstream and still be
// followed by another.
const MaxDeaths = 1

// Action is what happens after a failed attempt.
type Action int

// The actions.
const (
	// GiveUp means that the failure goes to the caller.
	GiveUp Action = iota // give_up
	// Again means that another upstream is tried.
	Again // again
)

// State is what an entry knows of a call after a failed attempt.
type State struct {
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Shortest is the least time that another attempt can take; zero when unknown.
	Shortest time.Duration
	// Idempotent says that the call may run more than once.
	Idempotent bool
	// Attempts counts the attempts that have failed, this one included; at least 1.
	Attempts int
	// Deaths counts those of them whose reason is a Death, this one included.
	Deaths int
	// Reached counts those of them that may have reached an upstream, this one included.
	Reached int
	// MostReached bounds Reached; zero means no bound of its own.
	MostReached int
	// Untried counts the upstreams that could be tried and were not.
	Untried int
}

// Decision is the answer to a failed attempt.
type Decision struct {
	// Action says what happens.
	Action Action
	// Failure goes to the caller on GiveUp, and is nil on Again. It is always marked as spent.
	Failure *model.Failure
}

// Next decides after a failed attempt. It calls spend last, and only if nothing else stands against
// another attempt and the failed one may have reached an upstream; spend takes one retry from the budget and
// says whether there was one. What a gate refused cost no upstream anything, so trying another is free.
func Next(now time.Time, state State, failure *model.Failure, spend func() bool) Decision {
	if allowed(now, state, failure) && (!Reached(failure.Reason) || spend()) {
		return Decision{Action: Again}
	}
	return Decision{Action: GiveUp, Failure: GivenUp(failure)}
}

// GivenUp returns the failure as it goes to the caller: marked as spent.
func GivenUp(failure *model.Failure) *model.Failure {
	passed := *failure
	passed.NoRetry = true
	return &passed
}

func allowed(now time.Time, state State, failure *model.Failure) bool {
	switch {
	case failure.NoRetry:
		return false
	case state.Attempts >= MaxAttempts:
		return false
	case state.Untried < 1:
		return false
	case state.MostReached > 0 && state.Reached >= state.MostReached:
		return false
	case !now.Add(state.Shortest).Before(state.Deadline):
		return false
	case failure.Verdict == model.NotRun:
		return elsewhere(failure.Reason)
	case failure.Verdict == model.MayHaveRun:
		return state.Idempotent && state.Deaths <= MaxDeaths && elsewhere(failure.Reason)
	default:
		return false
	}
}

// Death says whether a reason means that the upstream may have crashed over the request. A lost gate
// counts, because a server can go down with its daemon.
func Death(reason model.Reason) bool {
	return reason == model.UpstreamDied || reason == model.GateLost || reason == model.Truncated
}

// Reached says whether an attempt that failed for a reason may have reached an upstream.
func Reached(reason model.Reason) bool {
	switch reason {
	case model.QueueFull, model.TooLate, model.SlotsShort, model.UpstreamLeaving, model.UpstreamReplaced, model.UpstreamSlow, model.NearlyFull,
		model.DaemonPaused, model.NotReady, model.Stopping, model.Quarantined, model.UpstreamDown, model.NoContract:
		return false
	default:
		return true
	}
}

// elsewhere says whether another upstream could answer differently.
func elsewhere(reason model.Reason) bool {
	switch reason {
	case model.NoContract, model.NoService, model.NoUpstream, model.Quarantined, model.DeadlinePassed,
		model.CallerGone, model.KeyUnknown, model.KeyExpired, model.KeyInUse, model.HomeLost,
		model.BadRequest, model.RetriesSpent:
		return false
	default:
		return true
	}
}
