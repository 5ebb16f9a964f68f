package belief_test

import (
	"testing"

	mapset "github.com/deckarep/golang-set/v2"
	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/belief"
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
	tests := []struct {
		name          string
		before, after model.Snapshot
		want          []belief.Change
	}{
		{name: "nothing", before: view(1, nil, one), after: view(1, nil, one)},
		{name: "joined", before: view(1, nil), after: view(2, nil, one), want: []belief.Change{{Kind: belief.UpstreamJoined, Upstream: one}}},
		{name: "leaving", before: view(1, nil, one), after: view(2, []model.UpstreamName{"a"}, one), want: []belief.Change{{Kind: belief.UpstreamLeaving, Upstream: one}}},
		{name: "gone", before: view(1, nil, one), after: view(2, nil), want: []belief.Change{{Kind: belief.UpstreamGone, Upstream: one}}},
		{name: "gone without a revision", before: view(1, nil, one), after: view(1, nil), want: []belief.Change{{Kind: belief.UpstreamGone, Upstream: one}}},
		{name: "replaced", before: view(1, nil, one), after: view(2, nil, two), want: []belief.Change{{Kind: belief.UpstreamGone, Upstream: one}, {Kind: belief.UpstreamJoined, Upstream: two}}},
		{name: "document", before: view(1, nil), after: with(view(2, nil), func(s *model.Snapshot) { s.Document = 7 }), want: []belief.Change{{Kind: belief.DocumentInForce}}},
		{name: "ready", before: view(1, nil), after: with(view(1, nil), func(s *model.Snapshot) { s.Ready = true }), want: []belief.Change{{Kind: belief.Ready}}},
		{name: "suspect", before: view(1, nil), after: with(view(1, nil), func(s *model.Snapshot) { s.Suspect = true }), want: []belief.Change{{Kind: belief.Suspect}}},
		{name: "trusted", before: with(view(1, nil), func(s *model.Snapshot) { s.Suspect = true }), after: view(1, nil), want: []belief.Change{{Kind: belief.Trusted}}},
		{name: "stopping", before: view(1, nil), after: with(view(1, nil), func(s *model.Snapshot) { s.Stopping = true }), want: []belief.Change{{Kind: belief.Stopping}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, belief.Between(&test.before, &test.after), qt.DeepEquals, test.want)
		})
	}
}
