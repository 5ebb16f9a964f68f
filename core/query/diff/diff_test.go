package diff_test

import (
	"testing"

	mapset "github.com/deckarep/golang-set/v2"
	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/diff"
)

func TestBetween(t *testing.T) {
	one := model.Upstream{Name: "a", Incarnation: 1, Service: "s"}
	two := model.Upstream{Name: "a", Incarnation: 2, Service: "s"}
	view := func(revision model.Revision, leaving []model.UpstreamName, upstreams ...model.Upstream) model.Snapshot {
		return model.Snapshot{
			Revision: revision,
			Services: map[model.ServiceName]model.Service{"s": {Upstreams: upstreams}},
			Leaving:  mapset.NewThreadUnsafeSet(leaving...),
		}
	}
	with := func(snapshot model.Snapshot, change func(*model.Snapshot)) model.Snapshot {
		change(&snapshot)
		return snapshot
	}
	evacuate := func(domains ...model.FailureDomain) func(*model.Snapshot) {
		return func(s *model.Snapshot) { s.Evacuated = mapset.NewThreadUnsafeSet(domains...) }
	}
	tests := []struct {
		name          string
		before, after model.Snapshot
		want          []diff.Change
	}{
		{name: "nothing", before: view(1, nil, one), after: view(1, nil, one)},
		{name: "joined", before: view(1, nil), after: view(2, nil, one), want: []diff.Change{{Kind: diff.UpstreamJoined, Upstream: one}}},
		{name: "leaving", before: view(1, nil, one), after: view(2, []model.UpstreamName{"a"}, one), want: []diff.Change{{Kind: diff.UpstreamLeaving, Upstream: one}}},
		{name: "gone", before: view(1, nil, one), after: view(2, nil), want: []diff.Change{{Kind: diff.UpstreamGone, Upstream: one}}},
		{name: "gone without a revision", before: view(1, nil, one), after: view(1, nil), want: []diff.Change{{Kind: diff.UpstreamGone, Upstream: one}}},
		{name: "replaced", before: view(1, nil, one), after: view(2, nil, two), want: []diff.Change{{Kind: diff.UpstreamGone, Upstream: one}, {Kind: diff.UpstreamJoined, Upstream: two}}},
		{name: "document", before: view(1, nil), after: with(view(2, nil), func(s *model.Snapshot) { s.Document = 7 }), want: []diff.Change{{Kind: diff.DocumentInForce}}},
		{name: "ready", before: view(1, nil), after: with(view(1, nil), func(s *model.Snapshot) { s.Ready = true }), want: []diff.Change{{Kind: diff.Ready}}},
		{name: "suspect", before: view(1, nil), after: with(view(1, nil), func(s *model.Snapshot) { s.Suspect = true }), want: []diff.Change{{Kind: diff.Suspect}}},
		{name: "trusted", before: with(view(1, nil), func(s *model.Snapshot) { s.Suspect = true }), after: view(1, nil), want: []diff.Change{{Kind: diff.Trusted}}},
		{name: "stopping", before: view(1, nil), after: with(view(1, nil), func(s *model.Snapshot) { s.Stopping = true }), want: []diff.Change{{Kind: diff.Stopping}}},
		{name: "a domain is evacuated", before: view(1, nil), after: with(view(2, nil), evacuate("sur", "norte")), want: []diff.Change{{Kind: diff.DomainEvacuated, FailureDomain: "norte"}, {Kind: diff.DomainEvacuated, FailureDomain: "sur"}}},
		{name: "one of two is taken back", before: with(view(1, nil), evacuate("sur", "norte")), after: with(view(2, nil), evacuate("norte")), want: []diff.Change{{Kind: diff.DomainRestored, FailureDomain: "sur"}}},
		{name: "the last is taken back", before: with(view(1, nil), evacuate("norte")), after: view(2, nil), want: []diff.Change{{Kind: diff.DomainRestored, FailureDomain: "norte"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, diff.Between(&test.before, &test.after), qt.DeepEquals, test.want)
		})
	}
}
