// Package stub implements a fake upstream: it answers requests after a given time and can be made to fail.
//
// commands.go changes the switches, queries.go reads state, serve.go serves traffic and listen.go delays connections.
package stub

import (
	"time"

	"github.com/samber/mo"
)

// StatusShed is the HTTP status with which an upstream refuses a request before any work. Nothing else uses it.
const StatusShed = 529

// Settings are fixed when an upstream starts.
type Settings struct {
	// Name is unique in the fleet.
	Name string
	// Slots is the number of requests that can run at once; positive.
	Slots int
	// Waiting bounds the requests that wait for a slot; more are shed.
	Waiting int
	// Work is how long a request takes when neither it nor its route says otherwise.
	Work time.Duration
	// Routes maps path prefixes to other default work times.
	Routes map[string]time.Duration
	// Probe is how long an answer to a health probe takes.
	Probe time.Duration
	// Now returns the current time.
	Now func() time.Time
	// Exit ends the process; called for a request that crashes the upstream.
	Exit func(code int)
}

// Switches are the simulated faults and states. A change publishes a new value; a published value is never modified.
type Switches struct {
	// Draining is reported to health probes; requests are still served.
	Draining bool `json:"draining"`
	// ColdUntil ends a cold start, during which work takes ColdFactor times as long.
	ColdUntil time.Time `json:"cold_until"`
	// Shed refuses every request with StatusShed before it runs.
	Shed bool `json:"shed"`
	// FailFast answers every request with 500 as soon as it has a slot.
	FailFast bool `json:"fail_fast"`
	// SlowFactor multiplies work times; at least 1.
	SlowFactor float64 `json:"slow_factor"`
	// ReportInFlight replaces the load that is reported to health probes, unless it is absent or negative.
	ReportInFlight mo.Option[int] `json:"report_in_flight"`
	// ReportLag makes answers to health probes report the load of that long ago.
	ReportLag time.Duration `json:"report_lag"`
}

// Change is the body of POST /control. Fields that are absent stay as they are.
type Change struct {
	// Drain sets Switches.Draining.
	Drain mo.Option[bool] `json:"drain"`
	// ColdMs begins a cold start of that many milliseconds.
	ColdMs mo.Option[int] `json:"cold_ms"`
	// Shed sets Switches.Shed.
	Shed mo.Option[bool] `json:"shed"`
	// FailFast sets Switches.FailFast.
	FailFast mo.Option[bool] `json:"fail_fast"`
	// SlowFactor sets Switches.SlowFactor.
	SlowFactor mo.Option[float64] `json:"slow_factor"`
	// ReportInFlight sets Switches.ReportInFlight; a negative number restores the real load.
	ReportInFlight mo.Option[int] `json:"report_in_flight"`
	// ReportLagMs sets Switches.ReportLag.
	ReportLagMs mo.Option[int] `json:"report_lag_ms"`
	// TruncateNext truncates that many of the next answers.
	TruncateNext mo.Option[int] `json:"truncate_next"`
	// NeighbourMs takes half of the slots for that many milliseconds.
	NeighbourMs mo.Option[int] `json:"neighbour_ms"`
}

// Run is one execution of a request.
type Run struct {
	// Upstream ran the request.
	Upstream string `json:"upstream"`
	// ID, Key and Customer are the request's headers; Key is empty when it had none.
	ID       string `json:"id"`
	Key      string `json:"key,omitempty"`
	Customer string `json:"customer"`
	// Method and Path are those of the request as the upstream received it.
	Method string `json:"method"`
	Path   string `json:"path"`
	// Started is when the work began, and Finished when its answer was ready; zero while it runs.
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished,omitzero"`
}

// Answer is the first line of a response; Length bytes of payload follow it.
type Answer struct {
	// Upstream is who answers; ID and Key are those of the request.
	Upstream string `json:"upstream"`
	ID       string `json:"id"`
	Key      string `json:"key,omitempty"`
	// BodySum is the checksum of the request body that was received.
	BodySum uint64 `json:"body_sum"`
	// Length and Sum are the size in bytes and the checksum of the payload.
	Length int    `json:"length"`
	Sum    uint64 `json:"sum"`
}

// Health is the answer to a probe.
type Health struct {
	Draining bool `json:"draining"`
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
}
