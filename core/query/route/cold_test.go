package route

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
)

// TestColdWait includes a report that arrived after the time of the choice was read, as reports of calls in flight may.
func TestColdWait(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name     string
		report   model.GateReport
		age      time.Duration
		wantCold bool
		wantWait time.Duration
	}{
		{name: "warm"},
		{name: "warm, the report is newer than the choice", age: -time.Millisecond},
		{name: "cold", report: model.GateReport{ColdMs: 50, ColdWaitMs: 20}, age: 5 * time.Millisecond, wantCold: true, wantWait: 15 * time.Millisecond},
		{name: "cold with room", report: model.GateReport{ColdMs: 50, ColdRoom: 1}, wantCold: true},
		{name: "cold with room, the report is newer than the choice", report: model.GateReport{ColdMs: 50, ColdRoom: 1}, age: -time.Millisecond, wantCold: true},
		{name: "no longer cold", report: model.GateReport{ColdMs: 50, ColdWaitMs: 90}, age: 50 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := Candidate{Report: test.report, ReportAt: now.Add(-test.age)}
			qt.Check(t, c.Cold(now), qt.Equals, test.wantCold)
			qt.Check(t, c.ColdWait(now), qt.Equals, test.wantWait)
		})
	}
}
