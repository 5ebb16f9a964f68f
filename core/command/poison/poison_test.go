package poison_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/command/poison"
	"comfreytack/core/model"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

const crasher = model.Fingerprint(666)

// sentAt returns requests in flight that were all sent at one time.
func sentAt(at time.Time, fingerprints ...model.Fingerprint) []poison.Run {
	var runs []poison.Run
	for _, fingerprint := range fingerprints {
		runs = append(runs, poison.Run{Fingerprint: fingerprint, StartedAt: at})
	}
	return runs
}

func checkGolden(t *testing.T, name, got string) {
	path := filepath.Join("testdata", name)
	if *update {
		qt.Assert(t, os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}

// TestSession replays what one detector sees of a crashing request and its neighbours.
func TestSession(t *testing.T) {
	detector := poison.New(poison.DefaultSettings())
	var session strings.Builder
	step := func(at time.Duration, what string, act func(now time.Time) string) {
		now := start.Add(at)
		result := act(now)
		var barred []string
		for fingerprint, until := range detector.Quarantined(now) {
			barred = append(barred, fmt.Sprintf("%d until %v", fingerprint, until.Sub(start)))
		}
		slices.Sort(barred)
		fmt.Fprintf(&session, "%-8v %-48s %-6s quarantined %v\n", at, what, result, barred)
	}
	crash := func(upstream model.UpstreamName, inFlight ...model.Fingerprint) func(time.Time) string {
		return func(now time.Time) string { detector.Crashed(now, upstream, 1, sentAt(now, inFlight...)); return "" }
	}
	begin := func(fingerprint model.Fingerprint, retriedAfterCrash bool) func(time.Time) string {
		return func(now time.Time) string { return detector.Begin(now, fingerprint, retriedAfterCrash).String() }
	}
	step(0, "666 begins", begin(crasher, false))
	step(time.Second, "reservas-0 crashes with 666, 1 and 2", crash("reservas-0", crasher, 1, 2))
	step(time.Second, "the same crash is reported again", crash("reservas-0", crasher, 1, 2))
	step(2*time.Second, "1 begins", begin(1, false))
	step(2*time.Second, "666 begins beside it", begin(crasher, false))
	step(2*time.Second, "3 begins beside it", begin(3, false))
	step(2*time.Second, "4 begins, retried after a crash", begin(4, true))
	step(3*time.Second, "1 succeeds", func(time.Time) string { detector.Succeeded(1); detector.EndAlone(); return "" })
	step(3*time.Second, "666 begins", begin(crasher, false))
	step(4*time.Second, "reservas-1 crashes with 666, 1 and 3", crash("reservas-1", crasher, 1, 3))
	step(4*time.Second, "666 begins", begin(crasher, true))
	step(4*time.Second, "1 begins", func(now time.Time) string { detector.EndAlone(); return begin(1, false)(now) })
	step(604*time.Second, "666 begins after the quarantine", begin(crasher, false))
	checkGolden(t, "session.golden", session.String())
}

// TestMergeIsOrderFree merges the same evidence in different orders, repeated, and relayed through another detector.
func TestMergeIsOrderFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []poison.Evidence
		for range rapid.IntRange(0, 12).Draw(t, "entries") {
			all = append(all, poison.Evidence{
				Fingerprint: model.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint")),
				Crash:       poison.Crash{Upstream: "a", Incarnation: model.Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation"))},
				Cleared:     rapid.Bool().Draw(t, "cleared"),
				RemainingMs: 600_000,
			})
		}
		once, twice := poison.New(poison.DefaultSettings()), poison.New(poison.DefaultSettings())
		once.Merge(start, all)
		shuffled := rapid.Permutation(all).Draw(t, "order")
		for _, e := range append(shuffled, shuffled...) {
			twice.Merge(start, []poison.Evidence{e})
		}
		far := poison.New(poison.DefaultSettings())
		far.Merge(start, twice.Gossip(start))
		want := fmt.Sprint(once.Quarantined(start))
		if fmt.Sprint(twice.Quarantined(start)) != want || fmt.Sprint(far.Quarantined(start)) != want {
			t.Fatalf("%v and %v, want %s", twice.Quarantined(start), far.Quarantined(start), want)
		}
	})
}

// TestGossipEnds checks that evidence expires although two detectors keep passing it to each other with a delay.
func TestGossipEnds(t *testing.T) {
	settings := poison.DefaultSettings()
	a, b := poison.New(settings), poison.New(settings)
	a.Crashed(start, "reservas-0", 1, sentAt(start, crasher))
	a.Crashed(start, "reservas-1", 1, sentAt(start, crasher))
	now := start
	for now.Before(start.Add(4 * settings.CrashLifetime)) {
		entries := a.Gossip(now)
		now = now.Add(time.Second)
		b.Merge(now, entries)
		a.Merge(now.Add(time.Second), b.Gossip(now))
		if age := now.Sub(start); age > settings.CrashLifetime+2*time.Second {
			qt.Assert(t, b.Quarantined(now), qt.HasLen, 0)
		}
	}
	qt.Assert(t, a.Size()+b.Size(), qt.Equals, 0)
}

// TestNewEvidenceIsPassedOnFirst checks that evidence is in a bounded number of messages while it is new, and that each
// later message repeats one entry only.
func TestNewEvidenceIsPassedOnFirst(t *testing.T) {
	detector := poison.New(poison.DefaultSettings())
	qt.Assert(t, detector.NextEvidence(start, 0), qt.HasLen, 0)
	inFlight := make([]model.Fingerprint, 10)
	for i := range inFlight {
		inFlight[i] = model.Fingerprint(i + 1)
	}
	detector.Crashed(start, "reservas-0", 1, sentAt(start, inFlight...))
	tests := []struct {
		name     string
		messages int
		want     int
	}{
		{name: "new", messages: 16, want: 10},
		{name: "passed on", messages: 100, want: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for i := range test.messages {
				qt.Assert(t, detector.NextEvidence(start, i), qt.HasLen, test.want)
			}
		})
	}
	detector.Succeeded(3)
	qt.Assert(t, detector.NextEvidence(start, 0), qt.HasLen, 1)
	qt.Assert(t, detector.NextEvidence(start, 0)[0].Cleared, qt.IsTrue)
	qt.Assert(t, detector.Gossip(start), qt.HasLen, 10)
}

func TestMemoryIsBounded(t *testing.T) {
	settings := poison.Settings{CrashLifetime: time.Minute, Fingerprints: 50, CrashesPerFingerprint: 3, GossipSize: 8}
	detector := poison.New(settings)
	for incarnation := range 100 {
		var inFlight []model.Fingerprint
		for i := range 10 {
			inFlight = append(inFlight, model.Fingerprint(incarnation*10+i+1000))
		}
		detector.Crashed(start.Add(time.Duration(incarnation)*time.Second), "a", model.Incarnation(incarnation), sentAt(start.Add(time.Duration(incarnation)*time.Second), append(inFlight, crasher)...))
	}
	now := start.Add(100 * time.Second)
	qt.Assert(t, detector.Size() <= settings.Fingerprints, qt.IsTrue)
	qt.Assert(t, len(detector.Gossip(now)), qt.Equals, settings.GossipSize)
	_, barred := detector.Quarantined(now)[crasher]
	qt.Assert(t, barred, qt.IsTrue)
}

// cluster is a model of gates that share gossip before the next step.
type cluster struct {
	detectors []*poison.Detector
	running   [][]model.Fingerprint
	// sent is when each request was last sent to the upstream beside a gate.
	sent         []map[model.Fingerprint]time.Time
	incarnations []model.Incarnation
	alone        []model.Fingerprint
	crashes      int
}

func newCluster(size int) *cluster {
	c := &cluster{
		running:      make([][]model.Fingerprint, size),
		incarnations: make([]model.Incarnation, size),
		alone:        make([]model.Fingerprint, size),
	}
	for range size {
		c.detectors = append(c.detectors, poison.New(poison.DefaultSettings()))
		c.sent = append(c.sent, map[model.Fingerprint]time.Time{})
	}
	return c
}

func (c *cluster) begin(now time.Time, at int, fingerprint model.Fingerprint) {
	switch c.detectors[at].Begin(now, fingerprint, false) {
	case poison.Alone:
		c.alone[at] = fingerprint
		c.running[at] = append(c.running[at], fingerprint)
	case poison.Free:
		c.running[at] = append(c.running[at], fingerprint)
	case poison.Busy, poison.Barred:
		return
	}
	c.sent[at][fingerprint] = now
}

// runs returns the requests in flight at a gate. The one that runs alone was sent after a crash.
func (c *cluster) runs(now time.Time, at int) []poison.Run {
	var runs []poison.Run
	for _, fingerprint := range c.running[at] {
		run := poison.Run{Fingerprint: fingerprint, StartedAt: c.sent[at][fingerprint]}
		if fingerprint == c.alone[at] {
			run.StartedAt = now
		}
		runs = append(runs, run)
	}
	return runs
}

// end finishes the oldest request at a gate; the crashing request crashes its upstream.
func (c *cluster) end(now time.Time, at int) {
	first := c.running[at][0]
	if first == crasher {
		c.crash(now, at)
		return
	}
	c.running[at] = c.running[at][1:]
	c.detectors[at].Succeeded(first)
	c.release(at, first)

	c.gossip(now, at)
}

func (c *cluster) crash(now time.Time, at int) {
	c.detectors[at].Crashed(now, model.UpstreamName(fmt.Sprint(at)), c.incarnations[at], c.runs(now, at))
	c.release(at, c.alone[at])
	c.running[at] = nil
	c.incarnations[at]++
	c.crashes++
	c.gossip(now, at)
}

func (c *cluster) release(at int, fingerprint model.Fingerprint) {
	if fingerprint != 0 && c.alone[at] == fingerprint {
		c.alone[at] = 0
		c.detectors[at].EndAlone()
	}
}

func (c *cluster) gossip(now time.Time, from int) {
	for _, detector := range c.detectors {
		detector.Merge(now, c.detectors[from].Gossip(now))
	}
}

func (c *cluster) crashersRunning() int {
	count := 0
	for _, running := range c.running {
		if slices.Contains(running, crasher) {
			count++
		}
	}
	return count
}

// TestCrashingRequestTakesDownTwo resends a crashing request to any gate at any moment, many times. If it was sent
// again after its first crash, the second one quarantines it, and otherwise the third; besides it may crash only those
// upstreams where it was already in flight then.
func TestCrashingRequestTakesDownTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 8).Draw(t, "gates")
		c := newCluster(size)
		now, firstCrash := start, time.Time{}
		// allowed is how many upstreams may crash; it is known from the crash on that must quarantine the request.
		allowed := 0
		lastInnocent := model.Fingerprint(1000)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			at := rapid.IntRange(0, size-1).Draw(t, "gate")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				c.begin(now, at, crasher)
			case 1:
				lastInnocent++
				c.begin(now, at, lastInnocent)
			default:
				if len(c.running[at]) == 0 {
					continue
				}
				before := c.crashes
				c.end(now, at)
				if c.crashes == before || allowed > 0 {
					break
				}
				sentAgain := c.crashes == poison.CrashesToQuarantine && c.sent[at][crasher].After(firstCrash)
				if sentAgain || c.crashes == poison.JointCrashesToQuarantine {
					allowed = c.crashes + c.crashersRunning()
				}
				if c.crashes == 1 {
					firstCrash = now
				}
			}
			if c.crashes > max(allowed, poison.CrashesToQuarantine) {
				t.Fatalf("%d crashes, %d allowed", c.crashes, allowed)
			}
		}
	})
}

// isolationStats is what a series of trials shows about innocent requests.
type isolationStats struct {
	neighbours, quarantined, trials, crasherBarred int
}

// trial crashes the upstream of gate 0 with the crashing request and nine others in flight. All ten are resent within
// 50 ms to other gates, which take 10 ms for each on average; the crashing request then crashes a second upstream.
func (s *isolationStats) trial(random *rand.Rand, gates int, isolate bool) {
	detector := poison.New(poison.DefaultSettings())
	first := []model.Fingerprint{crasher, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	detector.Crashed(start, "0", 1, sentAt(start, first...))
	type run struct {
		fingerprint model.Fingerprint
		gate        int
		from, to    time.Duration
	}
	var runs []run
	for _, fingerprint := range first {
		from := time.Duration(random.IntN(50_000)) * time.Microsecond
		to := from + time.Duration(random.ExpFloat64()*float64(10*time.Millisecond))
		runs = append(runs, run{fingerprint: fingerprint, gate: 1 + random.IntN(gates-1), from: from, to: to})
	}
	slices.SortFunc(runs, func(a, b run) int { return int(a.from - b.from) })
	if isolate {
		freeAt := make([]time.Duration, gates)
		for i := range runs {
			wait := max(0, freeAt[runs[i].gate]-runs[i].from)
			runs[i].from += wait
			runs[i].to += wait
			freeAt[runs[i].gate] = runs[i].to
		}
	}
	crashed := runs[slices.IndexFunc(runs, func(r run) bool { return r.fingerprint == crasher })]
	var inFlight []poison.Run
	for _, r := range runs {
		switch {
		case r.to < crashed.to:
			detector.Succeeded(r.fingerprint)
		case r.gate == crashed.gate && r.from < crashed.to:
			inFlight = append(inFlight, poison.Run{Fingerprint: r.fingerprint, StartedAt: start.Add(r.from)})
		}
	}
	detector.Crashed(start.Add(crashed.to), "1", 1, inFlight)
	barred := detector.Quarantined(start.Add(crashed.to))
	s.trials++
	s.neighbours += len(first) - 1
	if _, found := barred[crasher]; found {
		s.crasherBarred++
	}
	s.quarantined += len(barred) - 1
}

// TestOddsForInnocents measures how often requests that were in flight beside a crashing one are quarantined, with
// and without the isolation of suspects.
func TestOddsForInnocents(t *testing.T) {
	const trials = 10_000
	tests := []struct {
		name    string
		gates   int
		isolate bool
	}{
		{name: "5 upstreams, suspects together", gates: 5},
		{name: "4 upstreams, suspects together", gates: 4},
		{name: "2 upstreams, suspects together", gates: 2},
		{name: "5 upstreams, suspects alone", gates: 5, isolate: true},
		{name: "4 upstreams, suspects alone", gates: 4, isolate: true},
		{name: "2 upstreams, suspects alone", gates: 2, isolate: true},
	}
	var table strings.Builder
	fmt.Fprintln(&table, "| upstreams | crashing requests quarantined | innocents quarantined |\n| --- | --- | --- |")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			var s isolationStats
			for range trials {
				s.trial(random, test.gates, test.isolate)
			}
			fmt.Fprintf(&table, "| %s | %d of %d | %d of %d (%.2f%%) |\n", test.name, s.crasherBarred, s.trials,
				s.quarantined, s.neighbours, 100*float64(s.quarantined)/float64(s.neighbours))
			qt.Assert(t, s.crasherBarred, qt.Equals, trials)
			qt.Assert(t, s.quarantined == 0, qt.Equals, test.isolate)
		})
	}
	checkGolden(t, "odds.golden", table.String())
}
