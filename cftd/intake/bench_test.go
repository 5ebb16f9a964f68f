package intake_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// idleConns is the number of connections by which the memory of one is measured.
const idleConns = 90

func small(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "2")
	_, _ = io.WriteString(w, "ok")
}

// startLibrary serves the handler by the library's server.
func startLibrary(b *testing.B) *site {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(small)}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return &site{address: listener.Addr().String()}
}

func startLoop(b *testing.B) *site {
	s := startSite(b, nil, small)
	go func() {
		for range s.seen {
		}
	}()
	return s
}

var servers = []struct {
	name  string
	start func(*testing.B) *site
}{
	{"loop", startLoop},
	{"library", startLibrary},
}

func (c *caller) exchange(b *testing.B, request, answer []byte) {
	if _, err := c.conn.Write(request); err != nil {
		b.Fatal(err)
	}
	if _, err := c.conn.Read(answer); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkRequest measures a small request on a kept connection.
func BenchmarkRequest(b *testing.B) {
	for _, server := range servers {
		b.Run(server.name, func(b *testing.B) {
			c := server.start(b).dial(b)
			qt.Assert(b, c.conn.SetDeadline(time.Time{}), qt.IsNil)
			request, answer := []byte(get("/a")), make([]byte, 4096)
			b.ReportAllocs()
			for b.Loop() {
				c.exchange(b, request, answer)
			}
		})
	}
}

// BenchmarkIdleConnection measures the memory of an idle connection that has carried a request, with that of its caller.
func BenchmarkIdleConnection(b *testing.B) {
	for _, server := range servers {
		b.Run(server.name, func(b *testing.B) {
			s := server.start(b)
			var before, after runtime.MemStats
			request, answer := []byte(get("/a")), make([]byte, 4096)
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				var callers []*caller
				for range idleConns {
					c := s.dial(b)
					c.exchange(b, request, answer)
					callers = append(callers, c)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				for _, c := range callers {
					_ = c.conn.Close()
				}
			}
			b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/idleConns, "B/conn")
		})
	}
}
