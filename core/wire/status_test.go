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

// TestFailureKeepsItsFields checks what a failure says behind the way between two daemons.
func TestFailureKeepsItsFields(t *testing.T) {
	tests := []struct {
		name    string
		failure model.Failure
	}{
		{name: "plain", failure: model.Failure{Verdict: model.MayHaveRun, Reason: model.UpstreamDied}},
		{name: "spent", failure: model.Failure{Verdict: model.NotRun, Reason: model.QueueFull, NoRetry: true}},
		{name: "when to come back", failure: model.Failure{Verdict: model.NotRun, Reason: model.TooLate, RetryAfter: 70 * time.Millisecond}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := http.Header{}
			wire.SetFailure(header, &test.failure)
			qt.Assert(t, *wire.ReadFailure(header), qt.Equals, test.failure)
		})
	}
}

// TestOwnStatusesAreNoShedStatus ties the two lists of the daemons' own statuses: a service whose upstreams refuse
// with one of them would have answers that were passed on taken for refusals before any work.
func TestOwnStatusesAreNoShedStatus(t *testing.T) {
	for reason := model.NoContract; reason <= model.WrongAnswer; reason++ {
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
