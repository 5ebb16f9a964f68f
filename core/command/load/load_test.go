package load_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/command/load"
	"comfreytack/core/model"
	"comfreytack/core/query/route"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const service = model.ServiceName("reservas")

var start = time.Unix(1000, 0)

func fleet(n int) []model.Upstream {
	upstreams := make([]model.Upstream, 0, n)
	for i := range n {
		upstreams = append(upstreams, model.Upstream{
			Name:          model.UpstreamName(fmt.Sprintf("reservas-%d", i)),
			Incarnation:   1,
			Service:       service,
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%4)),
		})
	}
	return upstreams
}

func newTracker() *load.Tracker {
	return load.New(model.Upstream{Name: "self", FailureDomain: "domain-0"}, load.DefaultSettings())
}

func find(candidates []route.Candidate, name model.UpstreamName) route.Candidate {
	for _, c := range candidates {
		if c.Upstream.Name == name {
			return c
		}
	}
	return route.Candidate{}
}

// TestTrackerIsExactAndBounded begins, ends and reports calls while the instance list changes.
func TestTrackerIsExactAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := newTracker()
		all := fleet(40)
		list := all
		now := start
		var open []load.Call
		counts := map[model.UpstreamName]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			candidates := tracker.Candidates(now, service, list, nil)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				chosen := rapid.SampledFrom(candidates).Draw(t, "upstream").Upstream.Name
				open = append(open, tracker.Began(start, chosen))
				counts[chosen]++
			case 2:
				if len(open) > 0 {
					at := rapid.IntRange(0, len(open)-1).Draw(t, "call")
					tracker.Ended(now, open[at], load.Outcome{Result: load.Result(at % 4)})
					counts[open[at].Upstream]--
					open = append(open[:at], open[at+1:]...)
				}
			case 3:
				from := rapid.IntRange(0, 20).Draw(t, "from")
				list = all[from : from+rapid.IntRange(1, 20).Draw(t, "length")]
			}
			if tracker.Size() > 2*load.DefaultSettings().SubsetSize+len(open) {
				t.Fatalf("%d entries with %d calls open", tracker.Size(), len(open))
			}
			for _, c := range tracker.Candidates(now, service, list, nil) {
				if c.InFlight != counts[c.Upstream.Name] {
					t.Fatalf("%s: %d in flight, want %d", c.Upstream.Name, c.InFlight, counts[c.Upstream.Name])
				}
			}
		}
		for _, call := range open {
			tracker.Ended(now, call, load.Outcome{})
		}
		tracker.Retain(func(model.ServiceName) bool { return false })
		if tracker.Size() != 0 {
			t.Fatalf("%d entries of a service that is not called any more", tracker.Size())
		}
	})
}

func TestTrackerEvidence(t *testing.T) {
	fail := load.Outcome{Result: load.Failed}
	answer := load.Outcome{Result: load.Answered, Latency: 20 * time.Millisecond}
	const name = model.UpstreamName("reservas-0")
	tests := []struct {
		name  string
		act   func(*load.Tracker)
		check func(*qt.C, route.Candidate)
	}{
		{
			name: "five failures in a row eject for half a second",
			act:  func(l *load.Tracker) { repeat(l, 5, fail) },
			check: func(c *qt.C, got route.Candidate) {
				c.Assert(got.EjectedUntil, qt.Equals, start.Add(500*time.Millisecond))
				c.Assert(got.Failing > 0.4, qt.IsTrue)
			},
		},
		{
			name: "a gate with another upstream than the one that is meant is ejected at once",
			act:  func(l *load.Tracker) { repeat(l, 1, load.Outcome{Result: load.ResultOf(model.UpstreamReplaced)}) },
			check: func(c *qt.C, got route.Candidate) {
				c.Assert(got.EjectedUntil, qt.Equals, start.Add(500*time.Millisecond))
			},
		},
		{
			name: "an answer between failures prevents the ejection",
			act: func(l *load.Tracker) {
				repeat(l, 4, fail)
				repeat(l, 1, answer)
				repeat(l, 4, fail)
			},
			check: func(c *qt.C, got route.Candidate) { c.Assert(got.EjectedUntil.IsZero(), qt.IsTrue) },
		},
		{
			name: "a refusal is no failure and no latency",
			act:  func(l *load.Tracker) { repeat(l, 9, load.Outcome{Result: load.Refused, Latency: 1}) },
			check: func(c *qt.C, got route.Candidate) {
				c.Assert(got.Failing, qt.Equals, 0.0)
				c.Assert(got.Latency, qt.Equals, time.Duration(0))
			},
		},
		{
			name: "long work says nothing about the latency",
			act: func(l *load.Tracker) {
				repeat(l, 1, answer)
				repeat(l, 9, load.Outcome{Result: load.Answered, Latency: time.Minute, Class: model.Long})
			},
			check: func(c *qt.C, got route.Candidate) { c.Assert(got.Latency, qt.Equals, answer.Latency) },
		},
		{
			name: "a call given up late counts as the least that an answer takes, an early one does not",
			act: func(l *load.Tracker) {
				repeat(l, 1, answer)
				repeat(l, 1, load.Outcome{Result: load.Unrelated, Latency: 420 * time.Millisecond})
				repeat(l, 1, load.Outcome{Result: load.Unrelated, Latency: time.Millisecond})
			},
			check: func(c *qt.C, got route.Candidate) { c.Assert(got.Latency, qt.Equals, 40*time.Millisecond) },
		},
		{
			name: "a later incarnation starts anew and ignores the earlier one",
			act: func(l *load.Tracker) {
				l.Began(start, name)
				repeat(l, 5, fail)
				l.Reported(start.Add(time.Second), model.GateReport{Upstream: name, Incarnation: 2, Slots: 10})
				l.Reported(start.Add(2*time.Second), model.GateReport{Upstream: name, Incarnation: 1, Slots: 99})
			},
			check: func(c *qt.C, got route.Candidate) {
				c.Assert(got.InFlight, qt.Equals, 0)
				c.Assert(got.Report.Slots, qt.Equals, 10)
				c.Assert(got.EjectedUntil.IsZero(), qt.IsTrue)
				c.Assert(got.Warmth < 0.2, qt.IsTrue)
			},
		},
		{
			name: "a gate that is leaving is no candidate",
			act: func(l *load.Tracker) {
				l.Reported(start.Add(1), model.GateReport{Upstream: name, Incarnation: 1, Leaving: true})
				l.Reported(start, model.GateReport{Upstream: name, Incarnation: 1})
			},
			check: func(c *qt.C, got route.Candidate) { c.Assert(got.Upstream.Name, qt.Equals, model.UpstreamName("")) },
		},
		{
			name: "a gate whose leaving was taken back is a candidate again",
			act: func(l *load.Tracker) {
				l.Reported(start, model.GateReport{Upstream: name, Incarnation: 1, Leaving: true})
				l.Reported(start.Add(1), model.GateReport{Upstream: name, Incarnation: 1})
			},
			check: func(c *qt.C, got route.Candidate) { c.Assert(got.Upstream.Name, qt.Equals, name) },
		},
		{
			name: "one refused connection ejects",
			act:  func(l *load.Tracker) { repeat(l, 1, load.Outcome{Result: load.ResultOf(model.UpstreamDown)}) },
			check: func(c *qt.C, got route.Candidate) {
				c.Assert(got.EjectedUntil, qt.Equals, start.Add(500*time.Millisecond))
			},
		},
		{
			name: "deadlines that callers chose do not eject",
			act: func(l *load.Tracker) {
				repeat(l, 9, load.Outcome{Result: load.ResultOf(model.DeadlinePassed), Latency: time.Millisecond})
			},
			check: func(c *qt.C, got route.Candidate) {
				c.Assert(got.EjectedUntil.IsZero(), qt.IsTrue)
				c.Assert(got.Failing, qt.Equals, 0.0)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := newTracker()
			list := fleet(5)
			tracker.Candidates(start, service, list, nil)
			test.act(tracker)
			test.check(qt.New(t), find(tracker.Candidates(start, service, list, nil), name))
		})
	}
}

func repeat(tracker *load.Tracker, times int, outcome load.Outcome) {
	for range times {
		tracker.Ended(start, tracker.Began(start, "reservas-0"), outcome)
	}
}

// BenchmarkDecision measures candidates, choice, begin and end of one call.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{5, 30, 500} {
		for _, named := range route.Policies {
			b.Run(fmt.Sprintf("%s/%d", named.Name, size), func(b *testing.B) {
				tracker := newTracker()
				picker := route.New(named.New())
				list := fleet(size)
				random := func(n int) int { return n / 2 }
				var buffer []route.Candidate
				b.ReportAllocs()
				for b.Loop() {
					buffer = tracker.Candidates(start, service, list, buffer)
					picked, _ := picker.Pick(start, random, buffer)
					call := tracker.Began(start, picked.Upstream.Name)
					tracker.Ended(start, call, load.Outcome{Result: load.Answered, Latency: time.Millisecond})
				}
			})
		}
	}
}

// BenchmarkDecisionParallel shows what sharing the tracker among traffic goroutines costs.
func BenchmarkDecisionParallel(b *testing.B) {
	tracker := newTracker()
	picker := route.New(route.Policies[0].New())
	list := fleet(500)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		random := func(n int) int { return n / 2 }
		var buffer []route.Candidate
		for pb.Next() {
			buffer = tracker.Candidates(start, service, list, buffer)
			picked, _ := picker.Pick(start, random, buffer)
			call := tracker.Began(start, picked.Upstream.Name)
			tracker.Ended(start, call, load.Outcome{Result: load.Answered, Latency: time.Millisecond})
		}
	})
}

// TestSilentGates checks when the gate of an upstream is checked for a sign of life, and when it gets no calls: only
// after a check that it has not answered, and only while another upstream does.
func TestSilentGates(t *testing.T) {
	const name, other = model.UpstreamName("reservas-1"), model.UpstreamName("reservas-2")
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	answer := load.Outcome{Result: load.Answered, Latency: 300 * time.Millisecond}
	tests := []struct {
		name string
		act  func(*load.Tracker)
		// wantDue says that the gate is to be checked 500 ms after the start, wantSilent that it gets no calls then.
		wantDue    bool
		wantSilent bool
	}{
		{name: "no call", act: func(*load.Tracker) {}},
		{name: "a call that has just begun", act: func(l *load.Tracker) { l.Began(at(400), name) }},
		{name: "a call that takes long", act: func(l *load.Tracker) { l.Began(at(0), name) }, wantDue: true},
		{name: "as long as usual", act: func(l *load.Tracker) {
			l.Ended(at(-1000), l.Began(at(-1300), name), answer)
			l.Began(at(0), name)
		}},
		{name: "another call was answered meanwhile", act: func(l *load.Tracker) {
			l.Began(at(0), name)
			l.Ended(at(400), l.Began(at(100), name), load.Outcome{Result: load.Refused})
		}},
		{name: "its caller has left", act: func(l *load.Tracker) {
			l.Ended(at(100), l.Began(at(0), name), load.Outcome{Result: load.Unrelated})
		}},
		{name: "the check is under way", act: func(l *load.Tracker) {
			l.Began(at(0), name)
			l.GatesToCheck(at(300))
		}},
		{name: "the check failed", act: func(l *load.Tracker) {
			l.Began(at(0), name)
			l.GatesToCheck(at(200))
			l.CheckFailed(at(200), name)
		}, wantDue: true, wantSilent: true},
		{name: "it answered a call while it was checked", act: func(l *load.Tracker) {
			l.Ended(at(300), l.Began(at(0), name), answer)
			l.CheckFailed(at(200), name)
		}},
		{name: "it was heard again", act: func(l *load.Tracker) {
			l.Began(at(0), name)
			l.CheckFailed(at(200), name)
			l.Reported(at(450), model.GateReport{Upstream: name, Incarnation: 1})
		}},
		{name: "all are silent", act: func(l *load.Tracker) {
			for _, upstream := range fleet(3) {
				l.Began(at(0), upstream.Name)
				l.CheckFailed(at(200), upstream.Name)
			}
		}, wantDue: true},
		{name: "another one is silent", act: func(l *load.Tracker) {
			l.Began(at(0), other)
			l.CheckFailed(at(200), other)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tracker := load.New(model.Upstream{Name: "self"}, load.DefaultSettings())
			upstreams := fleet(3)
			tracker.Candidates(at(-2000), service, upstreams, nil)
			test.act(tracker)
			due := false
			for _, upstream := range tracker.GatesToCheck(at(500)) {
				due = due || upstream.Name == name
			}
			qt.Check(t, due, qt.Equals, test.wantDue)
			silent := true
			for _, candidate := range tracker.Candidates(at(500), service, upstreams, nil) {
				silent = silent && candidate.Upstream.Name != name
			}
			qt.Check(t, silent, qt.Equals, test.wantSilent)
		})
	}
}
