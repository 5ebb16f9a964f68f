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
	minScheduleLength = 10
	maxScheduleLength = 60
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	flag.Parse()
	// The golden schedules are the shortest ones, so that shrinking must not end by its time limit on a busy machine.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "20000", "rapid.shrinktime": "1h"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// action is the next event of a schedule. It applies to the pick-th object of its kind, modulo their number.
type action string

// step is one step of a schedule, drawn by rapid.
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
		if len(w.inFlight) > 0 {
			w.applyMessage(s.action, len(w.inFlight)-1-s.pick%len(w.inFlight))
		}
	}
}

// applyTicket applies a step to a ticket at the first home that has one and is not paused.
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
	m := w.inFlight[i]
	drop := func() { w.inFlight = slices.Delete(w.inFlight, i, i+1) }
	switch {
	case a == "deliver":
		w.deliver(i)
	case a == "lose":
		w.logf("lose %s", m)
		drop()
	case a == "duplicate" && w.mayDuplicate(m):
		w.logf("duplicate %s", m)
		w.inFlight = append(w.inFlight, m)
	case a == "refuse" && m.kind == toEntry:
		drop()
		w.pending = append(w.pending, m)
		w.observe(m, proof.RefusedHere)
	case a == "unreachable" && m.kind == toHome:
		drop()
		w.observe(m, proof.NothingSent)
	case a == "shed" && m.kind == toUpstream:
		drop()
		w.shed(m)
	}
}

// mayDuplicate excludes messages that are never repeated in the chosen design: those of the daemon's own transport and
// those of a caller that numbers its sends.
func (w *world) mayDuplicate(m message) bool {
	switch m.kind {
	case toHome, toUpstream:
		return w.design == transportReplays
	case toEntry:
		return m.request == unnumbered || w.design == callerReplays
	default:
		return true
	}
}

// shed delivers to the home that the upstream refused the run and said so.
func (w *world) shed(m message) {
	h := w.homes[m.home]
	i := slices.IndexFunc(h.tickets, func(t *ticket) bool { return t.id == m.id })
	if i >= 0 && h.incarnation == m.incarnation && !h.paused {
		w.finish(h, h.tickets[i], proof.UpstreamShed, "")
	}
}

func play(d design, schedule []step) *world {
	w := newWorld(d)
	for _, s := range schedule {
		w.apply(s)
	}
	return w
}

// TestChosenDesignKeepsPromises checks that no schedule that rapid draws breaks a promise.
func TestChosenDesignKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := play(chosen, rapid.SliceOfN(steps, minScheduleLength, maxScheduleLength).Draw(t, "steps"))
		if w.violation != "" {
			t.Fatalf("%s", w.log.String())
		}
	})
}

// recorder replaces testing.T where the test expects a failure.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) FailNow()              { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }

// TestRejectedDesignsBreakPromises finds, for each rejected design, a schedule that breaks a promise. The shortest one
// that rapid found is in testdata/NAME.golden, followed by the same schedule with the chosen design.
func TestRejectedDesignsBreakPromises(t *testing.T) {
	tests := []struct {
		name   string
		design design
	}{
		{name: "home_by_view", design: homeByView},
		{name: "same_life", design: sameIncarnation},
		{name: "transport_replays", design: transportReplays},
		{name: "reopen_for_all", design: reopenForAll},
		{name: "silence_is_not_run", design: silenceIsNotRun},
		{name: "bystander_vouches", design: bystanderDecides},
		{name: "watcher_apart", design: separateWatcher},
		{name: "caller_replays", design: callerReplays},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var schedule []step
			found := &recorder{TB: t}
			rapid.Check(found, func(t *rapid.T) {
				drawn := rapid.SliceOfN(steps, minScheduleLength, maxScheduleLength).Draw(t, "steps")
				if play(test.design, drawn).violation != "" {
					schedule = drawn
					t.Fatalf("violated")
				}
			})
			qt.Assert(t, found.failed, qt.IsTrue, qt.Commentf("no schedule breaks this design"))
			broken, sound := play(test.design, schedule), play(chosen, schedule)
			qt.Assert(t, sound.violation, qt.Equals, "")
			compareGolden(t, test.name, broken.log.String()+"\nchosen design, same schedule:\n"+sound.log.String())
		})
	}
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		qt.Assert(t, os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}
