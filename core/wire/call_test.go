package wire_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/wire"
)

var callNow = time.Unix(1000, 0)

func TestCallKeepsItsFields(t *testing.T) {
	tests := []struct {
		name string
		call model.Call
	}{
		{name: "plain", call: model.Call{ID: "7", Customer: "police", Service: "reservas", Deadline: callNow.Add(time.Second)}},
		{name: "names with separators", call: model.Call{ID: "a&b=c", Customer: "x,y z", Service: "s;t", Deadline: callNow}},
		{name: "long, runs past its deadline", call: model.Call{Class: model.Long, Deadline: callNow.Add(time.Second), RunUntil: callNow.Add(time.Minute)}},
		{name: "route", call: model.Call{
			Route: "r-1", Rank: 2, Target: callNow.Add(200 * time.Millisecond), Instance: "i-7", Origin: "hop", Forced: true, Nested: true,
			Idempotent: true, Suspect: true, Fingerprint: 0xfedcba9876543210, Deadline: callNow.Add(time.Second),
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/holds", nil)
			wire.SetCall(r.Header, test.call, callNow)
			got, err := wire.ReadCall(r, callNow)
			qt.Assert(t, err, qt.IsNil)
			want := test.call
			want.Method, want.Path = http.MethodPost, "/holds"
			qt.Assert(t, got, qt.Equals, want)
		})
	}
}

func TestMalformedCalls(t *testing.T) {
	tests := []struct {
		name   string
		header string
	}{
		{name: "nothing", header: ""},
		{name: "no deadline", header: "i=7"},
		{name: "negative deadline", header: "d=-1"},
		{name: "deadline not a number", header: "d=x"},
		{name: "negative rank", header: "d=1&r=a&k=-1"},
		{name: "fingerprint not hexadecimal", header: "d=1&f=xyz"},
		{name: "bad escape", header: "d=1&i=%zz"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/holds", nil)
			r.Header.Set(wire.HeaderCall, test.header)
			_, err := wire.ReadCall(r, callNow)
			qt.Assert(t, err, qt.ErrorMatches, "not_run: bad_request.*")
		})
	}
}

func TestReportKeepsItsFields(t *testing.T) {
	tests := []struct {
		name   string
		report model.GateReport
	}{
		{name: "zero", report: model.GateReport{}},
		{name: "all", report: model.GateReport{
			Upstream: "reservas,2", Incarnation: 1777000000000, InFlight: 9, Queued: 3, Slots: 9, WaitUs: 1500, ServiceUs: 190000,
			PacePercent: 400, Leaving: true, Revision: 77, ColdMs: 2900, ColdRoom: 3, ColdWaitMs: 0,
		}},
		{name: "cold without room", report: model.GateReport{ColdMs: 2900, ColdWaitMs: 120}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := http.Header{}
			wire.SetReport(header, test.report)
			got, known := wire.ReadReport(header)
			qt.Assert(t, known, qt.IsTrue)
			qt.Assert(t, got, qt.Equals, test.report)
		})
	}
	for _, text := range []string{"", "a,1", "a,1,2,3,4,5,6,7,8,-9", "a,1,2,3,4,5,6,7,8,zzzzzzzzzzzzzzzz"} {
		_, known := wire.ReadReport(http.Header{wire.HeaderReport: {text}})
		qt.Check(t, known, qt.IsFalse, qt.Commentf("%q", text))
	}
}
