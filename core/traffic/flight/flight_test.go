package flight_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/poison"
	"comfreytack/core/model"
	"comfreytack/core/traffic/flight"
)

const recheck = 20 * time.Millisecond

// runTime is how long requests with a deadline have.
const runTime = time.Second

var (
	refused = &model.Failure{Verdict: model.NotRun, Reason: model.UpstreamDown}
	garbled = &model.Failure{Verdict: model.MayHaveRun, Reason: model.WrongAnswer}
	late    = &model.Failure{Verdict: model.MayHaveRun, Reason: model.DeadlinePassed}

	died = &model.Failure{Verdict: model.MayHaveRun, Reason: model.UpstreamDied}
	gone = &model.Failure{Verdict: model.MayHaveRun, Reason: model.CallerGone}
)

// harness is a Tracker with an upstream whose state the test sets.
type harness struct {
	*testing.T
	flight   *flight.Tracker
	detector *poison.Detector
	// downAt is when the upstream stops accepting connections; nil means never.
	downAt atomic.Pointer[time.Time]
}

// rankOfRuns is the rank of all requests.
const rankOfRuns = 2

func (h *harness) begin(fingerprint model.Fingerprint) *flight.Run {
	run, failure := h.flight.Begin(context.Background(), model.Call{
		ID: fmt.Sprintf("req-%d", fingerprint), Fingerprint: fingerprint, Rank: rankOfRuns, Deadline: time.Now().Add(runTime),
	})
	qt.Assert(h, failure == nil, qt.IsTrue)
	return run
}

func (h *harness) start(fingerprint model.Fingerprint) *flight.Run {
	run := h.begin(fingerprint)
	run.Start()
	return run
}

// upload starts a request whose body is streamed: it has a prefix, and a fingerprint once it was read to its end.
func (h *harness) upload(prefix, streamed model.Fingerprint) *flight.Run {
	run, failure := h.flight.Begin(context.Background(), model.Call{ID: "upload", Prefix: prefix})
	qt.Assert(h, failure == nil, qt.IsTrue)
	run.Watch(func() model.Fingerprint { return streamed })
	run.Start()
	return run
}

func (h *harness) goDown(at time.Time) { h.downAt.Store(&at) }

func (h *harness) down() bool {
	at := h.downAt.Load()
	return at != nil && !time.Now().Before(*at)
}

// crash makes the upstream die during the given runs and come back.
func (h *harness) crash(runs ...*flight.Run) {
	h.goDown(time.Now())
	for _, run := range runs {
		run.End(died)
	}
	time.Sleep(2 * recheck)
	h.downAt.Store(nil)
}

func (h *harness) suspects() []model.Fingerprint {
	var suspects []model.Fingerprint
	for _, evidence := range h.detector.Gossip(time.Now()) {
		if !evidence.Cleared {
			suspects = append(suspects, evidence.Fingerprint)
		}
	}
	return suspects
}

func TestFlight(t *testing.T) {
	tests := []struct {
		name            string
		act             func(*harness)
		wantSuspects    []model.Fingerprint
		wantQuarantined int
	}{
		{
			name:         "a crash is attributed to all running requests",
			act:          func(h *harness) { a, b := h.start(1), h.start(2); h.crash(a, b) },
			wantSuspects: []model.Fingerprint{1, 2},
		},
		{
			name:         "a waiting request is not suspected",
			act:          func(h *harness) { h.begin(2); h.crash(h.start(1)) },
			wantSuspects: []model.Fingerprint{1},
		},
		{
			name:         "a request without a fingerprint is not suspected",
			act:          func(h *harness) { h.crash(h.start(0), h.start(1)) },
			wantSuspects: []model.Fingerprint{1},
		},
		{
			name: "a connection that closes while the upstream is up is no crash",
			act: func(h *harness) {
				h.start(1).End(died)
				time.Sleep(2 * recheck)
			},
		},
		{
			name: "a caller that cancels is no crash",
			act:  func(h *harness) { a := h.start(1); h.goDown(time.Now()); a.End(gone); time.Sleep(2 * recheck) },
		},
		{
			name: "an upstream that accepts connections for a moment longer has crashed",
			act: func(h *harness) {
				h.goDown(time.Now().Add(recheck / 2))
				h.start(1).End(died)
				time.Sleep(2 * recheck)
			},
			wantSuspects: []model.Fingerprint{1},
		},
		{
			name: "a success clears a suspect",
			act: func(h *harness) {
				h.crash(h.start(1), h.start(2))
				h.start(1).End(nil)
			},
			wantSuspects: []model.Fingerprint{2},
		},
		{
			name: "two crashes within a second are counted separately",
			act: func(h *harness) {
				h.crash(h.start(1), h.start(2))
				h.start(2).End(nil)
				h.crash(h.start(1))
			},
			wantSuspects:    []model.Fingerprint{1, 1},
			wantQuarantined: 1,
		},
		{
			name: "a request that was sent before an earlier crash and breaks later is no second evidence",
			act: func(h *harness) {
				long := h.start(1)
				time.Sleep(time.Second)
				h.detector.Crashed(time.Now(), "other", 1, []poison.Run{{Fingerprint: 1, StartedAt: time.Now().Add(-time.Second)}})
				time.Sleep(time.Second)
				h.crash(long)
			},
			wantSuspects: []model.Fingerprint{1, 1},
		},
		{
			name: "a suspect that crashes another upstream is quarantined",
			act: func(h *harness) {
				h.detector.Crashed(time.Now(), "other", 1, []poison.Run{{Fingerprint: 1, StartedAt: time.Now()}})
				h.crash(h.start(1))
			},
			wantSuspects:    []model.Fingerprint{1, 1},
			wantQuarantined: 1,
		},
		{
			name: "a request whose caller left before the crash is suspected",
			act: func(h *harness) {
				other := h.start(2)
				h.start(1).End(gone)
				time.Sleep(runTime / 2)
				h.crash(other)
			},
			wantSuspects: []model.Fingerprint{1, 2},
		},
		{
			name: "a request whose answer was not its own is suspected",
			act: func(h *harness) {
				h.start(1).End(garbled)
				h.crash(h.start(2))
			},
			wantSuspects: []model.Fingerprint{1, 2},
		},
		{
			name: "a request that crashes its upstream at its deadline is suspected",
			act: func(h *harness) {
				other := h.start(2)
				run := h.start(1)
				time.Sleep(runTime)
				run.End(late)
				h.crash(other)
			},
			wantSuspects: []model.Fingerprint{1, 2},
		},
		{
			name: "a request whose caller left is not suspected long after its deadline",
			act: func(h *harness) {
				h.start(1).End(gone)
				time.Sleep(3 * runTime)
				h.crash(h.start(2))
			},
			wantSuspects: []model.Fingerprint{2},
		},
		{
			name: "a request whose caller left before an earlier crash is not suspected at the next",
			act: func(h *harness) {
				h.start(1).End(gone)
				h.crash(h.start(2))
				h.start(2).End(nil)
				h.crash(h.start(3))
				h.crash(h.start(3))
			},
			wantSuspects:    []model.Fingerprint{1, 3, 3},
			wantQuarantined: 1,
		},
		{
			name: "callers that leave each time do not keep a request from quarantine",
			act: func(h *harness) {
				for range poison.CrashesToQuarantine {
					h.start(1).End(gone)
					h.crash(h.start(2))
					h.start(2).End(nil)
				}
			},
			wantSuspects:    []model.Fingerprint{1, 1},
			wantQuarantined: 1,
		},
		{
			name: "a crash that only refused connections show is one crash of the request whose caller left",
			act: func(h *harness) {
				h.start(1).End(gone)
				h.goDown(time.Now())
				for range 3 {
					time.Sleep(recheck)
					h.start(2).End(refused)
				}
				time.Sleep(2 * recheck)
			},
			wantSuspects: []model.Fingerprint{1},
		},
		{
			name: "a refused connection alone is no crash",
			act: func(h *harness) {
				h.goDown(time.Now())
				h.start(1).End(refused)
				time.Sleep(2 * recheck)
			},
		},
		{
			name:         "a streamed body is suspected, and all that begin like it",
			act:          func(h *harness) { h.crash(h.upload(1, 2)) },
			wantSuspects: []model.Fingerprint{1, 2},
		},
		{
			name:         "a streamed body whose end was not read is known by its prefix",
			act:          func(h *harness) { h.crash(h.upload(1, 0)) },
			wantSuspects: []model.Fingerprint{1},
		},
		{
			name: "a success clears a streamed body, but not its prefix",
			act: func(h *harness) {
				h.crash(h.upload(1, 2))
				h.upload(1, 2).End(nil)
			},
			wantSuspects: []model.Fingerprint{1},
		},
		{
			name: "a body that is too long to be read first is judged by its prefix",
			act: func(h *harness) {
				h.crash(h.upload(1, 2))
				h.crash(h.upload(1, 3))
				_, failure := h.flight.Begin(context.Background(), model.Call{ID: "upload", Prefix: 1})
				qt.Assert(h, failure.Reason, qt.Equals, model.Quarantined)
			},
			wantSuspects:    []model.Fingerprint{1, 1, 2, 3},
			wantQuarantined: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				test.act(h)
				qt.Assert(t, h.suspects(), qt.ContentEquals, test.wantSuspects)
				qt.Assert(t, h.detector.Quarantined(time.Now()), qt.HasLen, test.wantQuarantined)
			})
		})
	}
}

// TestRuns checks which requests count as running on the upstream.
func TestRuns(t *testing.T) {
	tests := []struct {
		name string
		act  func(*harness)
		want bool
	}{
		{name: "no request", act: func(*harness) {}},
		{name: "waiting", act: func(h *harness) { h.begin(1) }},
		{name: "running", act: func(h *harness) { h.start(1) }, want: true},
		{name: "ended while waiting", act: func(h *harness) { h.begin(1).End(gone) }},
		{name: "over", act: func(h *harness) { h.start(1).End(nil) }},
		{name: "one of two sends ended", act: func(h *harness) { h.start(1); h.start(1).End(nil) }, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				test.act(h)
				rank, running := h.flight.Running("req-1")
				qt.Assert(t, running, qt.Equals, test.want)
				if test.want {
					qt.Assert(t, rank, qt.Equals, rankOfRuns)
				}
			})
		})
	}
}

// TestSuspectsRunAlone checks that a second suspect waits for the first, without polling.
func TestSuspectsRunAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.crash(h.start(1), h.start(2))
		first := h.start(1)
		entered := make(chan *flight.Run)
		go func() { entered <- h.begin(2) }()
		synctest.Wait()
		select {
		case <-entered:
			t.Fatal("two suspects run at the same time")
		default:
		}
		first.End(nil)
		(<-entered).End(nil)
	})
}

// TestSuspectWhoseCallerLeftRunsAlone guards against a second suspect beside one that the upstream still works on: both
// would be blamed for its next crash.
func TestSuspectWhoseCallerLeftRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.crash(h.start(1), h.start(2))
		left := time.Now()
		h.start(1).End(gone)
		h.start(2).End(nil)
		qt.Assert(t, time.Since(left), qt.Equals, runTime)
	})
}

func newHarness(t *testing.T) *harness {
	h := &harness{T: t, detector: poison.New(poison.DefaultSettings())}
	h.flight = flight.New(flight.Settings{
		Self:            model.Upstream{Name: "reservas-1", Incarnation: 1},
		Detector:        h.detector,
		DetectorChanged: func() {},
		Now:             time.Now,
		Down:            h.down,
		RecheckDelay:    recheck,
	})
	return h
}
