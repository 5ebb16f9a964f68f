// Package wire encodes calls, failures and reports as HTTP headers and statuses.
//
// It makes no decisions; another front end would have its own encoding package next to it.
package wire

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/model"
)

// The headers between callers and the system.
const (
	HeaderCustomer       = "Comfreytack-Customer"
	HeaderDeadlineMs     = "Comfreytack-Deadline-Ms"
	HeaderRequestID      = "Comfreytack-Request-Id"
	HeaderVerdict        = "Comfreytack-Verdict"
	HeaderReason         = "Comfreytack-Reason"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderWarmupMs is how much longer an upstream is cold, in ms, in its answers at its health path.
	HeaderWarmupMs = "Comfreytack-Warmup-Ms"
)

// The headers between daemons. They are removed from what callers and upstreams send.
const (
	HeaderKey    = "Comfreytack-Key"
	HeaderCall   = "Comfreytack-Call"
	HeaderReport = "Comfreytack-Report"
	// HeaderCold has what a gate reports of a cold upstream.
	HeaderCold = "Comfreytack-Cold"
	// HeaderNoRetry marks a failure as final for retries.
	HeaderNoRetry = "Comfreytack-Spent"
	// HeaderProbe marks a probe: a request for the gate's load report alone.
	HeaderProbe = "Comfreytack-Ask"
	// HeaderWaitMs is model.Failure.RetryAfter in ms; Retry-After has whole seconds.
	HeaderWaitMs = "Comfreytack-Wait-Ms"
	headerPrefix = "Comfreytack-"
)

// statuses maps each reason to the HTTP status of the refusal or failure.
var statuses = map[model.Reason]int{
	model.NoContract:      http.StatusForbidden,
	model.NoService:       http.StatusNotFound,
	model.BadRequest:      http.StatusBadRequest,
	model.KeyUnknown:      http.StatusBadRequest,
	model.KeyInUse:        http.StatusConflict,
	model.KeyExpired:      http.StatusConflict,
	model.QueueFull:       http.StatusTooManyRequests,
	model.Quarantined:     http.StatusTooManyRequests,
	model.SlotsShort:      http.StatusTooManyRequests,
	model.UpstreamDied:    http.StatusBadGateway,
	model.Truncated:       http.StatusBadGateway,
	model.GateLost:        http.StatusBadGateway,
	model.HomeLost:        http.StatusBadGateway,
	model.DeadlinePassed:  http.StatusGatewayTimeout,
	model.TooLate:         http.StatusGatewayTimeout,
	model.CallerGone:      http.StatusGatewayTimeout,
	model.NoUpstream:      http.StatusServiceUnavailable,
	model.NotReady:        http.StatusServiceUnavailable,
	model.UpstreamLeaving: http.StatusServiceUnavailable,
	model.DaemonPaused:    http.StatusServiceUnavailable,
	model.UpstreamDown:    http.StatusServiceUnavailable,
	model.UpstreamShed:    http.StatusServiceUnavailable,
	model.RetriesSpent:    http.StatusServiceUnavailable,
	model.Stopping:        http.StatusServiceUnavailable,

	model.NoRoute:          http.StatusNotFound,
	model.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	model.UpstreamReplaced: http.StatusServiceUnavailable,
	model.InstanceRefused:  http.StatusServiceUnavailable,
	model.InstanceStale:    http.StatusServiceUnavailable,
	model.WrongAnswer:      http.StatusBadGateway,
	model.NearlyFull:       http.StatusServiceUnavailable,
	model.UpstreamSlow:     http.StatusServiceUnavailable,
	model.DomainEvacuated:  http.StatusServiceUnavailable,
	model.UpstreamCold:     http.StatusServiceUnavailable,
	model.MemoryShort:      http.StatusServiceUnavailable,
}

// Status returns the HTTP status for a reason.
func Status(reason model.Reason) int {
	if status, known := statuses[reason]; known {
		return status
	}
	return http.StatusInternalServerError
}

// RemoveOwnHeaders removes all of the system's own headers, so that none from outside is trusted.
func RemoveOwnHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
}

// SetUpstream sets the headers that describe a call to its upstream.
func SetUpstream(header http.Header, call model.Call, now time.Time) {
	header.Set(HeaderCustomer, string(call.Customer))
	header.Set(HeaderRequestID, call.ID)
	header.Set(HeaderDeadlineMs, formatMillisecondsUntil(call.RunDeadline(), now))
}

// ReadDeadline returns the time left until the deadline; zero when the header is absent.
func ReadDeadline(header http.Header) (time.Duration, error) {
	return readMilliseconds(header, HeaderDeadlineMs)
}

// ReadWarmup returns how much longer an upstream is cold; zero when its answer does not say so.
func ReadWarmup(header http.Header) time.Duration {
	left, err := readMilliseconds(header, HeaderWarmupMs)
	if err != nil {
		// An answer that cannot be read says nothing; the upstream's entry still counts.
		return 0
	}
	return left
}

func readMilliseconds(header http.Header, name string) (time.Duration, error) {
	text := header.Get(name)
	if text == "" {
		return 0, nil
	}
	return parseMilliseconds(text)
}

func parseMilliseconds(text string) (time.Duration, error) {
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, badRequest(errors.Errorf("time is %q, not a number of milliseconds", text))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// SetFailure encodes a failure, except its cause.
func SetFailure(header http.Header, failure *model.Failure) {
	header.Set(HeaderVerdict, failure.Verdict.String())
	header.Set(HeaderReason, failure.Reason.String())
	if failure.NoRetry {
		header.Set(HeaderNoRetry, "1")
	}
	if failure.RetryAfter > 0 {
		seconds := int64((failure.RetryAfter + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.FormatInt(seconds, 10))
		header.Set(HeaderWaitMs, strconv.FormatInt(failure.RetryAfter.Milliseconds(), 10))
	}
}

// ReadFailure decodes the failure that SetFailure encoded, or returns nil when the reply is an answer. A reply
// without a valid verdict is a failure too, since it is unknown whether the request ran.
func ReadFailure(header http.Header) *model.Failure {
	failure := &model.Failure{Verdict: model.MayHaveRun, Reason: model.GateLost}
	if err := failure.Verdict.UnmarshalText([]byte(header.Get(HeaderVerdict))); err != nil {
		failure.Cause = err
		return failure
	}
	if err := failure.Reason.UnmarshalText([]byte(header.Get(HeaderReason))); err != nil {
		failure.Cause = err
		return failure
	}
	if failure.Reason == model.NoReason {
		return nil
	}
	failure.NoRetry = header.Get(HeaderNoRetry) == "1"
	wait, err := readMilliseconds(header, HeaderWaitMs)
	if err != nil {
		// The refusal is valid without its time; the cause appears in the log line of the call.
		failure.Cause = err
	}
	failure.RetryAfter = wait
	return failure
}

func formatMillisecondsUntil(end, now time.Time) string {
	return strconv.FormatInt(max(0, end.Sub(now).Milliseconds()), 10)
}

func badRequest(cause error) *model.Failure {
	return &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: cause}
}
