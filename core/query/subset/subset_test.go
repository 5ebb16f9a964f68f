package subset_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	mapset "github.com/deckarep/golang-set/v2"
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

// TestSubset states what holds for every fleet, daemon and size.
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
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		fewer := append(append([]model.Upstream{}, all[:gone]...), all[gone+1:]...)
		fewer = rapid.Permutation(fewer).Draw(t, "order")
		lost := names(chosen).Difference(names(subset.Of(self, fewer, size)))
		lost.Remove(all[gone].Name)
		if lost.Cardinality() > 1 {
			t.Fatalf("without %s the subset also lost %v", all[gone].Name, lost)
		}
	})
}

// TestSubsetsSpread checks that the daemons of a large fleet share its upstreams out evenly.
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
