package start

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/setup"
	"comfreytack/core/wire"
)

const (
	// stopTestMs leaves the stop time for its whole period without new callers.
	stopTestMs = 6000
	stopWork   = 150 * time.Millisecond
	// sendInterval leaves slots free, also for calls of the upstream.
	sendInterval = 75 * time.Millisecond
)

// callingUpstream works for a while; below /calls it then calls its own service through the daemon beside it.
func callingUpstream(daemon func() model.Address) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			_, _ = io.WriteString(w, `{"draining":false}`)
			return
		}
		time.Sleep(stopWork)
		if strings.HasPrefix(r.URL.Path, "/calls") {
			if status := statusOf(r.Context(), daemon(), "/svc/reservas/nested"); status != http.StatusOK {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}
	}
}

// statusOf returns the status of a call on a new connection, or 0 if there was no answer.
func statusOf(ctx context.Context, daemon model.Address, path string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(daemon)+path, strings.NewReader("body"))
	if err != nil {
		return 0
	}
	request.Header.Set(wire.HeaderCustomer, "police")
	request.Close = true
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	if _, err := io.ReadAll(answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

// TestStopUnderLoad checks a planned stop while callers keep sending: the daemon is not ready at once, and all that it
// accepts until callers must have noticed is answered as usual, by the upstream beside it and by no other.
func TestStopUnderLoad(t *testing.T) {
	tests := []struct {
		name string
		path string
		// until is how long after the stop was requested callers send.
		until time.Duration
	}{
		{name: "in the same instant", path: "/svc/reservas/beds", until: 50 * time.Millisecond},
		{name: "until callers have noticed", path: "/svc/reservas/beds", until: 2 * time.Second},
		{name: "upstream calls back while it works", path: "/svc/reservas/calls", until: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			settings, stop := startStoppable(t)
			stop()
			stopped := time.Now()
			var sending sync.WaitGroup
			var mu sync.Mutex
			statuses := map[string]int{}
			for time.Since(stopped) < test.until {
				sending.Go(func() {
					status := statusOf(context.Background(), settings.Callers, test.path)
					mu.Lock()
					defer mu.Unlock()
					statuses[fmt.Sprint(status)]++
				})
				time.Sleep(sendInterval)
			}
			ready, err := http.Get("http://" + string(settings.Operators) + "/ready")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, ready.Body.Close(), qt.IsNil)
			qt.Check(t, ready.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			sending.Wait()
			qt.Assert(t, statuses, qt.HasLen, 1, qt.Commentf("%v", statuses))
			qt.Assert(t, statuses["200"] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
		})
	}
}

const (
	// holdWork is close to the deadline of the contract, so that a call which comes late in a stop outlasts it.
	holdWork = 1500 * time.Millisecond
	// bulkWork keeps a stopping daemon's upstream at work until just before the end of its stop.
	bulkWork  = 4200 * time.Millisecond
	bulkCalls = 4
)

// TestStopCutsNoLateCall guards against calls that a stopping daemon takes late, passes on and cuts off when it ends: while
// its own upstream is at work its ports are open, and whoever still comes must get a whole answer or a true refusal.
func TestStopCutsNoLateCall(t *testing.T) {
	t.Parallel()
	var ran sync.Map
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			_, _ = io.WriteString(w, `{"draining":false}`)
			return
		}
		ran.Store(r.Header.Get(wire.HeaderRequestID), true)
		if strings.HasPrefix(r.URL.Path, bulkPath) {
			time.Sleep(bulkWork)
			return
		}
		time.Sleep(holdWork)
	}))
	t.Cleanup(upstream.Close)
	settings, stop := startStoppableOf(t, 2, model.Address(strings.TrimPrefix(upstream.URL, "http://")))
	stopped := time.Now()
	var sending sync.WaitGroup
	defer sending.Wait()
	send := func(path, id string) {
		sentAt := time.Since(stopped)
		status, verdict := outcomeOf(settings.Callers, path, id)
		_, began := ran.Load(id)
		cut := status == 0 && began
		qt.Check(t, cut, qt.IsFalse, qt.Commentf("call %s of %v after the stop ran, and was cut off", id, sentAt))
		if verdict == model.NotRun.String() {
			qt.Check(t, began, qt.IsFalse, qt.Commentf("call %s of %v after the stop ran, and was refused", id, sentAt))
		}
	}
	for i := range bulkCalls {
		sending.Go(func() { send(bulkPath, fmt.Sprint("bulk-", i)) })
	}
	time.Sleep(sendInterval)
	stop()
	for i := 0; time.Since(stopped) < stopTestMs*time.Millisecond; i++ {
		sending.Go(func() { send("/hold", fmt.Sprint("hold-", i)) })
		time.Sleep(sendInterval)
	}
}

// outcomeOf sends a call on a new connection, and returns the status of its answer, or 0 if there was none, and the verdict.
func outcomeOf(daemon model.Address, path, id string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+string(daemon)+"/svc/reservas"+path, strings.NewReader("body"))
	if err != nil {
		return 0, ""
	}
	request.Header.Set(wire.HeaderCustomer, "police")
	request.Header.Set(wire.HeaderRequestID, id)
	request.Close = true
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	if _, err := io.ReadAll(answer.Body); err != nil {
		return 0, ""
	}
	return answer.StatusCode, answer.Header.Get(wire.HeaderVerdict)
}

// startStoppable starts a daemon beside a callingUpstream, and returns a function that requests its stop. The test waits
// for the end of the stop, which must succeed within the time for it.
func startStoppable(t *testing.T) (setup.Settings, func()) {
	t.Helper()
	var settings setup.Settings
	upstream := httptest.NewServer(callingUpstream(func() model.Address { return settings.Callers }))
	t.Cleanup(upstream.Close)
	settings, stop := startStoppableOf(t, 1, model.Address(strings.TrimPrefix(upstream.URL, "http://")))
	return settings, stop
}

// startStoppableOf starts daemons beside the upstream, and returns the first with a function that requests its stop.
func startStoppableOf(t *testing.T, size int, upstream model.Address) (setup.Settings, func()) {
	t.Helper()
	var stops []func()
	f := startFleetBy(t, size, upstream, func(t testing.TB, settings setup.Settings) {
		settings.StopMs = stopTestMs
		ctx, cancel := context.WithCancel(context.Background())
		stops = append(stops, cancel)
		done := make(chan error, 1)
		go func() { done <- Serve(ctx, Native, settings, testOptions, slog.New(slog.DiscardHandler)) }()
		t.Cleanup(func() {
			cancel()
			qt.Check(t, <-done, qt.IsNil)
		})
		waitReady(t, settings)
	})
	return f.daemons[0], stops[0]
}
