package route_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/route"
)

// TestForgottenUpstreams checks that calls of a slow service stay in the daemon's failure domain when nothing is known of
// the upstreams in others, as they have not been called for long.
func TestForgottenUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	// never is what Random returns so that no call explores.
	never := func(n int) int { return n - 1 }
	const upstreams = 6
	tests := []struct {
		name string
		// latency is that of the near upstreams, which was measured at the given age.
		latency, age time.Duration
	}{
		{name: "a fast service", latency: 8 * time.Millisecond},
		{name: "a slow service", latency: 150 * time.Millisecond},
		{name: "a slow service, some seconds ago", latency: 150 * time.Millisecond, age: 4 * time.Second},
		{name: "a very slow service", latency: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var candidates []route.Candidate
			for i := range upstreams {
				candidate := route.Candidate{Upstream: model.Upstream{Name: model.UpstreamName(fmt.Sprint(i))}, Near: i%2 == 0, Warmth: 1}
				if candidate.Near {
					candidate.InFlight, candidate.Latency, candidate.LatencyAt = 3, test.latency, now.Add(-test.age)
				}
				candidates = append(candidates, candidate)
			}
			chosen, found := route.New(route.NearFirst()).Pick(now, never, candidates)
			qt.Assert(t, found, qt.IsTrue)
			qt.Assert(t, chosen.Near, qt.IsTrue)
		})
	}
}
