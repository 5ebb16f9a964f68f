// Package talk translates between calls and the HTTP messages that callers and upstreams exchange with the daemon. It
// makes no routing or retry decisions.
package talk

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/model"
)

// Dialect translates the HTTP messages of one platform. Entry and gate are generic over it.
type Dialect interface {
	// ReadCall reads a call from a caller's request. Its failures have verdict NotRun; the call that comes with one has
	// the fields that were read by then.
	ReadCall(r *http.Request, snapshot *model.Snapshot, now time.Time) (model.Call, *model.Failure)
	// SetAnswer adds the system's own headers to an upstream's answer for the caller. The verdict covers all attempts.
	SetAnswer(header http.Header, call model.Call, verdict model.Verdict)
	// WriteFailure answers the caller with a failure.
	WriteFailure(w http.ResponseWriter, call model.Call, failure *model.Failure)
	// SetUpstream sets the headers of a request to an upstream, such as the time left for the call.
	SetUpstream(header http.Header, call model.Call, now time.Time)
	// CheckAnswer returns a failure when an upstream's response is not the answer to the call: with verdict NotRun when
	// the upstream refused before any work, and MayHaveRun when the connection must not be reused.
	CheckAnswer(call model.Call, service model.Service, answer *http.Response) *model.Failure
	// NamesRequest reports whether an upstream's response says that it belongs to the call.
	NamesRequest(call model.Call, answer *http.Response) bool
	// PacePercent reads from the headers of an upstream's answer how long work takes on its machine now, in percent of
	// the usual time; zero when they do not say.
	PacePercent(header http.Header) int
	// WarmupLeft reads from the headers of an upstream's answer at its health path how much longer it is cold; zero when
	// it is warm.
	WarmupLeft(header http.Header) time.Duration
	// AllowCloseDelimited reports whether an upstream's answer may have neither a length nor chunks and end when its
	// connection is closed.
	AllowCloseDelimited() bool
}

// Refuse returns the failure of a call that is refused before anything was sent to an upstream.
func Refuse(reason model.Reason) *model.Failure {
	return &model.Failure{Verdict: model.NotRun, Reason: reason}
}

// FailureOf returns the *model.Failure that err is or wraps, as all errors of package wire do. Any other error
// becomes a BadRequest.
func FailureOf(err error) *model.Failure {
	var failure *model.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: err}
}
