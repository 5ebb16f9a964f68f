package safety

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/query/proof"
)

const (
	shortestSchedule = 10
	longestSchedule  = 60
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "20000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// action is what happens next; it concerns the pick-th thing of its kind, modulo their number.
type action string

// step is drawn by rapid or written down in a schedule.
type step struct {
	action action
	pick   int
}

var actions = []action{
	"deliver", "send", "launch", "deliver", "deliver", "deliver", "deliver", "send", "launch", "deliver", "deliver", "lose",
	"duplicate", "refuse", "unreachable", "give_up", "expire", "sever", "shed", "pause", "wake", "crash",
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{action: rapid.SampledFrom(actions).Draw(t, "action"), pick: rapid.IntRange(0, 5).Draw(t, "pick")}
})

func (w *world) apply(s step) {
	switch s.action {
	case "send":
		w.send(s.pick % requests)
	case "crash":
		w.crash(s.pick % homes)
	case "pause", "wake":
		w.homes[s.pick%homes].paused = s.action == "pause"
	case "give_up":
		if len(w.pending) > 0 {
			w.observe(w.pending[s.pick%len(w.pending)], proof.SentThenSilent)
		}
	case "launch", "expire", "sever":
		w.applyTicket(s)
	default:
		if len(w.flight) > 0 {
			w.applyMessage(s.action, len(w.flight)-1-s.pick%len(w.flight))
		}
	}
}

// applyTicket concerns a ticket at the first home that has one and is not paused.
func (w *world) applyTicket(s step) {
	for _, h := range w.homes {
		if len(h.tickets) == 0 || h.paused {
			continue
		}
		t := h.tickets[s.pick%len(h.tickets)]
		switch {
		case s.action == "expire":
			w.expire(h, t)
		case s.action == "launch" && t.started && !t.sent:
			w.launch(h, t)
		case s.action == "sever" && t.sent:
			w.finish(h, t, proof.SentThenSilent, "")
		}
		return
	}
}

func (w *world) applyMessage(a action, i int) {
	m := w.flight[i]
	lose := func() { w.flight = slices.Delete(w.flight, i, i+1) }
	switch {
	case a == "deliver":
		w.deliver(i)
	case a == "lose":
		w.say("lose %s", m)
		lose()
	case a == "duplicate" && w.mayDuplicate(m):
		w.say("duplicate %s", m)
		w.flight = append(w.flight, m)
	case a == "refuse" && m.kind == toEntry:
		lose()
		w.pending = append(w.pending, m)
		w.observe(m, proof.RefusedHere)
	case a == "unreachable" && m.kind == toHome:
		lose()
		w.observe(m, proof.NothingSent)
	case a == "shed" && m.kind == toUpstream:
		lose()
		w.shed(m)
	}
}

// mayDuplicate excludes what the daemon's own transport and a caller that numbers its sends never repeat.
func (w *world) mayDuplicate(m message) bool {
	switch m.kind {
	case toHome, toUpstream:
		return w.fault == transportReplays
	case toEntry:
		return m.request == unnumbered || w.fault == callerReplays
	default:
		return true
	}
}

// shed is the upstream's marked refusal at the home.
func (w *world) shed(m message) {
	h := w.homes[m.home]
	i := slices.IndexFunc(h.tickets, func(t *ticket) bool { return t.id == m.id })
	if i >= 0 && h.life == m.life && !h.paused {
		w.finish(h, h.tickets[i], proof.UpstreamShed, "")
	}
}

func play(f fault, schedule []step) *world {
	w := newWorld(f)
	for _, s := range schedule {
		w.apply(s)
	}
	return w
}

func TestChosenWayHoldsInEverySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := play(chosen, rapid.SliceOfN(steps, shortestSchedule, longestSchedule).Draw(t, "steps"))
		if w.violation != "" {
			t.Fatalf("%s", w.log.String())
		}
	})
}

// recorder takes the place of testing.T where a failure is what the test expects.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) FailNow()              { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }

// TestRejectedWaysBreak finds a schedule for each rejected way that breaks a promise. The shortest that rapid
// found stands in testdata/NAME.golden, and after it the same schedule with the chosen way.
func TestRejectedWaysBreak(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
	}{
		{name: "home_by_view", fault: homeByView},
		{name: "same_life", fault: sameLife},
		{name: "transport_replays", fault: transportReplays},
		{name: "reopen_for_all", fault: reopenForAll},
		{name: "silence_is_not_run", fault: silenceIsNotRun},
		{name: "bystander_vouches", fault: bystanderVouches},
		{name: "watcher_apart", fault: watcherApart},
		{name: "caller_replays", fault: callerReplays},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var schedule []step
			found := &recorder{TB: t}
			rapid.Check(found, func(t *rapid.T) {
				drawn := rapid.SliceOfN(steps, shortestSchedule, longestSchedule).Draw(t, "steps")
				if play(test.fault, drawn).violation != "" {
					schedule = drawn
					t.Fatalf("violated")
				}
			})
			qt.Assert(t, found.failed, qt.IsTrue, qt.Commentf("no schedule breaks this way"))
			broken, whole := play(test.fault, schedule), play(chosen, schedule)
			qt.Assert(t, whole.violation, qt.Equals, "")
			golden(t, test.name, broken.log.String()+"\nchosen way, same schedule:\n"+whole.log.String())
		})
	}
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		qt.Assert(t, os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}
