package warm_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/command/warm"
	"comfreytack/core/model"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func listed(incarnation model.Incarnation, leftMs int) model.Upstream {
	return model.Upstream{Name: "reservas-1", Instance: "i-1", Incarnation: incarnation, WarmupLeftMs: leftMs}
}

// tolerant is a service whose cold upstreams tolerate 2 requests a second; the burst is 1.
var tolerant = model.Service{WarmupPerS: 2, WarmupMs: 3000}

// newWarm returns a limiter that started 2 s ago, with a reading just before the start that said warm.
func newWarm() *warm.Limiter {
	l := warm.New(at(-2000*ms), warm.Bounds{})
	l.Listed(at(-2000*ms), listed(5, 0), tolerant)
	l.Observe(at(-2*ms), at(-ms), 0)
	return l
}

// TestSecondSend checks the decision at 400 ms about a second send after one at 200 ms.
func TestSecondSend(t *testing.T) {
	const left = 300 * ms
	read := warm.Decision{Action: warm.Read, RetryAfter: left}
	refuse := warm.Decision{Action: warm.Refuse, RetryAfter: left}
	tests := []struct {
		name   string
		signal func(*warm.Limiter)
		want   warm.Decision
	}{
		{name: "nothing is known since", signal: func(*warm.Limiter) {}, want: read},
		{name: "health says warm", signal: func(l *warm.Limiter) { l.Observe(at(300*ms), at(305*ms), 0) }},
		{name: "health was asked before the send and answered after it", signal: func(l *warm.Limiter) { l.Observe(at(190*ms), at(250*ms), 0) }, want: read},
		{name: "health says cold", signal: func(l *warm.Limiter) { l.Observe(at(300*ms), at(305*ms), 900*ms) }, want: refuse},
		{name: "health said cold, and it is over", signal: func(l *warm.Limiter) { l.Observe(at(230*ms), at(235*ms), 100*ms) }, want: read},
		{name: "the entry says cold", signal: func(l *warm.Limiter) { l.Listed(at(300*ms), listed(5, 400), tolerant) }, want: refuse},
		{name: "the entry says cold, health warm", signal: func(l *warm.Limiter) {
			l.Listed(at(300*ms), listed(5, 400), tolerant)
			l.Observe(at(350*ms), at(355*ms), 0)
		}, want: refuse},
		{name: "health says cold for longer than the entry", signal: func(l *warm.Limiter) {
			l.Observe(at(300*ms), at(305*ms), 2*time.Second)
			l.Listed(at(310*ms), listed(5, 10), tolerant)
		}, want: refuse},
		{name: "an older entry says cold, the newer warm", signal: func(l *warm.Limiter) {
			l.Listed(at(300*ms), listed(5, 400), tolerant)
			l.Listed(at(350*ms), listed(5, 0), tolerant)
		}, want: refuse},
		{name: "a new incarnation whose entry says nothing", signal: func(l *warm.Limiter) { l.Listed(at(300*ms), listed(6, 0), tolerant) }, want: refuse},
		{name: "a new incarnation, and none ran meanwhile", signal: func(l *warm.Limiter) {
			l.Gone(at(250 * ms))
			l.Listed(at(300*ms), listed(6, 3000), tolerant)
		}},
		{name: "the entry is gone for a moment", signal: func(l *warm.Limiter) {
			l.Listed(at(300*ms), model.Upstream{Name: "reservas-1", Incarnation: 9}, tolerant)
			l.Listed(at(350*ms), listed(5, 0), tolerant)
		}, want: read},
		{name: "the service sets no limit any more", signal: func(l *warm.Limiter) { l.Listed(at(300*ms), listed(5, 0), model.Service{}) }},
		{name: "another limit", signal: func(l *warm.Limiter) { l.Listed(at(300*ms), listed(5, 0), model.Service{WarmupPerS: 4}) }, want: warm.Decision{Action: warm.Read, RetryAfter: 50 * ms}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newWarm()
			qt.Assert(t, l.Begin(at(200*ms), false), qt.Equals, warm.Decision{})
			test.signal(l)
			qt.Assert(t, l.Begin(at(400*ms), false), qt.Equals, test.want)
		})
	}
}

// TestColdGetsWhatItTolerates checks that a cold upstream with more work than it tolerates gets all that it does.
func TestColdGetsWhatItTolerates(t *testing.T) {
	tests := []struct {
		name string
		perS float64
		// bounds are those of the deployment.
		bounds warm.Bounds
		// want is the number of sends in 4 s: a burst, and the rate.
		want int
	}{
		{name: "half of one a second", perS: 0.5, want: 1 + 2},
		{name: "12 a second", perS: 12, want: 6 + 48},
		{name: "2,000 a second", perS: 2000, want: 1000 + 8000},
		{name: "12 a second with bounds", perS: 12, bounds: warm.Bounds{Overshoot: 1.5, Tolerance: 8}, want: 4 + 72},
		{name: "12 a second without a tolerance", perS: 12, bounds: warm.Bounds{Overshoot: 1}, want: 1 + 44},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := warm.New(at(-10*time.Second), test.bounds)
			l.Listed(at(-10*time.Second), listed(5, 20_000), model.Service{WarmupPerS: test.perS})
			sent := 0
			for now := time.Duration(0); now <= 4*time.Second+ms; now += 100 * time.Microsecond {
				if l.Begin(at(now), false).Action == warm.Start {
					sent++
				}
			}
			qt.Assert(t, max(sent-test.want, test.want-sent) <= 2, qt.IsTrue, qt.Commentf("%d sent, %d tolerated", sent, test.want))
		})
	}
}

// TestState checks what a gate reports, and what it leaves to nested calls.
func TestState(t *testing.T) {
	l := warm.New(at(-time.Second), warm.Bounds{})
	l.Listed(at(-time.Second), listed(5, 0), model.Service{WarmupPerS: 10})
	qt.Assert(t, l.State(start), qt.Equals, warm.State{})
	qt.Assert(t, l.NeedsReading(start), qt.IsFalse)
	for range 3 {
		qt.Assert(t, l.Begin(start, false).Action, qt.Equals, warm.Start)
	}
	qt.Assert(t, l.NeedsReading(start), qt.IsTrue)
	l.Observe(start, start, 3*time.Second)
	qt.Assert(t, l.NeedsReading(start), qt.IsFalse)
	qt.Assert(t, l.State(start), qt.Equals, warm.State{Left: 3 * time.Second, Room: 2})
	qt.Assert(t, l.Begin(start, true).Action, qt.Equals, warm.Start)
	qt.Assert(t, l.State(start), qt.Equals, warm.State{Left: 3 * time.Second, Wait: 200 * ms})
	qt.Assert(t, l.Begin(start, false), qt.Equals, warm.Decision{Action: warm.Refuse, RetryAfter: 200 * ms})
	qt.Assert(t, l.Begin(start, true).Action, qt.Equals, warm.Start)
	qt.Assert(t, l.State(at(3*time.Second)), qt.Equals, warm.State{})
}

// TestStartedGate checks that a gate which has just started has no burst: its predecessor may have used it.
func TestStartedGate(t *testing.T) {
	l := warm.New(start, warm.Bounds{})
	l.Listed(at(100*ms), listed(5, 0), tolerant)
	qt.Assert(t, l.Begin(at(400*ms), false), qt.Equals, warm.Decision{Action: warm.Read, RetryAfter: 100 * ms})
	l.Observe(at(400*ms), at(405*ms), 300*ms)
	qt.Assert(t, l.Begin(at(410*ms), false), qt.Equals, warm.Decision{Action: warm.Refuse, RetryAfter: 90 * ms})
	qt.Assert(t, l.Begin(at(500*ms), false).Action, qt.Equals, warm.Start)
}

// upstream is a simulated upstream with the gate beside it.
type upstream struct {
	now         time.Duration
	limiter     *warm.Limiter
	incarnation model.Incarnation
	coldUntil   time.Duration
	// sent has the times of the sends that reached it since it became cold.
	sent []time.Duration
}

// cool makes the upstream cold until the given time. One that was warm gets a new count.
func (u *upstream) cool(until time.Duration) {
	if u.now >= u.coldUntil {
		u.sent = nil
	}
	u.coldUntil = max(u.coldUntil, until)
}

func (u *upstream) left() time.Duration { return max(0, u.coldUntil-u.now) }

// send lets the gate decide about one call; a decision Read is followed by a reading that takes some time, if the
// upstream answers.
func (u *upstream) send(t *rapid.T) {
	decision := u.limiter.Begin(at(u.now), rapid.Bool().Draw(t, "nested"))
	if decision.Action == warm.Read && rapid.Bool().Draw(t, "answers") {
		asked := u.now
		u.wait(t, "query")
		answer := u.left()
		answered := u.now
		u.wait(t, "answer")
		u.limiter.Observe(at(asked), at(u.now), max(0, answer-(u.now-answered)))
		decision = u.limiter.Begin(at(u.now), rapid.Bool().Draw(t, "nested"))
	}
	if decision.Action == warm.Start && u.now < u.coldUntil {
		u.sent = append(u.sent, u.now)
	}
}

func (u *upstream) wait(t *rapid.T, name string) {
	u.now += time.Duration(rapid.IntRange(0, 30).Draw(t, name)) * ms
}

// TestNoSecondHasTooMany checks, over any order of sends, colds, restarts of the upstream and of the gate, entries that
// are late and readings that are lost, that an upstream gets at most what its bounds allow in any second from the moment at which it becomes cold until it is warm.
func TestNoSecondHasTooMany(t *testing.T) {
	service := model.Service{WarmupPerS: 6, WarmupMs: 2000}
	rapid.Check(t, func(t *rapid.T) {
		// Without bounds it is half as much again as what the upstream tolerates, with them what they allow.
		bounds, most := warm.Bounds{}, 9
		if rapid.Bool().Draw(t, "bounds") {
			bounds, most = warm.Bounds{Overshoot: 1.5, Tolerance: 8}, 17
		}
		u := &upstream{limiter: warm.New(start, bounds), incarnation: 5}
		u.limiter.Listed(start, listed(u.incarnation, 0), service)
		t.Repeat(map[string]func(*rapid.T){
			"sends": func(t *rapid.T) {
				for range rapid.IntRange(1, 12).Draw(t, "count") {
					u.send(t)
				}
			},
			"time passes": func(t *rapid.T) { u.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * ms },
			"turns cold": func(t *rapid.T) {
				u.cool(u.now + time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*ms)
			},
			"restarts": func(*rapid.T) {
				u.incarnation++
				u.cool(u.now + time.Duration(service.WarmupMs)*ms)
			},
			"entry arrives": func(t *rapid.T) {
				late := time.Duration(rapid.IntRange(0, 2000).Draw(t, "late")) * ms
				u.limiter.Listed(at(u.now), listed(u.incarnation, int(max(0, u.coldUntil-u.now+late)/ms)), service)
			},
			"gate restarts": func(*rapid.T) {
				u.limiter = warm.New(at(u.now), bounds)
				u.limiter.Listed(at(u.now), listed(u.incarnation, 0), service)
			},
			"reading arrives": func(t *rapid.T) {
				asked := u.now
				u.wait(t, "query")
				u.limiter.Observe(at(asked), at(u.now), u.left())
			},
			"": func(t *rapid.T) {
				for i := most; i < len(u.sent); i++ {
					if first := u.sent[i-most]; u.sent[i]-first < time.Second {
						t.Fatalf("more than %d sends to a cold upstream from %v to %v", most, first, u.sent[i])
					}
				}
			},
		})
	})
}
