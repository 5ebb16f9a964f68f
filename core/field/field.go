// Package field defines the names of log fields for the code that writes logs and the code that reads them.
package field

// The names of log fields, which docs/OPERATIONS.md explains.
const (
	// Request is the ID of one send of a request, the same at entry and gate.
	Request = "request_id"
	// Route, Service, Rank and Instance describe the request's destination.
	Route    = "route"
	Service  = "service"
	Rank     = "rank"
	Instance = "instance"
	// Upstream is the upstream's name, which is also the name of its daemon.
	Upstream = "upstream"
	// FailureDomain is the failure domain that an operator evacuated or took back.
	FailureDomain = "failure_domain"
	// WarmupLeftMs is how much longer the upstream is cold.
	WarmupLeftMs = "warmup_left_ms"
	// Verdict and Reason describe the outcome, by the same values as the metrics.
	Verdict = "verdict"
	Reason  = "reason"
	Status  = "status"
	Cause   = "cause"
	// Attempts counts the gates that were tried, and Tries lists them as "upstream reason milliseconds".
	Attempts = "attempts"
	Tries    = "tries"
	// TookMs, WaitedMs, LeftMs and WorkMs are durations in ms: of the whole call, of the wait in the queue, until the
	// deadline, and the expected one of the work.
	TookMs   = "took_ms"
	WaitedMs = "waited_ms"
	LeftMs   = "left_ms"
	WorkMs   = "work_ms"
	// InFlight, Queued, Slots, Pace and PaceAgeMs describe the gate's upstream as the gate knew it.
	InFlight  = "in_flight"
	Queued    = "queued"
	Slots     = "slots"
	Pace      = "pace_percent"
	PaceAgeMs = "pace_age_ms"
	// Revision and Document identify the configuration that the decision was based on.
	Revision = "revision"
	Document = "document"
	FreshMs  = "fresh_ms"
	Dropped  = "dropped"
	// Daemon is the daemon that wrote the line, under the name of its upstream.
	Daemon = "daemon"
	Error  = "error"
)

// The messages of log lines about one request.
const (
	CallAnswered = "call answered"
	CallFailed   = "call failed"
	GateAdmitted = "gate admitted"
	GateRefused  = "gate refused"
)
