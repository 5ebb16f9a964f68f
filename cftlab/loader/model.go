// Package loader sends open-loop load and checks each answer against its request.
//
// Arrivals are a Poisson process that does not slow down when answers are late; latencies count from the
// intended send time. plan.go reads a plan, schedule.go draws arrivals, send.go sends requests, keys.go fetches
// idempotency keys in advance and check.go checks answers.
package loader

import (
	"time"

	"comfreytack/core/model"
)

// Plan is a mixed load.
type Plan struct {
	// Streams are sent at the same time.
	Streams []Stream `json:"streams"`
}

// Stream is the load of one customer on one route.
type Stream struct {
	// Customer and Service are names of a contract and a service on the platform.
	Customer model.Customer    `json:"customer"`
	Service  model.ServiceName `json:"service"`
	// Method is an HTTP method; GET when empty.
	Method string `json:"method"`
	// Path starts with a slash and does not name the service.
	Path string `json:"path"`
	// Class only labels the rows of the result; it is not sent.
	Class model.Class `json:"class"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Rate is the mean number of requests per second until the first step.
	Rate float64 `json:"rate"`
	// Steps change the rate. They are ordered by AtMs.
	Steps []Step `json:"steps,omitempty"`
	// DeadlineMs is the deadline sent with each request, in milliseconds; positive.
	DeadlineMs int `json:"deadline_ms"`
	// WorkUs is how long the upstream works on a request, in microseconds.
	WorkUs int `json:"work_us"`
	// Spread draws the work of each request from an exponential distribution with mean WorkUs.
	Spread bool `json:"spread"`
	// Size is the size of an answer's payload, in bytes.
	Size int `json:"size"`
	// Body is sent with each request; "{id}" becomes the id of its first send.
	Body string `json:"body,omitempty"`
	// Keyed requests carry an idempotency key, where the daemons issue keys.
	Keyed bool `json:"keyed"`
	// Resend bounds how often a request that was not served is sent again. A resend has the same key when an earlier send
	// may have run, and a new key otherwise. Work that may have run without a key, or ran, is not sent again.
	Resend int `json:"resend"`
	// Direct requests go straight to an upstream, without a daemon; their answers have no verdict.
	Direct bool `json:"direct"`
}

// Step changes the rate of a stream.
type Step struct {
	// AtMs is the time since the start, in milliseconds.
	AtMs int `json:"at_ms"`
	// Rate is the mean number of requests per second from then on.
	Rate float64 `json:"rate"`
}

// Record is the result of one send.
type Record struct {
	// ID is unique for each send. After a send that may have run, all later sends of the same work have its Key.
	ID  string `json:"id"`
	Key string `json:"key,omitempty"`
	// Work is the id of the first send of the same work; non-idempotent work must not run twice.
	Work string `json:"work"`
	// Customer, Class and Idempotent are those of the stream.
	Customer   model.Customer `json:"customer"`
	Class      model.Class    `json:"class"`
	Idempotent bool           `json:"idempotent"`
	// Intended is the planned send time since the start.
	Intended time.Duration `json:"intended_ns"`
	// Late is the delay from Intended to the actual send time.
	Late time.Duration `json:"late_ns"`
	// Latency is from Intended to the last byte of the answer.
	Latency time.Duration `json:"latency_ns"`
	// Deadline is how long the caller was willing to wait.
	Deadline time.Duration `json:"deadline_ns"`
	// Verdict is MayHaveRun when the caller connected but got no verdict.
	Verdict model.Verdict `json:"verdict"`
	// Reason is the reason that the daemon gave, or NoVerdict or NoConnection.
	Reason string `json:"reason"`
	// Status is the HTTP status, or zero without a complete answer.
	Status int `json:"status"`
	// Wrong means that a complete answer does not match the request or contradicts its verdict.
	Wrong bool `json:"wrong"`
	// Error is the error of the caller's HTTP client, if any.
	Error string `json:"error,omitempty"`
}

// Reasons that no daemon gives.
const (
	// NoVerdict means that the caller got no answer, or one without a verdict.
	NoVerdict = "no_verdict"
	// NoConnection means that the caller could not connect, so that nothing ran.
	NoConnection = "no_connection"
)

// Served reports whether the caller got the complete answer of a successful run. The verdict of such an answer is
// may_have_run when an earlier attempt of an idempotent request may have run too.
func (r Record) Served() bool {
	return r.Verdict != model.NotRun && r.Status >= 200 && r.Status < 400 && !r.Wrong
}
