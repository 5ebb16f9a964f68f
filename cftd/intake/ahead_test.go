package intake_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/intake"
)

// depth is how many requests of one connection may run at once.
const depth = 16

// gateway is a handler whose requests wait until the test lets them go on, by path.
type gateway struct {
	release map[string]chan struct{}
	// cancelled has the paths of the requests that were cancelled.
	cancelled chan string
}

func newGateway(paths ...string) *gateway {
	g := &gateway{release: map[string]chan struct{}{}, cancelled: make(chan string, 100)}
	for _, path := range paths {
		g.release[path] = make(chan struct{})
	}
	return g
}

func (g *gateway) serve(w http.ResponseWriter, r *http.Request) {
	select {
	case <-g.release[r.URL.Path]:
		echo(w, r)
	case <-r.Context().Done():
		g.cancelled <- r.URL.Path
	}
}

func receive(t *testing.T, from chan string) string {
	t.Helper()
	select {
	case text := <-from:
		return text
	case <-time.After(limit):
		t.Fatal("nothing came")
		return ""
	}
}

// TestAhead sends requests ahead. Those that may run ahead must reach the handler at once, the others only after all
// earlier ones have been answered, and answers must come in order.
func TestAhead(t *testing.T) {
	tests := []struct {
		name string
		send []string
		// steps are the paths that reach the handler while none is released, and then after each release in order.
		steps [][]string
	}{
		{name: "all at once", send: []string{"/read1", "/read2", "/read3"}, steps: [][]string{{"/read1", "/read2", "/read3"}, {}, {}, {}}},
		{name: "a write waits for the reads before it", send: []string{"/read1", "/read2", "/w"}, steps: [][]string{{"/read1", "/read2"}, {}, {"/w"}, {}}},
		{name: "reads wait for the write before them", send: []string{"/w", "/read1", "/read2"}, steps: [][]string{{"/w"}, {"/read1", "/read2"}, {}, {}}},
		{name: "writes one after another", send: []string{"/w1", "/w2"}, steps: [][]string{{"/w1"}, {"/w2"}, {}}},
		{name: "nothing behind an answer that closes", send: []string{"/close", "/w"}, steps: [][]string{{"/close"}, {}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := newGateway(test.send...)
			s := startSite(t, nil, g.serve)
			c := s.dial(t)
			for _, path := range test.send {
				c.send(t, get(path))
			}
			for i, want := range test.steps {
				if i > 0 {
					close(g.release[test.send[i-1]])
					qt.Assert(t, strings.HasPrefix(c.read("GET"), "200 "+test.send[i-1]), qt.IsTrue)
				}
				for range want {
					// Requests that run at once may reach the handler in any order.
					qt.Assert(t, want, qt.Contains, receive(t, s.seen))
				}
				qt.Assert(t, s.seen, qt.HasLen, 0)
			}
		})
	}
}

// TestUploadBehindARequest guards against an upload that ends before it was received and takes the requests before it on its
// connection with it: they run elsewhere, and their answers must come.
func TestUploadBehindARequest(t *testing.T) {
	const bodyTimeout = 20 * time.Millisecond
	tests := []struct {
		name   string
		upload http.HandlerFunc
		want   string
	}{
		{name: "answered while its body is awaited", want: "403 close", upload: func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadFull(r.Body, make([]byte, len("part")))
			go func() { _, _ = io.Copy(io.Discard, r.Body) }()
			// Gives the reading of the rest time to begin. The outcome does not depend on it otherwise.
			time.Sleep(bodyTimeout)
			w.WriteHeader(http.StatusForbidden)
		}},
		{name: "answered before its body was read", want: "403 close", upload: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusForbidden)
		}},
		{name: "its body comes too late", want: "400 close", upload: func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
			echo(w, r)
		}},
	}
	framings := []string{"Content-Length: 100000\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n1000\r\npart"}
	for _, test := range tests {
		for _, framing := range framings {
			t.Run(test.name+", "+framing[:1], func(t *testing.T) {
				t.Parallel()
				g := newGateway("/read1")
				answered := make(chan struct{})
				s := startSite(t, nil, func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/read1" {
						g.serve(w, r)
						return
					}
					test.upload(w, r)
					close(answered)
				})
				c := s.dial(t)
				c.send(t, get("/read1")+"POST /read2 HTTP/1.1\r\nHost: a\r\n"+framing)
				<-answered
				select {
				case path := <-g.cancelled:
					t.Fatalf("%s was cancelled", path)
				case <-time.After(2 * bodyTimeout):
				}
				close(g.release["/read1"])
				qt.Assert(t, c.read("GET"), qt.Equals, "200 /read1")
				qt.Assert(t, c.read("POST"), qt.Equals, test.want)
				qt.Assert(t, c.read("POST"), qt.Equals, "closed")
			})
		}
	}
}

// TestAnswersInOrder releases requests that run at once in reverse order; one answer is larger than what is held.
func TestAnswersInOrder(t *testing.T) {
	paths := []string{"/read1", "/read2", "/read3"}
	large := strings.Repeat("x", 1<<20)
	g := newGateway(paths...)
	s := startSite(t, nil, func(w http.ResponseWriter, r *http.Request) {
		g.serve(w, r)
		_, _ = io.WriteString(w, large)
	})
	c := s.dial(t)
	for _, path := range paths {
		c.send(t, get(path))
	}
	for range paths {
		receive(t, s.seen)
	}
	for _, path := range []string{"/read3", "/read2", "/read1"} {
		close(g.release[path])
	}
	for _, path := range paths {
		qt.Assert(t, c.read("GET") == "200 "+path+" "+large, qt.IsTrue)
	}
}

// TestDepth sends more requests than may run at once.
func TestDepth(t *testing.T) {
	var paths []string
	for i := range depth + 1 {
		paths = append(paths, fmt.Sprint("/read", i))
	}
	g := newGateway(paths...)
	s := startSite(t, nil, g.serve)
	c := s.dial(t)
	for _, path := range paths {
		c.send(t, get(path))
	}
	for range depth {
		receive(t, s.seen)
	}
	// The answers of others do not let one more run: they are held.
	close(g.release[paths[1]])
	qt.Assert(t, s.seen, qt.HasLen, 0)
	close(g.release[paths[0]])
	qt.Assert(t, receive(t, s.seen), qt.Equals, paths[depth])
}

// TestCallerLeaves has a caller close its connection at several points. All its requests must be cancelled.
func TestCallerLeaves(t *testing.T) {
	ahead := strings.Repeat(get("/read"), depth)
	tests := []struct {
		name string
		send string
		// running is how many requests run when the caller leaves.
		running int
		half    bool
	}{
		{name: "while one runs", send: get("/w"), running: 1},
		{name: "while several run", send: get("/read") + get("/read"), running: 2},
		{name: "while a write waits behind", send: get("/w") + get("/w"), running: 1},
		{name: "while more wait than may run", send: ahead + ahead, running: depth},
		{name: "with much unread behind", send: get("/w") + strings.Repeat(get("/w"), 2000), running: 1},
		{name: "with a part of a head behind", send: get("/w") + "GET /w HT", running: 1},
		{name: "by closing its sending side", send: get("/w"), running: 1, half: true},
		{name: "after a request to close", send: "GET /w HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", running: 1},
		{name: "in a body", send: "POST /w HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf", running: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := newGateway()
			s := startSite(t, nil, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				g.serve(w, r)
			})
			c := s.dial(t)
			c.send(t, test.send)
			for range test.running {
				receive(t, s.seen)
			}
			if test.half {
				qt.Assert(t, c.conn.CloseWrite(), qt.IsNil)
			} else {
				qt.Assert(t, c.conn.Close(), qt.IsNil)
			}
			for range test.running {
				receive(t, g.cancelled)
			}
			qt.Assert(t, s.seen, qt.HasLen, 0)
		})
	}
}

// TestShutdown checks what a stop does to a connection in each state, and what the caller is told.
func TestShutdown(t *testing.T) {
	tests := []struct {
		name string
		// before is sent before the stop, of which running requests reach the handler, and after during it.
		before, after string
		running       int
		want          []string
	}{
		{name: "never used", want: []string{"closed"}},
		{name: "idle after a request", before: get("/a"), want: []string{"200 /a", "closed"}},
		{name: "a request runs", before: get("/slow"), running: 1, want: []string{"200 /slow close", "closed"}},
		{name: "requests run", before: get("/read1") + get("/read2"), running: 2, want: []string{"200 /read1", "200 /read2 close", "closed"}},
		{name: "one waits behind", before: get("/slow") + get("/w"), running: 1, want: []string{"200 /slow close", "closed"}},
		{name: "a head is on its way", before: "GET /a HTTP/1.1\r\nHo", after: "st: a\r\n\r\n", want: []string{"503 close", "closed"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			s := startSite(t, nil, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/a" {
					<-release
				}
				echo(w, r)
			})
			c := s.dial(t)
			c.send(t, test.before)
			for range test.running {
				receive(t, s.seen)
			}
			want := test.want
			if test.before == get("/a") {
				qt.Assert(t, c.read("GET"), qt.Equals, want[0])
				want = want[1:]
			}
			// Gives the server time to receive what was sent. The outcome does not depend on it otherwise.
			time.Sleep(50 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			done := make(chan error, 1)
			go func() { done <- s.server.Shutdown(ctx) }()
			time.Sleep(50 * time.Millisecond)
			c.send(t, test.after)
			close(release)
			for _, text := range want {
				qt.Assert(t, c.read("GET"), qt.Equals, text)
			}
			_ = c.conn.Close()
			qt.Assert(t, <-done, qt.IsNil)
		})
	}
}

// TestClosing checks that a server that asks callers to close their connections serves what it has started, and nothing
// that comes behind.
func TestClosing(t *testing.T) {
	g := newGateway("/read1", "/read2")
	closing := make(chan struct{})
	s := startSite(t, func(settings *intake.Settings) {
		settings.Closing = func() bool {
			select {
			case <-closing:
				return true
			default:
				return false
			}
		}
	}, g.serve)
	c := s.dial(t)
	c.send(t, get("/read1")+get("/read2"))
	receive(t, s.seen)
	receive(t, s.seen)
	close(closing)
	c.send(t, get("/read3"))
	close(g.release["/read2"])
	close(g.release["/read1"])
	qt.Assert(t, c.read("GET"), qt.Equals, "200 /read1")
	qt.Assert(t, c.read("GET"), qt.Equals, "200 /read2 close")
	qt.Assert(t, c.read("GET"), qt.Equals, "closed")
	qt.Assert(t, s.seen, qt.HasLen, 0)
	// A new connection is served once.
	c = s.dial(t)
	c.send(t, get("/a"))
	receive(t, s.seen)
}

// TestTimeouts checks that callers that are slow to send are told so, and idle ones are closed.
func TestTimeouts(t *testing.T) {
	tests := []struct {
		name string
		send string
		want []string
	}{
		{name: "idle from the beginning", want: []string{"closed"}},
		{name: "idle after a request", send: get("/a"), want: []string{"200 /a", "closed"}},
		{name: "half a head", send: "GET /a HTT", want: []string{"408 close", "closed"}},
		{name: "half a head behind a request", send: get("/a") + "GET /a HTT", want: []string{"200 /a", "408 close", "closed"}},
		{name: "empty lines only", send: "\r\n", want: []string{"408 close", "closed"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, func(settings *intake.Settings) {
				settings.Limits = func() intake.Limits {
					return intake.Limits{HeadBytes: headLimit, Head: 300 * time.Millisecond, Idle: 300 * time.Millisecond}
				}
			}, echo)
			c := s.dial(t)
			c.send(t, test.send)
			for _, want := range test.want {
				qt.Assert(t, c.read("GET"), qt.Equals, want)
			}
		})
	}
}
