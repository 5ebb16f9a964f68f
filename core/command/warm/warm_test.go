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

// tolerant is a service whose cold upstreams tolerate 2 requests a second, so that the limit is 2.
var tolerant = model.Service{WarmupPerS: 2, WarmupMs: 3000}

// newWarm returns a limiter that started 2 s ago, with a reading just before the start that said warm.
func newWarm() *warm.Limiter {
	l := warm.New(at(-2000 * ms))
	l.Listed(at(-2000*ms), listed(5, 0), tolerant)
	l.Observe(at(-2*ms), at(-ms), 0)
	return l
}

func TestLimit(t *testing.T) {
	tests := []struct {
		name string
		perS float64
		want int
	}{
		{name: "none", perS: 0, want: 0},
		{name: "below one", perS: 0.2, want: 1},
		{name: "a quarter more", perS: 12, want: 15},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, warm.Limit(test.perS), qt.Equals, test.want)
		})
	}
}

// TestThirdSend checks the decision at 600 ms about a third send after two at 100 and 200 ms, where two may reach a cold
// upstream in a second.
func TestThirdSend(t *testing.T) {
	tests := []struct {
		name   string
		signal func(*warm.Limiter)
		want   warm.Decision
	}{
		{name: "nothing is known since", signal: func(*warm.Limiter) {}, want: warm.Decision{Action: warm.Read, RetryAfter: 500 * ms}},
		{name: "health says warm", signal: func(l *warm.Limiter) { l.Observe(at(500*ms), at(505*ms), 0) }},
		{name: "health said warm before the second send", signal: func(l *warm.Limiter) { l.Observe(at(150*ms), at(250*ms), 0) }},
		{name: "health was asked before the first send and answered after both", signal: func(l *warm.Limiter) { l.Observe(at(90*ms), at(250*ms), 0) }, want: warm.Decision{Action: warm.Read, RetryAfter: 500 * ms}},
		{name: "health says cold", signal: func(l *warm.Limiter) { l.Observe(at(500*ms), at(505*ms), 900*ms) }, want: warm.Decision{Action: warm.Refuse, RetryAfter: 500 * ms}},
		{name: "health said cold, and it is over", signal: func(l *warm.Limiter) { l.Observe(at(300*ms), at(305*ms), 100*ms) }, want: warm.Decision{Action: warm.Read, RetryAfter: 500 * ms}},
		{name: "the entry says cold", signal: func(l *warm.Limiter) { l.Listed(at(300*ms), listed(5, 400), tolerant) }, want: warm.Decision{Action: warm.Refuse, RetryAfter: 500 * ms}},
		{name: "the entry says cold, health warm", signal: func(l *warm.Limiter) {
			l.Listed(at(300*ms), listed(5, 400), tolerant)
			l.Observe(at(500*ms), at(505*ms), 0)
		}, want: warm.Decision{Action: warm.Refuse, RetryAfter: 500 * ms}},
		{name: "health says cold for longer than the entry", signal: func(l *warm.Limiter) {
			l.Observe(at(300*ms), at(305*ms), 2*time.Second)
			l.Listed(at(400*ms), listed(5, 100), tolerant)
		}, want: warm.Decision{Action: warm.Refuse, RetryAfter: 500 * ms}},
		{name: "an older entry says cold, the newer warm", signal: func(l *warm.Limiter) {
			l.Listed(at(300*ms), listed(5, 400), tolerant)
			l.Listed(at(400*ms), listed(5, 0), tolerant)
		}, want: warm.Decision{Action: warm.Refuse, RetryAfter: 500 * ms}},
		{name: "a new incarnation whose entry says nothing", signal: func(l *warm.Limiter) { l.Listed(at(300*ms), listed(6, 0), tolerant) }, want: warm.Decision{Action: warm.Refuse, RetryAfter: 500 * ms}},
		{name: "the entry is gone for a moment", signal: func(l *warm.Limiter) {
			l.Listed(at(300*ms), model.Upstream{Name: "reservas-1", Incarnation: 9}, tolerant)
			l.Listed(at(400*ms), listed(5, 0), tolerant)
		}, want: warm.Decision{Action: warm.Read, RetryAfter: 500 * ms}},
		{name: "the service sets no limit any more", signal: func(l *warm.Limiter) { l.Listed(at(300*ms), listed(5, 0), model.Service{}) }},
		{name: "the limit rises", signal: func(l *warm.Limiter) { l.Listed(at(300*ms), listed(5, 0), model.Service{WarmupPerS: 12}) }, want: warm.Decision{Action: warm.Read, RetryAfter: 600 * ms}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newWarm()
			qt.Assert(t, l.Begin(at(100*ms)), qt.Equals, warm.Decision{})
			qt.Assert(t, l.Begin(at(200*ms)), qt.Equals, warm.Decision{})
			test.signal(l)
			qt.Assert(t, l.Begin(at(600*ms)), qt.Equals, test.want)
		})
	}
}

// TestState checks what a gate reports, and that a cold upstream gets all that it tolerates.
func TestState(t *testing.T) {
	l := newWarm()
	qt.Assert(t, l.State(start), qt.Equals, warm.State{})
	qt.Assert(t, l.NeedsReading(start), qt.IsFalse)
	l.Begin(at(100 * ms))
	qt.Assert(t, l.NeedsReading(at(100*ms)), qt.IsTrue)
	l.Observe(at(100*ms), at(110*ms), 3*time.Second)
	qt.Assert(t, l.NeedsReading(at(110*ms)), qt.IsFalse)
	qt.Assert(t, l.State(at(110*ms)), qt.Equals, warm.State{Left: 3 * time.Second, Room: 1})
	l.Begin(at(400 * ms))
	qt.Assert(t, l.State(at(600*ms)), qt.Equals, warm.State{Left: 2510 * ms, Wait: 500 * ms})
	qt.Assert(t, l.Begin(at(1100*ms)).Action, qt.Equals, warm.Start)
	qt.Assert(t, l.Begin(at(1400*ms)).Action, qt.Equals, warm.Start)
	qt.Assert(t, l.State(at(3110*ms)), qt.Equals, warm.State{})
}

// TestStartedGate checks that a gate which has just started sends nothing until it knows that its upstream is warm, or a
// second has passed: another gate may have used up the second before.
func TestStartedGate(t *testing.T) {
	l := warm.New(start)
	l.Listed(at(10*ms), listed(5, 0), tolerant)
	qt.Assert(t, l.Begin(at(400*ms)), qt.Equals, warm.Decision{Action: warm.Read, RetryAfter: 600 * ms})
	l.Observe(at(400*ms), at(405*ms), 300*ms)
	qt.Assert(t, l.Begin(at(410*ms)), qt.Equals, warm.Decision{Action: warm.Refuse, RetryAfter: 590 * ms})
	qt.Assert(t, l.Begin(at(1000*ms)).Action, qt.Equals, warm.Start)
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
	decision := u.limiter.Begin(at(u.now))
	if decision.Action == warm.Read && rapid.Bool().Draw(t, "answers") {
		asked := u.now
		u.wait(t, "query")
		answer := u.left()
		answered := u.now
		u.wait(t, "answer")
		u.limiter.Observe(at(asked), at(u.now), max(0, answer-(u.now-answered)))
		decision = u.limiter.Begin(at(u.now))
	}
	if decision.Action == warm.Start && u.now < u.coldUntil {
		u.sent = append(u.sent, u.now)
	}
}

func (u *upstream) wait(t *rapid.T, name string) {
	u.now += time.Duration(rapid.IntRange(0, 30).Draw(t, name)) * ms
}

// TestNoSecondHasTooMany checks, over any order of sends, colds, restarts of the upstream and of the gate, entries that
// are late and readings that are lost, that an upstream gets at most the limit in any second from the moment
// at which it becomes cold until it is warm.
func TestNoSecondHasTooMany(t *testing.T) {
	service := model.Service{WarmupPerS: 6, WarmupMs: 2000}
	rapid.Check(t, func(t *rapid.T) {
		u := &upstream{limiter: warm.New(start), incarnation: 5}
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
				u.limiter = warm.New(at(u.now))
				u.limiter.Listed(at(u.now), listed(u.incarnation, 0), service)
			},
			"reading arrives": func(t *rapid.T) {
				asked := u.now
				u.wait(t, "query")
				u.limiter.Observe(at(asked), at(u.now), u.left())
			},
			"": func(t *rapid.T) {
				for i := warm.Limit(service.WarmupPerS); i < len(u.sent); i++ {
					if first := u.sent[i-warm.Limit(service.WarmupPerS)]; u.sent[i]-first < time.Second {
						t.Fatalf("more than %d sends to a cold upstream from %v to %v", warm.Limit(service.WarmupPerS), first, u.sent[i])
					}
				}
			},
		})
	})
}
