package model

import (
	"time"

	"github.com/samber/mo"
)

// Call is one request, independent of how it is encoded on the wire.
type Call struct {
	// ID is unique for each send of a request; all attempts of one send share it.
	ID string
	// Customer is the customer whose contract applies to the call.
	Customer Customer
	// Service is the service called.
	Service ServiceName
	// Route names the route of the document that matched the call; empty when none did.
	Route string
	// Rank is the priority when not all calls can be served; 0 is the highest.
	Rank int
	// Target is the time until which an answer has its full value; zero when the call has no target, and then
	// Deadline applies.
	Target time.Time
	// CallerTimeout is the timeout that the caller gave, before any limit is applied; zero when it gave none.
	CallerTimeout time.Duration
	// Attempts limits how many upstreams the call may reach; zero means no limit of its own.
	Attempts int
	// Instance is the instance of the upstream that an attempt is meant for; empty for any.
	Instance InstanceID
	// Forced makes a gate accept the call although its upstream is overloaded, that is, slowed at the moment or
	// without a free slot: no better upstream is left.
	Forced bool
	// Parent is the ID of the request during which an upstream made this call, as stated by the sender. It is empty when
	// the sender states none, and on the project's own interface, where the customer's share decides.
	Parent string
	// Nested is true when the local upstream of the entry, the daemon that got the call from its caller, is working on
	// Parent: refusing the call would waste that work.
	Nested bool
	// Origin is the service of the entry's local upstream.
	Origin ServiceName
	// Method and Path select the Route. Path is encoded as the caller sent it, and goes to the upstream so.
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
	// RunUntil is when a started run is aborted; zero means at Deadline. It is later for a call with a key, since
	// the next send of the key can still use the outcome.
	RunUntil time.Time
	// Suspect marks an attempt made after an upstream died while it ran this call.
	Suspect bool
	// Fingerprint identifies requests that are the same in customer, method, path and body; zero while the body is not
	// known to its end.
	Fingerprint Fingerprint
	// Prefix identifies requests whose long bodies begin alike; zero for a short body.
	Prefix Fingerprint
}

// RunDeadline returns when a started run is aborted.
func (c *Call) RunDeadline() time.Time {
	if c.RunUntil.After(c.Deadline) {
		return c.RunUntil
	}
	return c.Deadline
}

// Key is an idempotency key that a daemon issued in advance.
type Key struct {
	// Home is the upstream whose daemon issued the key and remembers the outcome of its call.
	Home UpstreamName
	// Incarnation is the incarnation of Home that issued the key; no other one knows whether its call ran.
	Incarnation Incarnation
	// Sequence increases by one with each key of an incarnation; never zero.
	Sequence uint64
}

// Failure is the error of a call. It always states whether the request may have run.
type Failure struct {
	// Verdict is NotRun only when whoever reports the failure knows that the request did not run.
	Verdict Verdict
	// Reason is never NoReason.
	Reason Reason
	// NoRetry marks the failure as final for retries: the attempts are used up, and hops above must not retry.
	NoRetry bool
	// RetryAfter is how long the caller should wait before it retries; zero when unknown.
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

// GateReport is a gate's load as reported by the gate on every reply.
type GateReport struct {
	// Upstream and Incarnation identify the reporting gate.
	Upstream    UpstreamName `json:"upstream"`
	Incarnation Incarnation  `json:"incarnation"`
	// InFlight is the number of slots in use, from 0 to Slots, or above by those kept for nested calls.
	InFlight int `json:"in_flight"`
	// Queued is the number of waiting requests.
	Queued int `json:"queued"`
	// Slots is the gate's current number of slots, free and in use.
	Slots int `json:"slots"`
	// WaitUs is the expected wait of a new short request, in microseconds.
	WaitUs int64 `json:"wait_us"`
	// ServiceUs is the recent mean service time of short work, in microseconds.
	ServiceUs int64 `json:"service_us"`
	// PacePercent is the upstream's pace: how long work takes on its machine now as a percentage of the usual time.
	// Zero when the upstream does not report it.
	PacePercent int `json:"pace_percent,omitempty"`
	// ColdMs is how much longer the upstream is cold, in ms; zero when it is warm or has no limit for that time.
	ColdMs int `json:"cold_ms,omitempty"`
	// ColdRoom is how many requests the cold upstream takes now, and ColdWaitMs when it takes one more, in ms; zero when
	// ColdRoom is positive.
	ColdRoom   int `json:"cold_room,omitempty"`
	ColdWaitMs int `json:"cold_wait_ms,omitempty"`
	// Leaving is true when the gate accepts no new work.
	Leaving bool `json:"leaving"`
	// Revision is the configuration in force at the gate.
	Revision Revision `json:"revision"`
}
