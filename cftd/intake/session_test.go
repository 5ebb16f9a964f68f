package intake_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/intake"
)

const (
	// limit ends a test that hangs; it does not bound how long anything takes on a busy machine.
	limit       = 30 * time.Second
	budgetBytes = 16 << 20
	// headLimit is the largest head that the server of a test takes.
	headLimit = 4 << 10
)

// site is a server and what its handler saw.
type site struct {
	server  *intake.Server
	address string
	// seen has the paths of the requests that reached the handler.
	seen chan string
	// refused has the reasons of refusals.
	refused chan string
}

// startSite serves the handler; requests whose path begins with /read may run ahead.
func startSite(t testing.TB, change func(*intake.Settings), handler http.HandlerFunc) *site {
	t.Helper()
	s := &site{seen: make(chan string, 1000), refused: make(chan string, 1000)}
	log := slog.New(slog.DiscardHandler)
	settings := intake.Settings{
		Port: "callers",
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.seen <- r.URL.Path
			handler(w, r)
		}),
		Ahead:  func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/read") },
		Limits: func() intake.Limits { return intake.Limits{HeadBytes: headLimit, Head: limit, Idle: limit} },
		Budget: intake.NewBudget(intake.BudgetSettings{
			Bytes: budgetBytes, Conns: 100, Now: time.Now, Count: func(_, reason string) { s.refused <- reason }, Log: log,
		}),
		Log: log,
	}
	if change != nil {
		change(&settings)
	}
	s.server = intake.New(settings)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s.address = listener.Addr().String()
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(listener.(*net.TCPListener)) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		qt.Check(t, s.server.Shutdown(ctx), qt.IsNil)
		qt.Check(t, <-done, qt.IsNil)
	})
	return s
}

// caller is a connection to a site.
type caller struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (s *site) dial(t testing.TB) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(limit)), qt.IsNil)
	return &caller{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func (c *caller) send(t testing.TB, text string) {
	t.Helper()
	_, err := io.WriteString(c.conn, text)
	qt.Assert(t, err, qt.IsNil)
}

// read reads an answer, with the interim ones before it, as "status body", with " close" when the connection closes
// after it. It returns "closed" at the end of the connection, and "broken" for an incomplete answer.
func (c *caller) read(method string) string {
	if _, err := c.reader.Peek(1); err != nil {
		return "closed"
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return "broken"
	}
	if answer.StatusCode == http.StatusContinue {
		return "100, " + c.read(method)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return "broken"
	}
	text := strings.TrimSpace(fmt.Sprintf("%d %s", answer.StatusCode, body))
	for name, values := range answer.Trailer {
		text += " " + name + "=" + values[0]
	}
	if answer.Close {
		text += " close"
	}
	return text
}

// echo answers with the path and the body of the request. The path may ask for another way to answer.
func echo(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/unread"):
		_, _ = io.WriteString(w, "unread")
		return
	case strings.HasPrefix(r.URL.Path, "/panic"):
		panic("the handler's fault")
	case strings.HasPrefix(r.URL.Path, "/break"):
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(r.URL.Path, "/short"):
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
		return
	case strings.HasPrefix(r.URL.Path, "/close"):
		w.Header().Set("Connection", "close")
	case strings.HasPrefix(r.URL.Path, "/none"):
		w.WriteHeader(http.StatusNoContent)
		return
	case strings.HasPrefix(r.URL.Path, "/stream"):
		w.Header().Set("Trailer", "Sum")
		for range 3 {
			_, _ = io.WriteString(w, "part ")
			_ = http.NewResponseController(w).Flush()
		}
		w.Header().Set("Sum", "7")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// TestSessions sends raw bytes on one connection and reads all its answers. Each case is also sent byte by byte.
func TestSessions(t *testing.T) {
	const (
		post    = "POST /w HTTP/1.1\r\nHost: a\r\n"
		refused = "400 close"
	)
	tests := []struct {
		name   string
		method string
		send   string
		want   []string
	}{
		{name: "one", send: get("/a"), want: []string{"200 /a"}},
		{name: "sent ahead", send: get("/read1") + get("/read2") + get("/w"), want: []string{"200 /read1", "200 /read2", "200 /w"}},
		{name: "length", send: post + "Content-Length: 5\r\n\r\nbed 7" + get("/a"), want: []string{"200 /w bed 7", "200 /a"}},
		{name: "chunks", send: post + "Transfer-Encoding: chunked\r\n\r\n5\r\nbed 7\r\n0\r\n\r\n" + get("/a"), want: []string{"200 /w bed 7", "200 /a"}},
		{name: "chunks and a trailer", send: post + "Transfer-Encoding: chunked\r\n\r\n5\r\nbed 7\r\n0\r\nSum: 1\r\n\r\n" + get("/a"), want: []string{"200 /w bed 7", "200 /a"}},
		{name: "bodies sent ahead", send: "POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab" + "POST /read2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\ncd", want: []string{"200 /read ab", "200 /read2 cd"}},
		{name: "empty lines before", send: "\r\n\r\n" + get("/a"), want: []string{"200 /a"}},
		{name: "too many empty lines", send: strings.Repeat("\r\n", 100) + get("/a"), want: []string{refused}},
		{name: "line ends without CR", send: "GET /a HTTP/1.1\nHost: a\n\n", want: []string{"200 /a"}},
		{name: "caller closes", send: "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/b"), want: []string{"200 /a close", "closed"}},
		{name: "caller closes, with a body", send: post + "Connection: close\r\nContent-Length: 5\r\n\r\nbed 7", want: []string{"200 /w bed 7 close", "closed"}},
		{name: "HTTP/1.0 with a body", send: "POST /w HTTP/1.0\r\nContent-Length: 5\r\n\r\nbed 7", want: []string{"200 /w bed 7 close", "closed"}},
		{name: "handler closes", send: get("/close") + get("/w"), want: []string{"200 /close close", "closed"}},
		{name: "HTTP/1.0", send: "GET /a HTTP/1.0\r\n\r\n", want: []string{"200 /a close", "closed"}},
		{name: "HTTP/2", send: "GET /a HTTP/2.0\r\nHost: a\r\n\r\n", want: []string{"505 close", "closed"}},
		{name: "continue", send: post + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nbed 7" + get("/a"), want: []string{"100, 200 /w bed 7", "200 /a"}},
		{name: "another expectation", send: post + "Expect: tea\r\nContent-Length: 5\r\n\r\nbed 7", want: []string{"417 close", "closed"}},
		{name: "head", method: "HEAD", send: "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n", want: []string{"200"}},
		{name: "no content", send: get("/none") + get("/a"), want: []string{"204", "200 /a"}},
		{name: "stream", send: get("/stream") + get("/a"), want: []string{"200 part part part Sum=7", "200 /a"}},
		{name: "answer breaks off", send: get("/break") + get("/a"), want: []string{"broken"}},
		{name: "answer shorter than its length", send: get("/short") + get("/a"), want: []string{"closed"}},
		{name: "panic", send: get("/panic") + get("/a"), want: []string{"closed"}},
		{name: "panic behind another", send: get("/read") + get("/panic") + get("/a"), want: []string{"200 /read", "closed"}},
		{name: "break behind another", send: get("/read") + get("/break") + get("/a"), want: []string{"200 /read", "broken"}},
		{name: "unread length", send: "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\nab", want: []string{"200 unread close", "closed"}},
		{name: "unread chunks", send: "POST /unread HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbed 7\r\n0\r\n\r\n" + get("/a"), want: []string{"200 unread close", "closed"}},
		{name: "both lengths", send: post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/a"), want: []string{refused, "closed"}},
		{name: "both lengths behind another", send: get("/read") + post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/a"), want: []string{"200 /read", refused, "closed"}},
		{name: "two lengths", send: post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nbed 7", want: []string{refused, "closed"}},
		{name: "folded", send: post + "A: b\r\n c\r\nContent-Length: 5\r\n\r\nbed 7", want: []string{refused, "closed"}},
		{name: "space before colon", send: post + "Content-Length : 5\r\n\r\nbed 7", want: []string{refused, "closed"}},
		{name: "no host", send: "GET /a HTTP/1.1\r\n\r\n", want: []string{refused, "closed"}},
		{name: "two hosts", send: "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", want: []string{refused, "closed"}},
		{name: "host with a space", send: "GET /a HTTP/1.1\r\nHost: a b\r\n\r\n", want: []string{refused, "closed"}},
		{name: "control character", send: "GET /a HTTP/1.1\r\nHost: a\r\nB: \x01\r\n\r\n", want: []string{refused, "closed"}},
		{name: "unknown encoding", send: post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", want: []string{"501 close", "closed"}},
		{name: "bad chunk", send: post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbed 7\r\n0\r\n\r\n" + get("/a"), want: []string{refused, "closed"}},
		{name: "no HTTP", send: "hello\r\n\r\n", want: []string{refused, "closed"}},
		{name: "large head", send: "GET /a HTTP/1.1\r\nHost: a\r\nB: " + strings.Repeat("b", headLimit) + "\r\n\r\n", want: []string{"431 close", "closed"}},
		{name: "head of exactly the limit", send: "GET /a HTTP/1.1\r\nHost: a\r\nB: " + strings.Repeat("b", headLimit-len("GET /a HTTP/1.1\r\nHost: a\r\nB: \r\n\r\n")) + "\r\n\r\n", want: []string{"200 /a"}},
	}
	for _, test := range tests {
		for _, piecewise := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%v", test.name, piecewise), func(t *testing.T) {
				t.Parallel()
				s := startSite(t, nil, echo)
				c := s.dial(t)
				if piecewise {
					go func() {
						for i := range len(test.send) {
							if _, err := c.conn.Write([]byte{test.send[i]}); err != nil {
								return
							}
						}
					}()
				} else {
					c.send(t, test.send)
				}
				for _, want := range test.want {
					qt.Assert(t, c.read(test.method), qt.Equals, want)
				}
			})
		}
	}
}
