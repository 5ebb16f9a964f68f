// Package talk is how callers, the system and upstreams speak over HTTP. It translates and decides nothing.
package talk

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/model"
)

// Dialect is one way to speak. It is the part of an entry and a gate that varies.
type Dialect interface {
	// ReadCall works out what the caller asks. Failures have verdict NotRun.
	ReadCall(r *http.Request, snapshot *model.Snapshot, now time.Time) (model.Call, *model.Failure)
	// SetAnswer adds to an upstream's answer what the caller is told beside it. The verdict covers all
	// attempts.
	SetAnswer(header http.Header, call model.Call, verdict model.Verdict)
	// WriteFailure tells the caller of a failure.
	WriteFailure(w http.ResponseWriter, call model.Call, failure *model.Failure)
	// SetUpstream writes what an upstream is told of a call.
	SetUpstream(header http.Header, call model.Call, now time.Time)
	// CheckAnswer returns a failure when what an upstream sent is not the answer to the call: NotRun when the
	// upstream refused before any work, MayHaveRun when the connection cannot be trusted any more.
	CheckAnswer(call model.Call, service model.Service, answer *http.Response) *model.Failure
	// PacePercent reads how long work takes on an upstream's machine from one of its answers, where 100 is
	// as usual; zero when the answer does not say.
	PacePercent(header http.Header) int
	// AllowCloseDelimited says whether an upstream's answer may end with its connection instead of a length.
	AllowCloseDelimited() bool
}

// Refuse returns the failure of a call that was refused before anything was sent.
func Refuse(reason model.Reason) *model.Failure {
	return &model.Failure{Verdict: model.NotRun, Reason: reason}
}

// FailureOf returns the failure that err is; package wire gives no other errors.
func FailureOf(err error) *model.Failure {
	var failure *model.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &model.Failure{Verdict: model.NotRun, Reason: model.BadRequest, Cause: err}
}
