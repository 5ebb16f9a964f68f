package probe_test

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/command/probe"
	"comfreytack/core/model"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// TestBudgetHolds runs random schedules of calls, reports and load probes. The bound must hold over the whole run and
// over the period since any earlier checkpoint.
func TestBudgetHolds(t *testing.T) {
	type checkpoint struct {
		calls, granted int
		at             time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		settings := probe.Settings{CallsPerProbe: 10, BaseInterval: time.Second, Burst: 3, StaleAfter: 100 * time.Millisecond}
		budget := probe.New(start, settings)
		budget.SetUpstreams([]model.UpstreamName{"a", "b", "c"})
		now := start
		calls, granted := 0, 0
		checkpoints := []checkpoint{{at: start}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				burst := rapid.IntRange(1, 40).Draw(t, "calls")
				for range burst {
					budget.Sent()
				}
				calls += burst
			case 1:
				budget.ReportReceived(now, "a")
			case 2:
				for {
					if _, ok := budget.Next(now); !ok {
						break
					}
					granted++
				}
			}
			for _, m := range checkpoints {
				seconds := int(now.Sub(m.at)/settings.BaseInterval) + 1
				limit := settings.Burst + (calls-m.calls)/settings.CallsPerProbe + 1 + seconds
				if granted-m.granted > limit {
					t.Fatalf("%d load probes, want at most %d", granted-m.granted, limit)
				}
			}
			checkpoints = append(checkpoints, checkpoint{calls: calls, granted: granted, at: now})
		}
		if uint64(granted) != budget.Granted() {
			t.Fatalf("%d counted of %d", budget.Granted(), granted)
		}
	})
}

func TestNextAsksTheLeastKnown(t *testing.T) {
	budget := probe.New(start, probe.Settings{CallsPerProbe: 1, BaseInterval: time.Hour, Burst: 10, StaleAfter: time.Second})
	budget.SetUpstreams([]model.UpstreamName{"a", "b", "c"})
	budget.ReportReceived(start, "a")
	budget.ReportReceived(start.Add(500*time.Millisecond), "b")
	for range 10 {
		budget.Sent()
	}
	var got []model.UpstreamName
	for _, after := range []time.Duration{0, 1, 2} {
		for {
			upstream, ok := budget.Next(start.Add(after * time.Second))
			if !ok {
				break
			}
			got = append(got, upstream)
		}
	}
	qt.Assert(t, got, qt.DeepEquals, []model.UpstreamName{"c", "a", "c", "b", "a", "c"})
}

// TestQuestionsFollowTraffic checks that the number of load probes depends on the number of calls alone, not on how
// often probes are requested.
func TestQuestionsFollowTraffic(t *testing.T) {
	tests := []struct {
		name     string
		attempts int
	}{{name: "one attempt per call", attempts: 1}, {name: "twenty attempts per call", attempts: 20}}
	const calls = 10_000
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := probe.New(start, probe.DefaultSettings())
			budget.SetUpstreams([]model.UpstreamName{"a", "b", "c", "d", "e"})
			for i := range calls {
				budget.Sent()
				for range test.attempts {
					budget.Next(start.Add(time.Duration(i) * time.Millisecond))
				}
			}
			qt.Assert(t, budget.Granted(), qt.Equals, uint64(calls/100+calls/1000-1))
		})
	}
}

func TestPacer(t *testing.T) {
	pacer := probe.Pacer{Interval: time.Second}
	probes := 0
	for ms := range 10_000 {
		if pacer.Due(start.Add(time.Duration(ms) * time.Millisecond)) {
			probes++
		}
	}
	qt.Assert(t, probes, qt.Equals, 10)
}
