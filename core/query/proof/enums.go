package proof

//go:generate go tool stringer -type=Observation,Reporter -linecomment -output=enums_string.go

// Observation is what one hop has seen of one attempt.
type Observation int

// The observations. "Sent" means that at least one byte of the request may have left this hop.
const (
	// RefusedHere means that this hop refused the request itself, before it sent anything.
	RefusedHere Observation = iota // refused_here
	// NothingSent means that no connection was made, or that no byte was written to it.
	NothingSent // nothing_sent
	// CancelledQueued means that the caller left while the request was queued here.
	CancelledQueued // cancelled_queued
	// ExpiredQueued means that the deadline passed while the request was queued here.
	ExpiredQueued // expired_queued
	// PausedBeforeStart means that a pause between dequeue and start outlasted the deadline or the caller.
	PausedBeforeStart // paused_before_start
	// SentThenSilent means that the request was sent and the connection broke before an answer began.
	SentThenSilent // sent_then_silent
	// CancelledRunning means that the caller left after the request was sent.
	CancelledRunning // cancelled_running
	// ExpiredRunning means that the deadline passed after the request was sent.
	ExpiredRunning // expired_running
	// AnswerTruncated means that an answer ended before the end that its framing announced.
	AnswerTruncated // answer_truncated
	// AnswerMalformed means that the bytes received could not be parsed as one answer.
	AnswerMalformed // answer_malformed
	// AnswerWhole means that the upstream's complete answer to this request was read, whatever its status.
	AnswerWhole // answer_whole
	// UpstreamShed means that the upstream refused the request and stated that it had done no work.
	UpstreamShed // upstream_shed
	// GateSaidNotRun, GateSaidMayHaveRun and GateSaidRan are complete replies of the next daemon.
	GateSaidNotRun     // gate_said_not_run
	GateSaidMayHaveRun // gate_said_may_have_run
	GateSaidRan        // gate_said_ran
	// GateSaidNothing is a reply without a verdict: its sender is not a daemon.
	GateSaidNothing // gate_said_nothing
)

// Reporter is the daemon that reports the verdict on a keyed call.
type Reporter int

// The reporters.
const (
	// Bystander is any daemon but the home of the key.
	Bystander Reporter = iota // bystander
	// Home is the daemon that issued the key.
	Home // home
)
