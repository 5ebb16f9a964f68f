package stub_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/mo"

	"comfreytack/cftlab/stub"
)

func TestWorkTime(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name   string
		change stub.Change
		at     time.Time
		want   time.Duration
	}{
		{"as requested", stub.Change{}, now, 20 * time.Millisecond},
		{"slow", stub.Change{SlowFactor: mo.Some(10.0)}, now, 200 * time.Millisecond},
		{"never faster", stub.Change{SlowFactor: mo.Some(0.0)}, now, 20 * time.Millisecond},
		{"cold", stub.Change{ColdMs: mo.Some(500)}, now, 20 * stub.ColdFactor * time.Millisecond},
		{"warm", stub.Change{ColdMs: mo.Some(500)}, now.Add(time.Second), 20 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			switches := stub.Apply(stub.Switches{SlowFactor: 1}, test.change, now)
			qt.Assert(t, stub.WorkTime(20*time.Millisecond, switches, test.at), qt.Equals, test.want)
		})
	}
}

// TestFaults sends one request after a change and checks the answer, the reported load and how often the request ran.
func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		change stub.Change
		header string
		status int
		runs   int
		exits  int
		health stub.Health
	}{
		{name: "none", status: 200, runs: 1, health: stub.Health{Slots: 10}},
		{
			name: "a draining upstream still serves", change: stub.Change{Drain: mo.Some(true)},
			status: 200, runs: 1, health: stub.Health{Draining: true, Slots: 10},
		},
		{name: "shed", change: stub.Change{Shed: mo.Some(true)}, status: stub.StatusShed, health: stub.Health{Slots: 10}},
		{
			name: "fail fast", change: stub.Change{FailFast: mo.Some(true)},
			status: 500, runs: 1, health: stub.Health{Slots: 10},
		},
		{
			name: "truncated", change: stub.Change{TruncateNext: mo.Some(1)},
			runs: 1, health: stub.Health{Slots: 10},
		},
		{
			name: "false load report", change: stub.Change{ReportInFlight: mo.Some(7)},
			status: 200, runs: 1, health: stub.Health{InFlight: 7, Slots: 10},
		},
		{name: "crash", header: "1", status: 200, runs: 1, exits: 1, health: stub.Health{Slots: 10}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			exits := 0
			runLog := &bytes.Buffer{}
			fake := stub.New(t.Context(), stub.Settings{
				Name: "u-1", Slots: 10, Waiting: 1, Now: time.Now, Exit: func(int) { exits++ },
			}, runLog)
			_, err := fake.Change(t.Context(), test.change)
			qt.Assert(t, err, qt.IsNil)
			server := httptest.NewServer(fake.Handler())
			status := sendRequest(t, server, test.header)
			server.Close()
			qt.Assert(t, status, qt.Equals, test.status)
			qt.Assert(t, exits, qt.Equals, test.exits)
			qt.Assert(t, len(fake.Runs()), qt.Equals, test.runs)
			qt.Assert(t, strings.Count(runLog.String(), `"id":"q"`), qt.Equals, test.runs)
			qt.Assert(t, fake.Health(), qt.Equals, test.health)
		})
	}
}

// sendRequest sends one request and returns the status of a complete answer, or 0 when it was truncated.
func sendRequest(t *testing.T, server *httptest.Server, crash string) int {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/x", strings.NewReader("b"))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Comfreytack-Request-Id", "q")
	request.Header.Set(stub.HeaderCrash, crash)
	request.Header.Set(stub.HeaderWorkUs, "1")
	response, err := server.Client().Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	body := &bytes.Buffer{}
	if _, err := body.ReadFrom(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestSlots checks that no more requests run at once than there are slots, and that one more waits and is served. It
// counts runs only, so that it does not depend on the speed of the machine.
func TestSlots(t *testing.T) {
	fake := stub.New(t.Context(), stub.Settings{Name: "u-1", Slots: 2, Waiting: 1, Now: time.Now}, &bytes.Buffer{})
	handler := fake.Handler()
	codes := make(chan int, 3)
	for range 3 {
		go func() {
			request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x?ms=300", nil)
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			codes <- recorder.Code
		}()
	}
	for len(fake.Runs()) < 2 {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, fake.Health().InFlight <= 2, qt.IsTrue)
	for range 3 {
		qt.Assert(t, <-codes, qt.Equals, 200)
	}
	qt.Assert(t, fake.Health().InFlight, qt.Equals, 0)
}

// TestShedsAboveBound checks that a request is shed while all slots are in use and as many requests wait as may.
func TestShedsAboveBound(t *testing.T) {
	fake := stub.New(t.Context(), stub.Settings{Name: "u-1", Slots: 2, Waiting: 1, Now: time.Now}, &bytes.Buffer{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	codes := make(chan int, 4)
	for range 4 {
		go func() {
			request := httptest.NewRequestWithContext(ctx, http.MethodGet, "/x?ms=3600000", nil)
			recorder := httptest.NewRecorder()
			fake.Handler().ServeHTTP(recorder, request)
			codes <- recorder.Code
		}()
	}
	qt.Assert(t, <-codes, qt.Equals, stub.StatusShed)
	qt.Assert(t, fake.Health().InFlight <= 2, qt.IsTrue)
	select {
	case code := <-codes:
		t.Fatalf("a second request ended with status %d", code)
	default:
	}
}

// TestAnswer checks that an answer is a line of JSON and a payload of the requested size.
func TestAnswer(t *testing.T) {
	fake := stub.New(t.Context(), stub.Settings{Name: "u-1", Slots: 1, Now: time.Now}, &bytes.Buffer{})
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/x?ms=1&size=50", nil)
	request.Header.Set("Comfreytack-Request-Id", "q")
	recorder := httptest.NewRecorder()
	fake.Handler().ServeHTTP(recorder, request)
	reader := bufio.NewReader(recorder.Body)
	head, err := reader.ReadBytes('\n')
	qt.Assert(t, err, qt.IsNil)
	var answer stub.Answer
	qt.Assert(t, json.Unmarshal(head, &answer), qt.IsNil)
	qt.Assert(t, answer.ID, qt.Equals, "q")
	qt.Assert(t, reader.Buffered(), qt.Equals, 50)
}
