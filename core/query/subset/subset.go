// Package subset bounds how many upstreams of a service one daemon calls.
//
// The subset depends only on the name of the daemon and on the names and failure domains of the upstreams, so daemons
// need not agree on it, and different daemons call different upstreams.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"comfreytack/core/model"
)

// ranked is an upstream with its position in this daemon's order.
type ranked struct {
	upstream model.Upstream
	// round is how many upstreams of the same failure domain rank before it.
	round int
	// score and domainScore are the rendezvous hashes of the upstream and of its failure domain.
	score, domainScore uint64
}

// Of returns at most size of the upstreams, in an order that differs from daemon to daemon.
//
// The best-ranked upstream of every failure domain comes before the second of any. A change of one
// upstream in a known failure domain changes at most one other member of the subset.
func Of(self model.UpstreamName, upstreams []model.Upstream, size int) []model.Upstream {
	order := make([]ranked, 0, len(upstreams))
	for _, upstream := range upstreams {
		order = append(order, ranked{
			upstream:    upstream,
			score:       score(self, string(upstream.Name)),
			domainScore: score(self, string(upstream.FailureDomain)),
		})
	}
	slices.SortFunc(order, byScore)
	assignRounds(order)
	slices.SortStableFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.domainScore, b.domainScore))
	})
	order = order[:min(size, len(order))]
	members := make([]model.Upstream, 0, len(order))
	for _, r := range order {
		members = append(members, r.upstream)
	}
	return members
}

// Near returns a subset for the daemon beside self in which upstreams of its own failure domain take up to half of the
// places, or more where the other domains have too few. Calls to other domains take longer and their bytes cost more.
func Near(self model.Upstream, upstreams []model.Upstream, size int) []model.Upstream {
	if len(upstreams) <= size {
		return Of(self.Name, upstreams, size)
	}
	var near, far []model.Upstream
	for _, upstream := range upstreams {
		if upstream.FailureDomain == self.FailureDomain {
			near = append(near, upstream)
		} else {
			far = append(far, upstream)
		}
	}
	nearSize := min(len(near), max(size/2, size-len(far)))
	return slices.Concat(Of(self.Name, near, nearSize), Of(self.Name, far, size-nearSize))
}

// assignRounds sets the rounds of upstreams that are sorted by score.
func assignRounds(order []ranked) {
	rounds := map[model.FailureDomain]int{}
	for i := range order {
		domain := order[i].upstream.FailureDomain
		order[i].round = rounds[domain]
		rounds[domain]++
	}
}

func byScore(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.upstream.Name, b.upstream.Name))
}

// score returns the rendezvous hash of a daemon and a name.
func score(self model.UpstreamName, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(self))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}
