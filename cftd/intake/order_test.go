package intake_test

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"comfreytack/cftd/intake"
)

// planned is a request of a random session.
type planned struct {
	path   string
	text   string
	sum    uint32
	closes bool
	breaks bool
	ahead  bool
}

func drawRequest(t *rapid.T, i int) planned {
	p := planned{ahead: rapid.Bool().Draw(t, "ahead")}
	kind := rapid.SampledFrom([]string{"echo", "echo", "echo", "stream", "close", "panic"}).Draw(t, "kind")
	p.closes, p.breaks = kind == "close", kind == "panic"
	folder := "write"
	if p.ahead {
		folder = "read"
	}
	p.path = fmt.Sprintf("/%s/%s/%d", folder, kind, i)
	body := bytes.Repeat([]byte{byte('a' + i)}, rapid.SampledFrom([]int{0, 1, 100, 5000, 40_000}).Draw(t, "size"))
	p.sum = crc32.ChecksumIEEE(body)
	head := "POST " + p.path + " HTTP/1.1\r\nHost: a\r\n"
	if rapid.Bool().Draw(t, "chunked") {
		p.text = head + "Transfer-Encoding: chunked\r\n\r\n"
		if len(body) > 0 {
			p.text += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		p.text += "0\r\n\r\n"
		return p
	}
	p.text = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	return p
}

// recorder is a handler that answers with the path and the checksum of the body, and notes what ran when.
type recorder struct {
	mu      sync.Mutex
	running map[string]bool
	faults  []string
	ran     []string
}

func (rec *recorder) serve(w http.ResponseWriter, r *http.Request) {
	rec.enter(r.URL.Path)
	defer rec.leave(r.URL.Path)
	sum := crc32.NewIEEE()
	_, _ = io.Copy(sum, r.Body)
	kind := strings.Split(r.URL.Path, "/")[2]
	switch kind {
	case "panic":
		panic(http.ErrAbortHandler)
	case "close":
		w.Header().Set("Connection", "close")
	case "stream":
		_, _ = io.WriteString(w, "stream ")
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = fmt.Fprintf(w, "%s %d", r.URL.Path, sum.Sum32())
}

func (rec *recorder) enter(path string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for other := range rec.running {
		if strings.HasPrefix(path, "/write") || strings.HasPrefix(other, "/write") {
			rec.faults = append(rec.faults, path+" runs beside "+other)
		}
	}
	rec.running[path] = true
	rec.ran = append(rec.ran, path)
}

func (rec *recorder) leave(path string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	delete(rec.running, path)
}

// TestRandomSessions sends random requests ahead, in random pieces. Answers must be whole and in order up to the first one
// that closes the connection; a request that may not run ahead must run alone, and never behind a closing answer.
func TestRandomSessions(t *testing.T) {
	rec := &recorder{}
	s := startSite(t, func(settings *intake.Settings) { settings.Limits = largeHeads }, rec.serve)
	rapid.Check(t, func(rt *rapid.T) {
		rec.mu.Lock()
		rec.running, rec.ran, rec.faults = map[string]bool{}, nil, nil
		rec.mu.Unlock()
		var session []planned
		text := ""
		for i := range rapid.IntRange(1, 10).Draw(rt, "requests") {
			p := drawRequest(rt, i)
			session = append(session, p)
			text += p.text
		}
		piece := rapid.SampledFrom([]int{7, 1000, 1 << 20}).Draw(rt, "piece")
		c := s.dial(t)
		go func() {
			for len(text) > 0 {
				n := min(piece, len(text))
				if _, err := io.WriteString(c.conn, text[:n]); err != nil {
					return
				}
				text = text[n:]
			}
		}()
		last := len(session)
		for i, p := range session {
			want := fmt.Sprintf("200 %s %d", p.path, p.sum)
			if strings.Contains(p.path, "stream") {
				want = fmt.Sprintf("200 stream %s %d", p.path, p.sum)
			}
			if p.breaks {
				want = "closed"
			}
			if p.closes {
				want += " close"
			}
			if got := c.read("POST"); got != want {
				rt.Fatalf("answer %d is %q, want %q", i, got, want)
			}
			if p.closes || p.breaks {
				last = i
				break
			}
		}
		_ = c.conn.Close()
		s.server.Wait(t.Context())
		rec.check(rt, session, last)
	})
}

func largeHeads() intake.Limits {
	return intake.Limits{HeadBytes: headLimit, Head: limit, Idle: limit}
}

func (rec *recorder) check(t *rapid.T, session []planned, last int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.faults) > 0 {
		t.Fatalf("%v", rec.faults)
	}
	for _, path := range rec.ran {
		for i, p := range session {
			if p.path == path && i > last && !p.ahead {
				t.Fatalf("%s ran behind the answer that closed the connection", path)
			}
		}
	}
}

// reference reads requests one after another as the HTTP library does, and returns each with its body.
func reference(data []byte) []string {
	var requests []string
	reader := bufio.NewReader(bytes.NewReader(data))
	for {
		for next, err := reader.Peek(1); err == nil && (next[0] == '\r' || next[0] == '\n'); next, err = reader.Peek(1) {
			_, _ = reader.Discard(1)
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return requests
		}
		body, err := io.ReadAll(request.Body)
		text := request.Method + " " + request.RequestURI + " " + string(body)
		requests = append(requests, text)
		if err != nil {
			return requests
		}
	}
}

// FuzzWayIn sends any bytes on a connection. What reaches the handler must be the first requests that the library's
// parser finds, in order, with their bodies; the server may refuse or close at any point.
func FuzzWayIn(f *testing.F) {
	for _, text := range []string{
		get("/a"), get("/a") + get("/b"), "\r\n" + get("/a"),
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" + get("/b"),
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/b"),
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n" + get("/b"),
		"GET /a HTTP/1.0\r\nContent-Length: 1\r\n\r\na" + get("/b"),
		"GET /a HTTP/1.1\nHost: a\n b\n\n", "GET /a HTTP/1.1\r\nHost: a\r\nA:\r\n\r\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n\r\n" + get("/b"),
	} {
		f.Add([]byte(text))
	}
	seen := make(chan string, 10_000)
	s := startSite(f, nil, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen <- r.Method + " " + r.RequestURI + " " + string(body)
		_, _ = w.Write(body)
	})
	go func() {
		for range s.seen {
		}
	}()
	go func() {
		for range s.refused {
		}
	}()
	f.Fuzz(func(t *testing.T, data []byte) {
		c := s.dial(t)
		_, _ = c.conn.Write(data)
		_ = c.conn.CloseWrite()
		_, _ = io.Copy(io.Discard, c.conn)
		_ = c.conn.Close()
		// The handler may still run when its connection has been closed.
		s.server.Wait(t.Context())
		want := reference(data)
		for i := 0; ; i++ {
			select {
			case got := <-seen:
				if i >= len(want) || got != want[i] {
					t.Fatalf("request %d is %q; the parser finds %q", i, got, want)
				}
				continue
			default:
			}
			break
		}
	})
}
