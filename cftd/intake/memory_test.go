package intake_test

import (
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/intake"
)

// smallBudget changes the settings so that connections may hold little together.
func smallBudget(s *site, bytes int64, conns int) func(*intake.Settings) {
	return func(settings *intake.Settings) {
		settings.Limits = func() intake.Limits { return intake.Limits{HeadBytes: 64 << 10, Head: limit, Idle: limit} }
		settings.Budget = intake.NewBudget(intake.BudgetSettings{
			Bytes: bytes, Conns: conns, Now: time.Now, Log: slog.New(slog.DiscardHandler),
			Count: func(_, reason string) { s.refused <- reason },
		})
	}
}

// TestShortOfMemory has callers that hold much beside an ordinary one.
func TestShortOfMemory(t *testing.T) {
	const crowd = 20
	unfinished := "GET /read HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 8000)
	tests := []struct {
		name string
		send string
		// want is what each of the crowd reads; empty when that depends on the order.
		want       string
		wantReason string
	}{
		{name: "unfinished heads", send: unfinished, wantReason: "evicted"},
		{name: "requests of many lines", send: unfinished + "\r\n", want: "503 close", wantReason: "memory_short"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			reasons := &site{refused: make(chan string, 1000)}
			s := startSite(t, smallBudget(reasons, 600<<10, 100), echo)
			for range crowd {
				c := s.dial(t)
				// The server may close the connection before it has received everything.
				_, _ = io.WriteString(c.conn, test.send)
				if test.want != "" {
					qt.Assert(t, c.read("GET"), qt.Equals, test.want)
				}
			}
			qt.Assert(t, receive(t, reasons.refused), qt.Equals, test.wantReason)
			ordinary := s.dial(t)
			ordinary.send(t, get("/a"))
			qt.Assert(t, ordinary.read("GET"), qt.Equals, "200 /a")
		})
	}
}

// TestShortOfDescriptors checks that a new caller gets in when all connections are idle, and that it is the one that was
// idle for longest that goes.
func TestShortOfDescriptors(t *testing.T) {
	const conns = 3
	reasons := &site{refused: make(chan string, 1000)}
	s := startSite(t, smallBudget(reasons, budgetBytes, conns), echo)
	var callers []*caller
	for range conns + 1 {
		c := s.dial(t)
		c.send(t, get("/a"))
		qt.Assert(t, c.read("GET"), qt.Equals, "200 /a")
		callers = append(callers, c)
	}
	qt.Assert(t, callers[0].read("GET"), qt.Equals, "closed")
	qt.Assert(t, receive(t, reasons.refused), qt.Equals, "evicted")
	callers[conns].send(t, get("/b"))
	qt.Assert(t, callers[conns].read("GET"), qt.Equals, "200 /b")
}

// TestAnswersThatCannotBeHeld has answers whose turn has not come and for which there is no memory: they wait, and come
// whole.
func TestAnswersThatCannotBeHeld(t *testing.T) {
	const large = 100 << 10
	release := make(chan struct{})
	reasons := &site{refused: make(chan string, 1000)}
	s := startSite(t, smallBudget(reasons, 400<<10, 100), func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read1" {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path+strings.Repeat("x", large))
	})
	c := s.dial(t)
	paths := []string{"/read1", "/read2", "/read3", "/read4"}
	for _, path := range paths {
		c.send(t, get(path))
	}
	for range paths {
		receive(t, s.seen)
	}
	close(release)
	for _, path := range paths {
		qt.Assert(t, c.read("GET") == "200 "+path+strings.Repeat("x", large), qt.IsTrue)
	}
	qt.Assert(t, reasons.refused, qt.HasLen, 0)
}
