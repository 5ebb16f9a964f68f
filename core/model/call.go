package model

import (
	"time"

	"github.com/samber/mo"
)

// Call is one request as decisions see it, without its encoding.
type Call struct {
	// ID is unique for each send of a request; it stays the same over the attempts of one send.
	ID string
	// Customer holds the contract that the call runs under.
	Customer Customer
	// Service is the service that is called.
	Service ServiceName
	// Route is the name of the route of the document that the call follows; empty when there is none.
	Route string
	// Rank orders calls when not all can be served; 0 goes first.
	Rank int
	// Target is when the answer loses its full worth; zero when it has none, and then Deadline counts.
	Target time.Time
	// CallerTimeout is how long the caller said that it waits, before any bound; zero when it did not say.
	CallerTimeout time.Duration
	// Attempts bounds the upstreams that the call may reach; zero means no bound of its own.
	Attempts int
	// Instance is the life of the upstream that an attempt is meant for; empty for any.
	Instance InstanceID
	// Forced asks a gate to take the call although its upstream is slow at the moment, or to let it wait for a slot: no
	// other is left.
	Forced bool
	// Parent is the ID of the request whose run made this call, as its sender says; empty when it says none, and on the
	// project's own interface, where a customer's share decides.
	Parent string
	// Nested says that the upstream beside the entry is working on Parent: refusing the call wastes that work.
	Nested bool
	// Origin is the service of the upstream beside the entry.
	Origin ServiceName
	// Method and Path choose the Route.
	Method string
	Path   string
	// Class and Idempotent follow from the route.
	Class      Class
	Idempotent bool
	// Key is the caller's idempotency key, if it sent one.
	Key mo.Option[Key]
	// Send numbers the caller's sends of Key from 1; zero when the caller does not number them.
	Send int
	// Deadline is when the caller stops waiting; never zero.
	Deadline time.Time
	// RunUntil is when a run that has started is given up; zero means at Deadline. It is later for a call
	// with a key, whose next send wants the outcome.
	RunUntil time.Time
	// Suspect marks an attempt that follows the death of an upstream over this call.
	Suspect bool
	// Fingerprint is zero when the body was too large to hash.
	Fingerprint Fingerprint
}

// RunDeadline returns when a run that has started is given up.
func (c *Call) RunDeadline() time.Time {
	if c.RunUntil.After(c.Deadline) {
		return c.RunUntil
	}
	return c.Deadline
}

// Key is an idempotency key that a daemon issued in advance.
type Key struct {
	// Home is the upstream whose daemon issued the key.
	Home UpstreamName
	// Incarnation is the life of Home that issued it; no other life can vouch for it.
	Incarnation Incarnation
	// Sequence rises by one with each key of one incarnation; never zero.
	Sequence uint64
}

// Failure is the error of a call. It always says whether the request may have run.
type Failure struct {
	// Verdict is NotRun only where the speaker knows.
	Verdict Verdict
	// Reason is never NoReason.
	Reason Reason
	// NoRetry marks a refusal whose attempts are used up, so that hops above do not retry.
	NoRetry bool
	// RetryAfter is how long the caller had better wait; zero when unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, if there is one.
	Cause error
}

// Error describes the failure, for example "not_run: queue_full".
func (f *Failure) Error() string {
	text := f.Verdict.String() + ": " + f.Reason.String()
	if f.Cause == nil {
		return text
	}
	return text + ": " + f.Cause.Error()
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// GateReport is what a gate says of its own load, carried on every reply.
type GateReport struct {
	// Upstream and Incarnation name the reporting gate.
	Upstream    UpstreamName `json:"upstream"`
	Incarnation Incarnation  `json:"incarnation"`
	// InFlight counts the slots in use, from 0 to Slots.
	InFlight int `json:"in_flight"`
	// Queued counts the waiting requests.
	Queued int `json:"queued"`
	// Slots is how many slots the gate hands out now.
	Slots int `json:"slots"`
	// WaitUs is the expected wait of a new short request, in microseconds.
	WaitUs int64 `json:"wait_us"`
	// ServiceUs is the recent mean service time of short work, in microseconds.
	ServiceUs int64 `json:"service_us"`
	// PacePercent is how long work takes on the upstream's machine now, where 100 is as usual; zero when the
	// upstream does not say.
	PacePercent int `json:"pace_percent,omitempty"`
	// Leaving says that the gate takes no new work.
	Leaving bool `json:"leaving"`
	// Revision is the configuration in force at the gate.
	Revision Revision `json:"revision"`
}
