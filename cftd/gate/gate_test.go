package gate_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/gate"
	"comfreytack/cftd/health"
	"comfreytack/cftd/meter"
	"comfreytack/cftd/relay"
	"comfreytack/cftd/talk"
	"comfreytack/core/command/adapt"
	"comfreytack/core/command/admit"
	"comfreytack/core/command/class"
	"comfreytack/core/command/poison"
	"comfreytack/core/command/warm"
	"comfreytack/core/model"
	"comfreytack/core/traffic/flight"
	"comfreytack/core/traffic/hold"
	"comfreytack/core/traffic/idle"
	"comfreytack/core/traffic/learn"
	"comfreytack/core/wire"
)

const (
	self        = model.UpstreamName("reservas-1")
	domain      = model.FailureDomain("quito-sur")
	paceHeader  = "X-Pace"
	healthPath  = "/health"
	callTimeout = time.Minute
	// fewPolls is how many queries of the pace show that a call is being held back.
	fewPolls = 3
	poll     = time.Millisecond
	// workTime is how long a call takes at the usual pace, and slowPercent a pace at which that is longer than a test.
	workTime    = 10 * time.Millisecond
	slowPercent = 1_000_000
	// fingerprint is that of all calls.
	fingerprint = model.Fingerprint(7)
)

// dialect has upstreams that say by a status that they are another instance.
type dialect struct{ talk.Native }

// CheckAnswer implements talk.Dialect.
func (dialect) CheckAnswer(_ model.Call, _ model.Service, answer *http.Response) *model.Failure {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		return talk.Refuse(model.InstanceRefused)
	}
	return nil
}

// fixture is a gate of two slots beside an upstream that reports its pace.
type fixture struct {
	gate     *gate.Gate[*hold.Gate[*admit.Ranked, adapt.Fixed], dialect]
	snapshot atomic.Pointer[model.Snapshot]
	percent  atomic.Int64
	// warmupMs is how much longer the upstream says that it is cold.
	warmupMs atomic.Int64
	// replaced is true while the upstream is another instance than the listed one.
	replaced atomic.Bool
	// polls counts the queries of the pace, and received the other requests that the upstream got.
	polls, received atomic.Int64
	// listed is the instance that calls are meant for.
	listed model.InstanceID
	// answer lets one request be answered that the upstream holds; requests for "/" are answered at once.
	answer chan struct{}
	warmth *warm.Limiter
	// detector has the requests that are suspected of a crash.
	detector *poison.Detector
}

func newFixture(t *testing.T, connections int) *fixture {
	t.Helper()
	return newFixtureStartedAt(t, connections, time.Now())
}

// newFixtureStartedAt returns a fixture whose gate does not know what was sent to the upstream until the given time.
func newFixtureStartedAt(t *testing.T, connections int, startedAt time.Time) *fixture {
	t.Helper()
	f := &fixture{listed: "i-1", answer: make(chan struct{}), warmth: warm.New(startedAt, warm.Bounds{}), detector: poison.New(poison.DefaultSettings())}
	f.percent.Store(100)
	f.snapshot.Store(&model.Snapshot{
		Self:        model.Upstream{Name: self, Service: "reservas", Instance: "i-1", FailureDomain: domain},
		Revision:    1,
		Slots:       2,
		Services:    map[model.ServiceName]model.Service{"reservas": {Name: "reservas", Slots: 2}},
		Limits:      map[model.Customer]model.Limits{"police": {Weight: 1, Queue: 4, LongSlots: 1}},
		Leaving:     mapset.NewThreadUnsafeSet[model.UpstreamName](),
		Ready:       true,
		PublishedAt: time.Now().Add(callTimeout),
	})
	server := httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(server.Close)
	address := model.Address(strings.TrimPrefix(server.URL, "http://"))
	pace := health.NewPace(health.PaceSettings{
		Upstream: address,
		Path:     func() string { return healthPath },
		Client:   server.Client(),
		Timeout:  time.Minute,
		Percent: func(header http.Header) int {
			percent, _ := strconv.Atoi(header.Get(paceHeader))
			return percent
		},
		Now:        time.Now,
		WarmupLeft: talk.Native{}.WarmupLeft,
		Warmth:     f.warmth,
	})
	pace.Observe(100)
	transport := relay.NewTransport(connections, time.Minute)
	t.Cleanup(transport.CloseIdleConnections)
	view := f.snapshot.Load
	f.gate = gate.New(gate.Settings[dialect]{
		Upstream:  address,
		Transport: transport,
		Snapshot:  view,
		Now:       time.Now,
		Log:       slog.New(slog.DiscardHandler),
		Meter:     meter.New(),
		Pace:      pace,
		Warmth:    f.warmth,
		Work:      &idle.Counter{},
		Flight: flight.New(flight.Settings{
			Detector:        f.detector,
			DetectorChanged: func() {},
			Now:             time.Now,
			Down:            func() bool { return false },
		}),
	}, hold.New(hold.Settings{
		Snapshot:    view,
		Now:         time.Now,
		Suspended:   func() time.Duration { return 0 },
		UsableShare: 1,
		Warmth:      f.warmth,
		Classifier:  learn.New(view, class.New(16)),
	}, admit.New(2, admit.NewRanked(time.Now)), adapt.New(2, 2, adapt.Fixed{})))
	return f
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		f.polls.Add(1)
		w.Header().Set(paceHeader, strconv.FormatInt(f.percent.Load(), 10))
		w.Header().Set(wire.HeaderWarmupMs, strconv.FormatInt(f.warmupMs.Load(), 10))
		return
	}
	f.received.Add(1)
	if f.replaced.Load() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(workTime)
	if r.URL.Path == "/part" {
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return
	}
	if r.URL.Path != "/" {
		<-f.answer
	}
}

// begin sends a call through the gate and returns its answer.
func (f *fixture) begin(ctx context.Context, path string) (*http.Response, *model.Failure) {
	now := time.Now()
	call := model.Call{
		ID: "1", Customer: "police", Service: "reservas", Route: "book", Forced: true, Instance: f.listed,
		Target: now.Add(callTimeout), Deadline: now.Add(callTimeout), Fingerprint: fingerprint,
	}
	return f.gate.Run(ctx, call, relay.Request{
		Method: http.MethodPost, Target: relay.Target{Path: path}, Header: http.Header{}, Body: &relay.Body{},
	})
}

// run sends a call through the gate and returns why it failed, or NoReason when it was answered.
func (f *fixture) run(ctx context.Context, path string) model.Reason {
	answer, failure := f.begin(ctx, path)
	if failure != nil {
		return failure.Reason
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return model.NoReason
}

// start is run in a goroutine of its own.
func (f *fixture) start(ctx context.Context, path string) <-chan model.Reason {
	outcome := make(chan model.Reason, 1)
	go func() { outcome <- f.run(ctx, path) }()
	return outcome
}

// publish changes the control state.
func (f *fixture) publish(change func(*model.Snapshot)) {
	next := *f.snapshot.Load()
	next.Leaving = next.Leaving.Clone()
	change(&next)
	f.snapshot.Store(&next)
	f.warmth.Listed(time.Now(), next.Self, next.Services[next.Self.Service])
}

// changes of the control state after which nothing may be sent.
var changes = []struct {
	name   string
	change func(*model.Snapshot)
	want   model.Reason
}{
	{name: "the upstream leaves", change: func(s *model.Snapshot) { s.Leaving.Add(self) }, want: model.UpstreamLeaving},
	{name: "the upstream is replaced", change: func(s *model.Snapshot) { s.Self.Instance = "i-2" }, want: model.UpstreamReplaced},
	{name: "the failure domain is evacuated", change: func(s *model.Snapshot) { s.Evacuated = mapset.NewThreadUnsafeSet(domain) }, want: model.DomainEvacuated},
	{name: "the daemon was paused", change: func(s *model.Snapshot) { s.Suspect = true }, want: model.DaemonPaused},
	{name: "the daemon stops", change: func(s *model.Snapshot) { s.Stopping = true }, want: model.Stopping},
}

// TestNothingIsSentAfterAChange checks that a call that the gate has admitted, and that then waits before it is sent,
// isn't sent when it may no longer be.
func TestNothingIsSentAfterAChange(t *testing.T) {
	waits := []struct {
		name string
		// wait starts a call, waits until it is delayed, and returns a function that ends what delays it.
		wait func(t *testing.T, f *fixture) (<-chan model.Reason, func())
	}{
		{name: "held for a slowdown", wait: holdForSlowdown},
		{name: "waiting for a connection", wait: waitForConnection},
	}
	for _, wait := range waits {
		for _, test := range changes {
			t.Run(wait.name+", "+test.name, func(t *testing.T) {
				f := newFixture(t, 1)
				outcome, release := wait.wait(t, f)
				before := f.received.Load()
				f.publish(test.change)
				release()
				qt.Assert(t, <-outcome, qt.Equals, test.want)
				qt.Assert(t, f.received.Load(), qt.Equals, before)
			})
		}
	}
}

func holdForSlowdown(t *testing.T, f *fixture) (<-chan model.Reason, func()) {
	// The gate learns how long the work takes.
	qt.Assert(t, f.run(t.Context(), "/"), qt.Equals, model.NoReason)
	f.percent.Store(slowPercent)
	time.Sleep(health.PaceMaxAge)
	outcome := f.start(t.Context(), "/")
	waitUntil(func() bool { return f.gate.Report().InFlight == 1 })
	polled := f.polls.Load()
	waitUntil(func() bool { return f.polls.Load() >= polled+fewPolls })
	return outcome, func() { f.percent.Store(100) }
}

func waitForConnection(t *testing.T, f *fixture) (<-chan model.Reason, func()) {
	first := f.start(t.Context(), "/held")
	waitUntil(func() bool { return f.received.Load() == 1 })
	outcome := f.start(t.Context(), "/")
	waitUntil(func() bool { return f.gate.Report().InFlight == 2 })
	return outcome, func() {
		f.answer <- struct{}{}
		qt.Check(t, <-first, qt.Equals, model.NoReason)
	}
}

// TestReplacedUpstreamIsAskedOnce checks that a gate whose upstream has answered that it is another instance sends it no
// further calls for the listed one, until the list changes.
func TestReplacedUpstreamIsAskedOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.replaced.Store(true)
	qt.Assert(t, f.run(t.Context(), "/"), qt.Equals, model.InstanceRefused)
	for range 3 {
		qt.Assert(t, f.run(t.Context(), "/"), qt.Equals, model.InstanceStale)
	}
	qt.Assert(t, f.received.Load(), qt.Equals, int64(1))
	f.replaced.Store(false)
	f.listed = "i-2"
	f.publish(func(s *model.Snapshot) { s.Self.Instance = "i-2" })
	qt.Assert(t, f.run(t.Context(), "/"), qt.Equals, model.NoReason)
}

// TestOnlyAWholeAnswerClearsASuspect guards against a request that crashes upstreams and is cleared of its crashes by a
// caller that leaves during the answer.
func TestOnlyAWholeAnswerClearsASuspect(t *testing.T) {
	tests := []struct {
		name string
		path string
		// read reads the answer as far as the caller wants it.
		read          func(body io.Reader, leave func())
		wantSuspected bool
	}{
		{name: "whole", path: "/", read: func(body io.Reader, _ func()) { _, _ = io.ReadAll(body) }},
		{name: "the caller leaves before the body", path: "/part", read: func(_ io.Reader, leave func()) { leave() }, wantSuspected: true},
		{name: "the caller leaves during the body", path: "/part", wantSuspected: true, read: func(body io.Reader, leave func()) {
			_, _ = body.Read(make([]byte, 1))
			leave()
			_, _ = io.ReadAll(body)
		}},
		{name: "nobody reads the body", path: "/part", read: func(io.Reader, func()) {}, wantSuspected: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.detector.Crashed(time.Now(), "reservas-2", 1, []poison.Run{{Fingerprint: fingerprint, StartedAt: time.Now()}})
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			answer, failure := f.begin(ctx, test.path)
			qt.Assert(t, failure == nil, qt.IsTrue)
			test.read(answer.Body, leave)
			qt.Assert(t, answer.Body.Close(), qt.IsNil)
			qt.Assert(t, f.detector.Suspected(time.Now(), fingerprint), qt.Equals, test.wantSuspected)
		})
	}
}

// waitUntil waits for a condition that holds sooner or later.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(poll)
	}
}
