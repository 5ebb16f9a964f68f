package route_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/route"
)

func TestLeastOverloaded(t *testing.T) {
	now := time.Unix(1000, 0)
	reported := func(name model.UpstreamName, inFlight, queued, pacePercent int) route.Candidate {
		return route.Candidate{
			Upstream: model.Upstream{Name: name},
			Report:   model.GateReport{InFlight: inFlight, Queued: queued, Slots: 9, PacePercent: pacePercent},
			ReportAt: now,
		}
	}
	ejected := func(candidate route.Candidate) route.Candidate {
		candidate.EjectedUntil = now.Add(time.Second)
		return candidate
	}
	tests := []struct {
		name       string
		candidates []route.Candidate
		want       model.UpstreamName
	}{
		{name: "none"},
		{name: "free slots before full", candidates: []route.Candidate{reported("full", 9, 0, 100), reported("nearly", 8, 0, 100)}, want: "nearly"},
		{name: "one with a queue before an ejected one", candidates: []route.Candidate{ejected(reported("dead", 0, 0, 100)), reported("queue", 9, 9, 100)}, want: "queue"},
		{name: "an ejected one if there is no other", candidates: []route.Candidate{ejected(reported("dead", 0, 0, 100))}, want: "dead"},
		{name: "full before a queue", candidates: []route.Candidate{reported("queue", 9, 1, 100), reported("full", 9, 0, 100)}, want: "full"},
		{name: "idle in a slowdown before full with a queue", candidates: []route.Candidate{reported("full", 9, 9, 100), reported("slow", 0, 0, 400)}, want: "slow"},
		{name: "nearly full before a slowdown", candidates: []route.Candidate{reported("slow", 0, 0, 400), reported("nearly", 8, 0, 100)}, want: "nearly"},
		{name: "the shorter queue", candidates: []route.Candidate{reported("long", 9, 9, 100), reported("short", 9, 1, 100)}, want: "short"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, found := route.LeastOverloaded(now, test.candidates)
			qt.Assert(t, got.Upstream.Name, qt.Equals, test.want)
			qt.Assert(t, found, qt.Equals, test.want != "")
		})
	}
}

func TestOverloaded(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name   string
		report model.GateReport
		age    time.Duration
		want   bool
	}{
		{name: "free", report: model.GateReport{InFlight: 3, Slots: 9, PacePercent: 100}},
		{name: "one slot free", report: model.GateReport{InFlight: 8, Slots: 9, PacePercent: 100}},
		{name: "full", report: model.GateReport{InFlight: 9, Slots: 9, PacePercent: 100}, want: true},
		{name: "in a slowdown", report: model.GateReport{Slots: 9, PacePercent: 400}, want: true},
		{name: "an old slowdown", report: model.GateReport{Slots: 9, PacePercent: 400}, age: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			candidate := route.Candidate{Report: test.report, ReportAt: now.Add(-test.age)}
			qt.Assert(t, candidate.Overloaded(now), qt.Equals, test.want)
		})
	}
}
