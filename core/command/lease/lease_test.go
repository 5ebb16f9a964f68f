package lease_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/lease"
)

var start = time.Unix(1000, 0)

const ms = time.Millisecond

func TestWhoReads(t *testing.T) {
	heard := func(at time.Duration, age int64, lowerRank bool) func(*lease.State) {
		return func(s *lease.State) {
			s.Heard(start.Add(at), lease.Freshness{AgeMs: age, Reader: "s-1"}, lowerRank)
		}
	}
	read := func(at time.Duration, succeeded bool) func(*lease.State) {
		return func(s *lease.State) {
			s.InFlight, s.Renewing = true, true
			s.Ended(start.Add(at), succeeded, false, rand.New(rand.NewPCG(1, 1)))
		}
	}
	firstRead := func(s *lease.State) {
		s.TryStart(start, 0, false)
		s.Ended(start, true, false, rand.New(rand.NewPCG(1, 1)))
	}
	tests := []struct {
		name   string
		steps  []func(*lease.State)
		at     time.Duration
		rank   int
		behind bool
		want   bool
	}{
		{name: "at the start", want: true},
		{name: "fresh knowledge", steps: []func(*lease.State){heard(0, 0, true)}, at: 800 * ms},
		{name: "knowledge that was old when it arrived", steps: []func(*lease.State){heard(0, 200, true)}, at: 750 * ms, want: true},
		{name: "old knowledge, lowest rank", steps: []func(*lease.State){heard(0, 0, true)}, at: 900 * ms, want: true},
		{name: "old knowledge, a higher rank", steps: []func(*lease.State){heard(0, 0, true)}, at: 900 * ms, rank: 3},
		{name: "old knowledge, in its turn", steps: []func(*lease.State){heard(0, 0, true)}, at: 990 * ms, rank: 3, want: true},
		{name: "continues after an own read", steps: []func(*lease.State){read(0, true)}, at: 100 * ms, rank: 5, want: true},
		{name: "not after its first read", steps: []func(*lease.State){firstRead}, at: 500 * ms},
		{name: "a late rank, while the first ones may have their turn", steps: []func(*lease.State){heard(0, 0, true)}, at: 1190 * ms, rank: 300},
		{name: "a late rank, at the latest", steps: []func(*lease.State){heard(0, 0, true)}, at: 1700 * ms, rank: 300, want: true},
		{name: "not within the gap after a read", steps: []func(*lease.State){read(0, true)}, at: 50 * ms, rank: 5},
		{name: "gives way to a reader of lower rank", steps: []func(*lease.State){read(0, true), heard(5*ms, 0, true)}, at: 100 * ms, rank: 5},
		{name: "not to one of higher rank", steps: []func(*lease.State){read(0, true), heard(5*ms, 0, false)}, at: 100 * ms, rank: 5, want: true},
		{name: "not at once after a failure", steps: []func(*lease.State){read(0, false)}, at: 50 * ms},
		{name: "soon after a failure", steps: []func(*lease.State){read(0, false)}, at: 130 * ms, want: true},
		{name: "fresh knowledge, but others have more", steps: []func(*lease.State){heard(0, 0, true)}, at: 50 * ms, rank: 9, behind: true, want: true},
		{name: "others have more, not at once after a failure", steps: []func(*lease.State){read(0, false)}, at: 50 * ms, behind: true},
		{name: "not beside an own read", steps: []func(*lease.State){func(s *lease.State) { s.InFlight = true }}, at: time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := lease.New(rand.New(rand.NewPCG(1, 1)))
			for _, step := range test.steps {
				step(s)
			}
			qt.Assert(t, s.TryStart(start.Add(test.at), test.rank, test.behind), qt.Equals, test.want)
		})
	}
}

// TestOddAges checks that a report with an impossible age does not count as knowledge from the future, which would keep
// the daemon from reading, nor as none.
func TestOddAges(t *testing.T) {
	tests := []struct {
		name string
		age  int64
	}{
		{name: "negative", age: -1_000_000},
		{name: "the least number", age: math.MinInt64},
		{name: "too large for a time", age: math.MaxInt64},
		{name: "wraps around to the future", age: math.MaxInt64/1_000_000 + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := lease.New(rand.New(rand.NewPCG(1, 1)))
			s.Heard(start, lease.Freshness{}, false)
			s.Heard(start.Add(ms), lease.Freshness{AgeMs: test.age, Reader: "s-1"}, false)
			qt.Assert(t, s.FreshAt.After(start.Add(ms)), qt.IsFalse)
			qt.Assert(t, s.TryStart(start.Add(2*time.Second), 0, false), qt.IsTrue)
		})
	}
}

func TestOutageEnds(t *testing.T) {
	tests := []struct {
		name  string
		known bool
		gap   time.Duration
		age   int64
		want  bool
	}{
		{name: "first knowledge", gap: time.Minute},
		{name: "a usual gap", known: true, gap: 700 * ms},
		{name: "an outage", known: true, gap: 3 * time.Second, want: true},
		{name: "a report made before the end of the outage", known: true, gap: 3 * time.Second, age: 2500},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := lease.New(rand.New(rand.NewPCG(1, 1)))
			if test.known {
				s.Heard(start, lease.Freshness{}, false)
			}
			got := s.ReportEndsOutage(start.Add(test.gap), lease.Freshness{AgeMs: test.age})
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
