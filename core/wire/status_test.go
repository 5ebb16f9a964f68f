package wire_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/check"
	"comfreytack/core/wire"
)

// TestFailureKeepsItsFields checks that a failure is the same after it was encoded and decoded.
func TestFailureKeepsItsFields(t *testing.T) {
	tests := []struct {
		name    string
		failure model.Failure
	}{
		{name: "plain", failure: model.Failure{Verdict: model.MayHaveRun, Reason: model.UpstreamDied}},
		{name: "final for retries", failure: model.Failure{Verdict: model.NotRun, Reason: model.QueueFull, NoRetry: true}},
		{name: "retry time", failure: model.Failure{Verdict: model.NotRun, Reason: model.TooLate, RetryAfter: 70 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := http.Header{}
			wire.SetFailure(header, &test.failure)
			qt.Assert(t, *wire.ReadFailure(header), qt.Equals, test.failure)
		})
	}
}

// TestOwnStatusesAreNoShedStatus checks that package check rejects every status that daemons send themselves as a
// service's shed status: otherwise an answer passed on with that status would be taken for a refusal before any work.
func TestOwnStatusesAreNoShedStatus(t *testing.T) {
	for reason := model.NoContract; reason <= model.MemoryShort; reason++ {
		t.Run(reason.String(), func(t *testing.T) {
			var read model.Reason
			qt.Assert(t, read.UnmarshalText([]byte(reason.String())), qt.IsNil)
			qt.Assert(t, read, qt.Equals, reason)
			status := wire.Status(reason)
			_, fault := check.Service("s", fmt.Appendf(nil, `{"name":"s","slots":1,"connections":1,"upstreams":[],"shed_status":%d}`, status))
			qt.Assert(t, fault != nil, qt.IsTrue, qt.Commentf("status %d", status))
			qt.Assert(t, fault.Field, qt.Equals, "shed_status")
		})
	}
}
