package hold_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
)

// TestColdUpstream checks what the gate of a cold upstream that tolerates two requests a second admits, confirms and
// reports.
func TestColdUpstream(t *testing.T) {
	const coldMs = 5000
	synctest.Test(t, func(t *testing.T) {
		d := newDriver(t)
		d.snapshot.Services["reservas"] = model.Service{Name: "reservas", Slots: 1, WarmupPerS: 2}
		d.snapshot.Self.WarmupLeftMs = coldMs
		d.snapshot.PublishedAt = time.Now().Add(callTimeout)
		time.Sleep(time.Second)
		call := model.Call{Deadline: time.Now().Add(callTimeout)}

		qt.Assert(t, d.gate.Confirm(t.Context(), call) == nil, qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
		failure := d.gate.Confirm(t.Context(), call)
		qt.Assert(t, *failure, qt.DeepEquals, model.Failure{Verdict: model.NotRun, Reason: model.UpstreamCold, RetryAfter: 400 * time.Millisecond})
		_, reason := d.enter(t.Context())
		qt.Assert(t, reason, qt.Equals, model.UpstreamCold)
		report := d.gate.Report()
		qt.Assert(t, []int{report.ColdMs, report.ColdRoom, report.ColdWaitMs}, qt.DeepEquals, []int{4900, 0, 400})

		time.Sleep(400 * time.Millisecond)
		_, reason = d.enter(t.Context())
		qt.Assert(t, reason, qt.Equals, model.NoReason)
		qt.Assert(t, d.gate.Report().ColdRoom, qt.Equals, 1)
	})
}
