package route_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/route"
)

// TestAlwaysPicksOne checks that every policy picks one of the candidates, whatever is known of them, and that the
// default policy picks no ejected one while at most half are ejected.
func TestAlwaysPicksOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		named := rapid.SampledFrom(route.Policies).Draw(t, "policy")
		now := modelStart
		ejected := 0
		candidates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) route.Candidate {
			second := func(name string) time.Time {
				return now.Add(time.Duration(rapid.IntRange(-3, 3).Draw(t, name)) * time.Second)
			}
			return route.Candidate{
				InFlight:     rapid.IntRange(0, 100).Draw(t, "in_flight"),
				Failing:      rapid.Float64Range(0, 1).Draw(t, "failing"),
				Warmth:       rapid.Float64Range(0, 1).Draw(t, "warmth"),
				Latency:      time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "latency")),
				LatencyAt:    second("latency_at"),
				ReportAt:     second("report_at"),
				EjectedUntil: second("ejected_until"),
				Report: model.GateReport{
					Slots:     rapid.IntRange(0, 10).Draw(t, "slots"),
					InFlight:  rapid.IntRange(0, 10).Draw(t, "reported"),
					ServiceUs: rapid.Int64Range(0, 1e6).Draw(t, "service_us"),
				},
			}
		}), 1, 30).Draw(t, "candidates")
		isEjected := map[model.UpstreamName]bool{}
		for i := range candidates {
			name := model.UpstreamName(fmt.Sprint(i))
			candidates[i].Upstream.Name = name
			if candidates[i].EjectedUntil.After(now) {
				isEjected[name] = true
				ejected++
			}
		}
		random := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") }
		picked, found := route.New(named.New()).Pick(now, random, candidates)
		if !found || picked.Upstream.Name == "" {
			t.Fatalf("%s picked none of %d", named.Name, len(candidates))
		}
		if named.Name == route.Default && 2*ejected <= len(candidates) && isEjected[picked.Upstream.Name] {
			t.Fatalf("picked an ejected one with %d of %d ejected", ejected, len(candidates))
		}
	})
}

func TestPrefersNearUnlessClearlyMoreLoaded(t *testing.T) {
	near := route.Candidate{Near: true, Warmth: 1, Upstream: model.Upstream{Name: "near"}}
	far := route.Candidate{Warmth: 1, Upstream: model.Upstream{Name: "far"}}
	tests := []struct {
		name          string
		nearLoad, far int
		want          model.UpstreamName
	}{
		{name: "equal load", nearLoad: 2, far: 2, want: "near"},
		{name: "a little more", nearLoad: 4, far: 2, want: "near"},
		{name: "clearly more", nearLoad: 8, far: 2, want: "far"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			near.InFlight, far.InFlight = test.nearLoad, test.far
			policy := route.DefaultWeighted()
			policy.ExploreOneIn = 0
			got, _ := route.New(policy).Pick(modelStart, func(int) int { return 0 }, []route.Candidate{far, near})
			qt.Assert(t, got.Upstream.Name, qt.Equals, test.want)
		})
	}
}

// TestNearFirst checks when the policy near_first picks an upstream of another failure domain.
func TestNearFirst(t *testing.T) {
	near := func(name model.UpstreamName, report model.GateReport) route.Candidate {
		return route.Candidate{Near: true, Warmth: 1, Upstream: model.Upstream{Name: name}, Report: report, ReportAt: modelStart}
	}
	far := func(name model.UpstreamName, report model.GateReport) route.Candidate {
		candidate := near(name, report)
		candidate.Near = false
		return candidate
	}
	halfLoaded := model.GateReport{InFlight: 5, Slots: 11, ServiceUs: 100_000, PacePercent: 100}
	idle := model.GateReport{Slots: 11, ServiceUs: 80_000, PacePercent: 100}
	slow := model.GateReport{Slots: 11, ServiceUs: 100_000, PacePercent: 400}
	tests := []struct {
		name       string
		candidates []route.Candidate
		want       model.UpstreamName
	}{
		{name: "near, though others are idle", candidates: []route.Candidate{far("a", idle), far("b", idle), far("c", idle), near("n", halfLoaded)}, want: "n"},
		{name: "another near one", candidates: []route.Candidate{far("a", idle), near("n", slow), near("m", halfLoaded)}, want: "m"},
		{name: "far, when the near one is slow", candidates: []route.Candidate{far("a", idle), near("n", slow)}, want: "a"},
		{name: "none is near", candidates: []route.Candidate{far("a", idle)}, want: "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			policy := route.NearFirst()
			policy.ExploreOneIn = 0
			got, _ := route.New(policy).Pick(modelStart, func(int) int { return 0 }, test.candidates)
			qt.Assert(t, got.Upstream.Name, qt.Equals, test.want)
		})
	}
}

// TestSlowServerTarget checks which policies meet the target: with one of five servers 10 times slower, p99 is at most
// 1.5 times p99 with none slow. The baselines must miss it, which shows that the test can fail.
func TestSlowServerTarget(t *testing.T) {
	alike := scenario{load: 0.7, daemons: 5}
	slow := scenario{load: 0.7, daemons: 5, slow: 10}
	tests := []struct {
		name  string
		meets bool
	}{
		{name: route.Default, meets: true},
		{name: "two_choices"},
		{name: "round_robin"},
		{name: "least_in_flight"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			policy := func() route.Policy { return route.ByName(test.name).MustGet() }
			without := measure(alike, policy, goldenLength).p99[seeds/2]
			with := measure(slow, policy, goldenLength).p99[seeds/2]
			qt.Assert(t, 2*with <= 3*without, qt.Equals, test.meets, qt.Commentf("%v with, %v without", with, without))
		})
	}
}

// TestRecoveredServerReturns counts the calls to a server after it has recovered: it gets at least half of its even
// share again within the given time.
func TestRecoveredServerReturns(t *testing.T) {
	tests := []struct {
		scenario scenario
		within   time.Duration
	}{
		{scenario: scenario{name: "slow", load: 0.3, daemons: 5, slow: 10, slowUntil: time.Second}, within: 6 * time.Second},
		{scenario: scenario{name: "slow, 50 daemons", load: 0.3, daemons: 50, slow: 10, slowUntil: time.Second}, within: 6 * time.Second},
		{scenario: scenario{name: "cold", load: 0.3, daemons: 5, coldFrom: modelFaultStart}, within: coldTime + 6*time.Second},
	}
	for _, test := range tests {
		t.Run(test.scenario.name, func(t *testing.T) {
			const window = time.Second
			w := newSimulation(test.scenario, route.Policies[0].New, 1)
			from := max(test.scenario.slowUntil, test.scenario.coldFrom) + test.within
			calls, recovered := 0, 0
			w.trace = func(_ *daemon, _ *call, upstream model.Upstream, _ []route.Candidate) {
				if w.now < from {
					return
				}
				calls++
				if upstream.Name == w.servers[0].upstream.Name {
					recovered++
				}
			}
			w.run(from + window)
			qt.Assert(t, 2*modelServers*recovered >= calls, qt.IsTrue, qt.Commentf("%d of %d calls", recovered, calls))
		})
	}
}

// TestSessions compares the picks of short runs, and what the daemon knew at each, with golden files.
func TestSessions(t *testing.T) {
	const length = 800 * time.Millisecond
	tests := []scenario{
		{name: "becomes_slow", load: 0.02, daemons: 2, slow: 10, slowFrom: 200 * time.Millisecond},
		{name: "fails_fast", load: 0.02, daemons: 2, failFast: true},
		{name: "restarts_cold", load: 0.02, daemons: 2, coldFrom: 200 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var session strings.Builder
			w := newSimulation(test, route.Policies[0].New, 1)
			w.trace = func(d *daemon, _ *call, upstream model.Upstream, _ []route.Candidate) {
				fmt.Fprintf(&session, "%6.1f ms daemon-%d -> %s; known:", float64(w.now.Microseconds())/1000, d.serverIndex, upstream.Name)
				for _, c := range d.tracker.Candidates(w.time(), modelService, d.upstreams, nil) {
					fmt.Fprintf(&session, " %s %d/%.1fms/%.0f%%/%.0f%%", strings.TrimPrefix(string(c.Upstream.Name), "buscador-"),
						c.InFlight, float64(c.Latency.Microseconds())/1000, 100*c.Failing, 100*c.Warmth)
				}
				fmt.Fprintln(&session)
			}
			w.run(length)
			checkGolden(t, "session_"+test.name+".golden",
				"known: upstream in_flight/latency/failing/warmth\n"+session.String())
		})
	}
}
