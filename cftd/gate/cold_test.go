package gate_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
)

// TestColdUpstream checks that a gate which has just started asks whether its upstream is cold before it sends anything,
// where the service sets a limit for cold upstreams.
func TestColdUpstream(t *testing.T) {
	const calls = 6
	tests := []struct {
		name     string
		perS     float64
		warmupMs int64
		want     model.Reason
		received int64
	}{
		{name: "warm", perS: 2, received: calls},
		{name: "cold", perS: 2, warmupMs: 60_000, want: model.UpstreamCold},
		{name: "cold, and the service sets no limit", warmupMs: 60_000, received: calls},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			startedAt := time.Now()
			if test.want != model.NoReason {
				// Whatever the machine's speed, the second before counts as used up.
				startedAt = startedAt.Add(callTimeout)
			}
			f := newFixtureStartedAt(t, 1, startedAt)
			f.warmupMs.Store(test.warmupMs)
			f.publish(func(s *model.Snapshot) {
				s.Services = map[model.ServiceName]model.Service{"reservas": {Name: "reservas", Slots: 2, WarmupPerS: test.perS}}
			})
			for range calls {
				qt.Assert(t, f.run(t.Context(), "/"), qt.Equals, test.want)
			}
			qt.Assert(t, f.received.Load(), qt.Equals, test.received)
		})
	}
}
