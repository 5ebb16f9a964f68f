package model

//go:generate go tool stringer -type=Verdict,Class,Tier,State,Reason -linecomment -output=enums_string.go

// Verdict states whether a request may have run.
type Verdict int

// The verdicts, in order of certainty that the request ran.
const (
	// NotRun means that no upstream has started the request or ever will.
	NotRun Verdict = iota // not_run
	// MayHaveRun means that no reachable daemon knows whether the request ran.
	MayHaveRun // may_have_run
	// Ran means that an upstream ran the request exactly once and this is its answer.
	Ran // ran
)

// Class separates short requests from long ones.
type Class int

// The classes of work.
const (
	// Short work is the default.
	Short Class = iota // short
	// Long work runs many times longer and may use only part of a gate's slots.
	Long // long
)

// Tier states whether a contract is guaranteed a share.
type Tier int

// The tiers of contracts.
const (
	// Standard contracts are guaranteed a share of every gate by weight.
	Standard Tier = iota // standard
	// Background contracts use only slots that no standard contract needs.
	Background // background
)

// State is an upstream's state as far as it is known.
type State int

// The states of an upstream.
const (
	// Live upstreams accept new work.
	Live State = iota // live
	// Leaving upstreams finish what is in flight and accept no new work.
	Leaving // leaving
	// Gone upstreams have ended or were replaced.
	Gone // gone
)

// Reason explains a refusal or a failure to callers and operators.
type Reason int

// The reasons, as sent in the Comfreytack-Reason header.
const (
	// NoReason is the reason of a complete answer.
	NoReason Reason = iota // none
	// NoContract means that the customer has no contract in force.
	NoContract // no_contract
	// NoService means that this daemon does not know the service.
	NoService // no_service
	// NoUpstream means that no upstream of the service could be tried.
	NoUpstream // no_upstream
	// NotReady means that the daemon has not received its configuration yet.
	NotReady // not_ready
	// QueueFull means that the customer's queue at the gate is at its limit.
	QueueFull // queue_full
	// TooLate means that the work could not start and finish before its deadline.
	TooLate // too_late
	// UpstreamLeaving means that the upstream accepts no new work.
	UpstreamLeaving // upstream_leaving
	// DaemonPaused means that the daemon resumed after a pause and does not trust its state again yet.
	DaemonPaused // daemon_paused
	// Quarantined means that requests with this fingerprint have crashed upstreams.
	Quarantined // quarantined
	// UpstreamDown means that no connection to the upstream could be opened.
	UpstreamDown // upstream_down
	// UpstreamDied means that the connection to the upstream broke while the request ran.
	UpstreamDied // upstream_died
	// UpstreamShed means that the upstream refused before it did any work.
	UpstreamShed // upstream_shed
	// GateLost means that the connection to the gate's daemon was lost after the request was sent.
	GateLost // gate_lost
	// Truncated means that the answer ended before the end that its framing announced.
	Truncated // truncated
	// DeadlinePassed means that the deadline passed while an upstream had the request.
	DeadlinePassed // deadline_passed
	// CallerGone means that the caller cancelled.
	CallerGone // caller_gone
	// KeyUnknown means that the idempotency key was never issued.
	KeyUnknown // key_unknown
	// KeyExpired means that the idempotency key is too old for its home to have a record of it.
	KeyExpired // key_expired
	// KeyInUse means that an earlier send of this key is still running. Daemons do not send it: a later send waits for
	// the outcome of the one that is running.
	KeyInUse // key_in_use
	// HomeLost means that the daemon that issued the key is gone or unreachable.
	HomeLost // home_lost
	// BadRequest means that the request could not be understood.
	BadRequest // bad_request
	// RetriesSpent means that a hop below has used up its attempts; hops above do not retry. Daemons do not send it: a
	// final failure keeps its own reason and sets Failure.NoRetry.
	RetriesSpent // retries_spent
	// SlotsShort means that the request, which may have crashed an upstream, was still waiting for another such request
	// to end when its own time was over.
	SlotsShort // slots_short
	// Stopping means that the daemon is shutting down.
	Stopping // stopping
	// NoRoute means that no route of the document matches.
	NoRoute // no_route
	// BodyTooLarge means that the request's body exceeds the document's limit.
	BodyTooLarge // body_too_large
	// UpstreamReplaced means that another instance now runs where the call was sent.
	UpstreamReplaced // upstream_replaced
	// InstanceRefused means that the upstream itself answered that it is another instance than the call is meant for.
	InstanceRefused // instance_refused
	// InstanceStale means that the gate refused because its upstream has just answered an earlier call like that.
	InstanceStale // instance_stale
	// NearlyFull means that all slots of the gate are in use, and that another upstream may have a free one.
	NearlyFull // nearly_full
	// UpstreamSlow means that the upstream's machine is in a slowdown caused by its neighbours.
	UpstreamSlow // upstream_slow
	// WrongAnswer means that the answer received does not belong to this request.
	WrongAnswer // wrong_answer
	// DomainEvacuated means that an operator has evacuated the upstream's failure domain.
	DomainEvacuated // domain_evacuated
	// UpstreamCold means that the upstream has just started and takes no further request at the moment.
	UpstreamCold // upstream_cold
	// MemoryShort means that the daemon has no memory left to hold the request or its answer.
	MemoryShort // memory_short
)
