package subset_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	mapset "github.com/deckarep/golang-set/v2"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/model"
	"comfreytack/core/query/subset"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const domains = 4

func fleet(n int) []model.Upstream {
	upstreams := make([]model.Upstream, 0, n)
	for i := range n {
		upstreams = append(upstreams, model.Upstream{
			Name:          model.UpstreamName(fmt.Sprintf("buscador-%d", i)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		})
	}
	return upstreams
}

func names(upstreams []model.Upstream) mapset.Set[model.UpstreamName] {
	set := mapset.NewThreadUnsafeSet[model.UpstreamName]()
	for _, upstream := range upstreams {
		set.Add(upstream.Name)
	}
	return set
}

// TestSubset checks size, spread over failure domains and stability for every fleet, daemon and size.
func TestSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := model.UpstreamName(rapid.StringN(1, 8, 8).Draw(t, "self"))
		size := rapid.IntRange(1, 30).Draw(t, "size")
		all := fleet(rapid.IntRange(2*domains, 200).Draw(t, "upstreams"))
		chosen := subset.Of(self, all, size)
		if len(chosen) != min(size, len(all)) || names(chosen).Cardinality() != len(chosen) {
			t.Fatalf("%d chosen of %d for size %d", len(chosen), len(all), size)
		}
		perDomain := map[model.FailureDomain]int{}
		for _, upstream := range chosen {
			perDomain[upstream.FailureDomain]++
		}
		least, most := len(all), 0
		for i := range domains {
			count := perDomain[model.FailureDomain(fmt.Sprintf("domain-%d", i))]
			least, most = min(least, count), max(most, count)
		}
		if size <= len(all)-domains && most-least > 1 {
			t.Fatalf("failure domains have %v", perDomain)
		}
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		remaining := append(append([]model.Upstream{}, all[:removed]...), all[removed+1:]...)
		remaining = rapid.Permutation(remaining).Draw(t, "order")
		lost := names(chosen).Difference(names(subset.Of(self, remaining, size)))
		lost.Remove(all[removed].Name)
		if lost.Cardinality() > 1 {
			t.Fatalf("without %s the subset also lost %v", all[removed].Name, lost)
		}
	})
}

// TestNear checks how many upstreams of the daemon's own failure domain are in a subset.
func TestNear(t *testing.T) {
	tests := []struct {
		name string
		// size bounds the subset of a fleet with perDomain upstreams in each failure domain.
		size, perDomain int
		domain          model.FailureDomain
		near, all       int
	}{
		{name: "all of a small fleet", size: 20, perDomain: 2, domain: "domain-1", near: 2, all: 8},
		{name: "all near ones if they are few", size: 20, perDomain: 8, domain: "domain-1", near: 8, all: 20},
		{name: "half at most", size: 20, perDomain: 50, domain: "domain-1", near: 10, all: 20},
		{name: "none is near", size: 20, perDomain: 8, domain: "elsewhere", near: 0, all: 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			self := model.Upstream{Name: "daemon-1", FailureDomain: test.domain}
			chosen := subset.Near(self, fleet(domains*test.perDomain), test.size)
			near := 0
			for _, upstream := range chosen {
				if upstream.FailureDomain == test.domain {
					near++
				}
			}
			qt.Assert(t, near, qt.Equals, test.near)
			qt.Assert(t, names(chosen).Cardinality(), qt.Equals, test.all)
		})
	}
	t.Run("all in one failure domain", func(t *testing.T) {
		all := fleet(100)
		for i := range all {
			all[i].FailureDomain = "only"
		}
		chosen := subset.Near(model.Upstream{Name: "daemon-1", FailureDomain: "only"}, all, 20)
		qt.Assert(t, names(chosen).Cardinality(), qt.Equals, 20)
	})
}

// TestSubsetsSpread checks that each upstream of a large fleet is in about the same number of subsets.
func TestSubsetsSpread(t *testing.T) {
	const daemons, upstreams, size = 500, 500, 20
	all := fleet(upstreams)
	callers := map[model.UpstreamName]int{}
	for i := range daemons {
		for _, upstream := range subset.Of(model.UpstreamName(fmt.Sprintf("daemon-%d", i)), all, size) {
			callers[upstream.Name]++
		}
	}
	for _, upstream := range all {
		if got := callers[upstream.Name]; got < size/3 || got > 2*size+size/4 {
			t.Errorf("%s has %d callers, the mean is %d", upstream.Name, got, size)
		}
	}
}
