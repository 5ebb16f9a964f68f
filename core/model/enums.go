package model

//go:generate go tool stringer -type=Verdict,Class,Tier,State,Reason -linecomment -output=enums_string.go

// Verdict says whether a request may have run.
type Verdict int

// The verdicts, ordered by how much may have happened.
const (
	// NotRun means that no upstream has started or will ever start the request.
	NotRun Verdict = iota // not_run
	// MayHaveRun means that nobody in reach can tell.
	MayHaveRun // may_have_run
	// Ran means that an upstream ran the request exactly once and this is its answer.
	Ran // ran
)

// Class separates short work from long work.
type Class int

// The classes of work.
const (
	// Short work is the default.
	Short Class = iota // short
	// Long work runs many times longer and may hold only part of a gate's slots.
	Long // long
)

// Tier says whether a contract is guaranteed a share.
type Tier int

// The tiers of contracts.
const (
	// Standard contracts are guaranteed a share of every gate by weight.
	Standard Tier = iota // standard
	// Background contracts run only in slots that no standard contract wants.
	Background // background
)

// State is what is known of an upstream's life.
type State int

// The states of an upstream.
const (
	// Live upstreams take new work.
	Live State = iota // live
	// Leaving upstreams finish what is in flight and take no new work.
	Leaving // leaving
	// Gone upstreams have ended or were replaced.
	Gone // gone
)

// Reason explains a refusal or a failure to callers and operators.
type Reason int

// The reasons, as sent in the Comfreytack-Reason header.
const (
	// NoReason goes with a complete answer.
	NoReason Reason = iota // none
	// NoContract means that the customer has no contract in force.
	NoContract // no_contract
	// NoService means that the service is not known here.
	NoService // no_service
	// NoUpstream means that no upstream of the service could be tried.
	NoUpstream // no_upstream
	// NotReady means that the daemon has not learnt its configuration yet.
	NotReady // not_ready
	// QueueFull means that the customer's queue at the gate is at its bound.
	QueueFull // queue_full
	// TooLate means that the work could not start and finish before its deadline.
	TooLate // too_late
	// UpstreamLeaving means that the upstream takes no new work.
	UpstreamLeaving // upstream_leaving
	// DaemonPaused means that the daemon woke from a pause and has not re-read its marks.
	DaemonPaused // daemon_paused
	// Quarantined means that requests with this fingerprint have crashed upstreams.
	Quarantined // quarantined
	// UpstreamDown means that the upstream's connection could not be opened.
	UpstreamDown // upstream_down
	// UpstreamDied means that the upstream broke the connection while the request ran.
	UpstreamDied // upstream_died
	// UpstreamShed means that the upstream refused before it did any work.
	UpstreamShed // upstream_shed
	// GateLost means that contact with the gate's daemon was lost after the request was sent.
	GateLost // gate_lost
	// Truncated means that the answer ended before its framing said so.
	Truncated // truncated
	// DeadlinePassed means that the time ran out while the request was with an upstream.
	DeadlinePassed // deadline_passed
	// CallerGone means that the caller cancelled.
	CallerGone // caller_gone
	// KeyUnknown means that the idempotency key was never issued.
	KeyUnknown // key_unknown
	// KeyExpired means that the idempotency key is too old for its home to remember.
	KeyExpired // key_expired
	// KeyInUse means that the first send of this key is still running.
	KeyInUse // key_in_use
	// HomeLost means that the daemon that issued the key is gone or out of reach.
	HomeLost // home_lost
	// BadRequest means that the request could not be understood.
	BadRequest // bad_request
	// RetriesSpent means that a hop below has used up its attempts; hops above do not retry.
	RetriesSpent // retries_spent
	// SlotsShort means that the class or customer may hold no further slot now.
	SlotsShort // slots_short
	// Stopping means that the daemon is shutting down.
	Stopping // stopping
	// NoRoute means that no route of the document matches.
	NoRoute // no_route
	// BodyTooLarge means that the request's body is over the document's bound.
	BodyTooLarge // body_too_large
	// UpstreamReplaced means that another instance stands where the call was sent.
	UpstreamReplaced // upstream_replaced
	// NearlyFull means that all slots that the gate hands out are in use, and that another upstream may have a free one.
	NearlyFull // nearly_full
	// UpstreamSlow means that the upstream's machine is slowed by others at the moment.
	UpstreamSlow // upstream_slow
	// WrongAnswer means that what came back is no answer to this request.
	WrongAnswer // wrong_answer
)
