package talk

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/limits"
	"comfreytack/core/query/match"
	"comfreytack/core/wire"
)

func TestClassify(t *testing.T) {
	service := model.Service{Routes: []model.Route{
		{Method: http.MethodPost, PathPrefix: "/share", Class: model.Long, Idempotent: true},
	}}
	tests := []struct {
		name           string
		method         string
		path           string
		wantClass      model.Class
		wantIdempotent bool
	}{
		{"the path itself", http.MethodPost, "/share", model.Long, true},
		{"a path below", http.MethodPost, "/share/7", model.Long, true},
		{"a longer segment is another route", http.MethodPost, "/shared", model.Short, false},
		{"another method", http.MethodPut, "/share", model.Short, false},
		{"a method that is idempotent by itself", http.MethodGet, "/shared", model.Short, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			class, idempotent := classify(service, test.method, test.path)
			qt.Assert(t, class, qt.Equals, test.wantClass)
			qt.Assert(t, idempotent, qt.Equals, test.wantIdempotent)
		})
	}
}

// TestEncodedPaths checks that an encoded slash separates nothing, neither the service from the path nor segments of a route.
func TestEncodedPaths(t *testing.T) {
	service := model.Service{Name: "reservas", Routes: []model.Route{{Method: http.MethodPost, PathPrefix: "/share", Idempotent: true}}}
	snapshot := &model.Snapshot{
		Ready:    true,
		Limits:   map[model.Customer]model.Limits{"police": {}},
		Services: map[model.ServiceName]model.Service{"reservas": service},
	}
	tests := []struct {
		name           string
		path           string
		wantPath       string
		wantIdempotent bool
		want           model.Reason
	}{
		{name: "plain", path: "/svc/reservas/share/7", wantPath: "/share/7", wantIdempotent: true},
		{name: "a slash in a segment", path: "/svc/reservas/share%2F7", wantPath: "/share%2F7"},
		{name: "other bytes stay as they are", path: "/svc/reservas/share/%61|%7C", wantPath: "/share/%61|%7C", wantIdempotent: true},
		{name: "a slash in the service", path: "/svc/reservas%2Fshare/7", wantPath: "/7", want: model.NoService},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "http://beds.example"+test.path, nil)
			r.Header.Set(wire.HeaderCustomer, "police")
			call, failure := Native{}.ReadCall(r, snapshot, time.Unix(1000, 0))
			qt.Assert(t, call.Path, qt.Equals, test.wantPath)
			if test.want != model.NoReason {
				qt.Assert(t, failure.Reason, qt.Equals, test.want)
				return
			}
			qt.Assert(t, failure == nil, qt.IsTrue)
			qt.Assert(t, call.Idempotent, qt.Equals, test.wantIdempotent)
		})
	}
}

func TestRoutesOfADocument(t *testing.T) {
	now := time.Unix(1000, 0)
	routes := []model.HostRoute{{
		Name: "holds", Host: "beds.example", PathPrefix: "/holds/", TimeoutMs: 1500, TargetMs: 800, Rank: 1, Attempts: 2,
		Targets: []model.Target{{Service: "reservas", Weight: 1}},
	}}
	snapshot := &model.Snapshot{
		Ready:    true,
		Routes:   match.Table(routes),
		Limits:   limits.Of(limits.RankContracts(routes), 9),
		Services: map[model.ServiceName]model.Service{"reservas": {Name: "reservas"}},
	}
	tests := []struct {
		name        string
		target      string
		wantRoute   string
		wantService model.ServiceName
		wantPath    string
		want        model.Reason
	}{
		{name: "by host and prefix", target: "http://beds.example/holds/7", wantRoute: "holds", wantService: "reservas", wantPath: "/holds/7"},
		{name: "another path goes by its service", target: "http://beds.example/svc/reservas/holds", wantService: "reservas", wantPath: "/holds", want: model.NoContract},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			call, failure := Native{}.ReadCall(httptest.NewRequest(http.MethodPost, test.target, nil), snapshot, now)
			qt.Assert(t, call.Route, qt.Equals, test.wantRoute)
			qt.Assert(t, call.Service, qt.Equals, test.wantService)
			qt.Assert(t, call.Path, qt.Equals, test.wantPath)
			if test.want != model.NoReason {
				qt.Assert(t, failure.Reason, qt.Equals, test.want)
				return
			}
			qt.Assert(t, failure == nil, qt.IsTrue)
			qt.Assert(t, call.Deadline, qt.Equals, now.Add(1500*time.Millisecond))
			qt.Assert(t, call.Customer, qt.Equals, model.Customer("rank-1"))
		})
	}
}
