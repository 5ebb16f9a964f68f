package health_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/health"
	"comfreytack/core/command/warm"
	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const paceHeader = "X-Pace"

// paceFixture is an upstream that reports its pace and a Pace that queries it. Only a test moves its clock.
type paceFixture struct {
	pace    *health.Pace
	now     time.Time
	percent atomic.Int64
	queries atomic.Int64
	// warmupMs is how much longer the upstream says that it is cold.
	warmupMs atomic.Int64
	path     string
	warmth   *warm.Limiter
}

func newPaceFixture(t *testing.T) *paceFixture {
	t.Helper()
	p := &paceFixture{now: time.Unix(1000, 0), path: "/health", warmth: warm.New(time.Unix(990, 0), warm.Bounds{})}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		p.queries.Add(1)
		w.Header().Set(wire.HeaderWarmupMs, strconv.FormatInt(p.warmupMs.Load(), 10))
		if percent := p.percent.Load(); percent > 0 {
			w.Header().Set(paceHeader, strconv.FormatInt(percent, 10))
		}
	}))
	t.Cleanup(server.Close)
	p.pace = health.NewPace(health.PaceSettings{
		Upstream: model.Address(strings.TrimPrefix(server.URL, "http://")),
		Path:     func() string { return p.path },
		Client:   server.Client(),
		Timeout:  time.Minute,
		Percent: func(header http.Header) int {
			percent, _ := strconv.Atoi(header.Get(paceHeader))
			return percent
		},
		Now:        func() time.Time { return p.now },
		WarmupLeft: wire.ReadWarmup,
		Warmth:     p.warmth,
	})
	return p
}

func TestPaceIsQueriedWhenStale(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// observed is the pace that an earlier answer reported; zero when none did.
		observed    int
		age         time.Duration
		path        string
		reported    int64
		want        int
		wantQueries int64
	}{
		{name: "an upstream that never reported a pace is not queried", path: "/health", reported: 400},
		{name: "fresh", observed: 100, age: 10 * ms, path: "/health", reported: 400, want: 100},
		{name: "stale", observed: 100, age: 60 * ms, path: "/health", reported: 400, want: 400, wantQueries: 1},
		{name: "stale, and the upstream reports none", observed: 100, age: 60 * ms, path: "/health", want: 100, wantQueries: 1},
		{name: "stale, without a path", observed: 100, age: 60 * ms, reported: 400, want: 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPaceFixture(t)
			p.path = test.path
			p.percent.Store(test.reported)
			if test.observed > 0 {
				p.pace.Observe(test.observed)
			}
			p.now = p.now.Add(test.age)
			qt.Assert(t, p.pace.Read(context.Background()).Percent, qt.Equals, test.want)
			qt.Assert(t, p.queries.Load(), qt.Equals, test.wantQueries)
		})
	}
}

// TestConcurrentReadersShareQuery checks that concurrent readers of a stale pace cause one query.
func TestConcurrentReadersShareQuery(t *testing.T) {
	p := newPaceFixture(t)
	p.percent.Store(400)
	p.pace.Observe(100)
	p.now = p.now.Add(time.Second)
	var readers sync.WaitGroup
	for range 20 {
		readers.Go(func() {
			qt.Check(t, p.pace.Read(context.Background()).Percent, qt.Equals, 400)
		})
	}
	readers.Wait()
	qt.Assert(t, p.queries.Load(), qt.Equals, int64(1))
}

// TestWarmthIsRead checks that each query reads how much longer the upstream is cold, also while its pace is known from
// other answers.
func TestWarmthIsRead(t *testing.T) {
	tests := []struct {
		name     string
		perS     float64
		warmupMs int64
		want     warm.State
		// queried says that the upstream is queried although its pace is known.
		queried bool
	}{
		{name: "cold", perS: 2, warmupMs: 3000, want: warm.State{Left: 3 * time.Second, Wait: 500 * time.Millisecond}, queried: true},
		{name: "warm", perS: 2, queried: true},
		{name: "the service sets no limit", warmupMs: 3000},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPaceFixture(t)
			p.warmupMs.Store(test.warmupMs)
			p.warmth.Listed(p.now, model.Upstream{Name: "reservas-1"}, model.Service{WarmupPerS: test.perS})
			p.pace.Observe(100)
			p.warmth.Begin(p.now, false)
			p.pace.Read(context.Background())
			if test.queried {
				p.pace.Refresh(context.Background())
			}
			qt.Assert(t, p.warmth.State(p.now), qt.Equals, test.want)
			qt.Assert(t, p.queries.Load() > 0, qt.Equals, test.queried)
		})
	}
}
