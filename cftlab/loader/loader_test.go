package loader_test

import (
	"bytes"
	"flag"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/cftlab/loader"
	"comfreytack/cftlab/stub"
	"comfreytack/core/model"
)

func TestMain(m *testing.M) {
	for _, setting := range [][2]string{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(setting[0], setting[1]); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestSchedule draws streams with one change of rate and checks that arrivals are in order and within the span, and
// that their number is within six standard deviations of the mean of the Poisson process.
func TestSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		firstRate := rapid.Float64Range(0, 500).Draw(t, "first")
		secondRate := rapid.Float64Range(0, 500).Draw(t, "second")
		stepMs := rapid.IntRange(0, 2000).Draw(t, "step")
		stream := loader.Stream{Rate: firstRate, Steps: []loader.Step{{AtMs: stepMs, Rate: secondRate}}}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		schedule := loader.NewSchedule(stream, 2*time.Second, random)
		previous := time.Duration(0)
		for _, at := range schedule {
			if at < previous || at >= 2*time.Second {
				t.Fatalf("arrival at %v follows one at %v", at, previous)
			}
			previous = at
		}
		mean := firstRate*float64(stepMs)/1000 + secondRate*float64(2000-stepMs)/1000
		deviation := float64(len(schedule)) - mean
		if deviation*deviation > 36*(mean+1) {
			t.Fatalf("%d arrivals, want about %.0f", len(schedule), mean)
		}
	})
}

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown field", `{"streams":[{"pace":1}]}`, `.*unknown field "pace"`},
		{"no customer", `{"streams":[{"service":"s","deadline_ms":1}]}`, "stream 0 of the plan: customer: .*"},
		{"no service", `{"streams":[{"customer":"c","deadline_ms":1}]}`, ".*service: must not be empty"},
		{"no deadline", `{"streams":[{"customer":"c","service":"s"}]}`, ".*deadline_ms: found 0, must be positive"},
		{"bad path", `{"streams":[{"customer":"c","service":"s","path":"x","deadline_ms":1}]}`, `.*found "x".*`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := loader.Parse(strings.NewReader(test.text))
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

// TestNoConnection checks that sends to a port without a listener count as not run.
func TestNoConnection(t *testing.T) {
	server := httptest.NewServer(nil)
	target := server.Listener.Addr().String()
	server.Close()
	plan := loader.Plan{Streams: []loader.Stream{{Customer: "c", Method: "GET", Path: "/", Rate: 100, DeadlineMs: 100}}}
	settings := loader.Settings{Targets: []string{target}, Span: 100 * time.Millisecond, Seed: 1, Prefix: "test"}
	records, err := loader.Run(t.Context(), settings, plan)
	qt.Assert(t, err, qt.IsNil)
	for _, record := range records {
		qt.Assert(t, record.Verdict, qt.Equals, model.NotRun)
		qt.Assert(t, record.Reason, qt.Equals, loader.NoConnection)
	}
}

// TestRun sends a few requests to a fake upstream through a handler that can change the request or the answer.
func TestRun(t *testing.T) {
	tests := []struct {
		name    string
		handler func(inner http.Handler) http.Handler
		want    loader.Record
	}{
		{
			name:    "whole answer",
			handler: func(inner http.Handler) http.Handler { return inner },
			want:    loader.Record{Verdict: model.Ran, Reason: "none", Status: 200},
		},
		{
			name: "answer of another request",
			handler: func(inner http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					r.Header.Set("Comfreytack-Request-Id", "other")
					inner.ServeHTTP(w, r)
				})
			},
			want: loader.Record{Verdict: model.Ran, Reason: "none", Status: 200, Wrong: true},
		},
		{
			name: "truncated answer",
			handler: func(http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Length", "100")
					_, _ = w.Write([]byte("half"))
				})
			},
			want: loader.Record{Verdict: model.MayHaveRun, Reason: loader.NoVerdict, Error: "unexpected EOF"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fake := stub.New(t.Context(), stub.Settings{Name: "u-1", Slots: 4, Now: time.Now}, &bytes.Buffer{})
			server := httptest.NewServer(test.handler(fake.Handler()))
			defer server.Close()
			plan := loader.Plan{Streams: []loader.Stream{{
				Customer: "c", Method: "POST", Path: "/x", Rate: 100, DeadlineMs: 5000, Body: "hold {id}", Direct: true,
			}}}
			records, err := loader.Run(t.Context(), loader.Settings{
				Targets: []string{server.Listener.Addr().String()},
				Span:    200 * time.Millisecond,
				Seed:    1,
				Prefix:  "test",
			}, plan)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, len(records) > 5, qt.IsTrue)
			for _, got := range records {
				got = loader.Record{
					Verdict: got.Verdict, Reason: got.Reason, Status: got.Status, Wrong: got.Wrong, Error: got.Error,
				}
				qt.Assert(t, got, qt.Equals, test.want)
			}
		})
	}
}
