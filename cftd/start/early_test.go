package start

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/setup"
)

// earlySession is a connection on which an upload was answered before it was sent to its end.
type earlySession struct {
	conn   net.Conn
	reader *bufio.Reader
}

// startUpload sends the beginning of an upload of which more than a buffer is missing, and reads its early answer.
func startUpload(t *testing.T, settings setup.Settings, framing, begin string) (*earlySession, *http.Response) {
	t.Helper()
	conn, err := net.Dial("tcp", string(settings.Callers))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(exchangeLimit)), qt.IsNil)
	_, err = io.WriteString(conn, "POST /svc/reservas/upload HTTP/1.1\r\nHost: a\r\nComfreytack-Customer: police\r\n"+framing+"\r\n\r\n"+begin)
	qt.Assert(t, err, qt.IsNil)
	s := &earlySession{conn: conn, reader: bufio.NewReader(conn)}
	answer, _, err := readFinal(s.reader, http.MethodPost)
	qt.Assert(t, err, qt.IsNil)
	return s, answer
}

// TestAfterAnEarlyAnswer has an upstream that answers an upload before it has received it, keeps the connection and reads
// on. The caller then sends the rest, which looks like a request, and another request. The connection must close after
// the early answer: no text of the upload may be taken for a request, and no other request get its answer.
func TestAfterAnEarlyAnswer(t *testing.T) {
	t.Parallel()
	const (
		hidden = "POST /svc/reservas/hidden HTTP/1.1\r\nHost: a\r\nComfreytack-Customer: police\r\nContent-Length: 0\r\n\r\n"
		next   = "GET /svc/reservas/next HTTP/1.1\r\nHost: a\r\nComfreytack-Customer: police\r\n\r\n"
		rounds = 20
	)
	begin := strings.Repeat("file ", 20<<10)
	tests := []struct {
		name, framing, begin, rest string
	}{
		{
			name: "chunks", framing: "Transfer-Encoding: chunked", rest: hidden + "\r\n0\r\n\r\n",
			begin: fmt.Sprintf("%x\r\n%s", len(begin)+len(hidden), begin),
		},
		{name: "a length", framing: fmt.Sprintf("Content-Length: %d", len(begin)+len(hidden)), begin: begin, rest: hidden},
	}
	upstream := startRaw(t, func(conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		drain(r)
		return true
	})
	f := startFleetOf(t, 2, upstream.address)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for i := range rounds {
				s, answer := startUpload(t, f.daemons[i%len(f.daemons)], test.framing, test.begin)
				qt.Assert(t, answer.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
				qt.Check(t, answer.Close, qt.IsTrue, qt.Commentf("the connection is kept"))
				// The daemon may have closed the connection.
				_, _ = io.WriteString(s.conn, test.rest+next)
				if _, body, err := readFinal(s.reader, http.MethodGet); err == nil {
					t.Fatalf("another answer on the connection: %q", body)
				}
			}
		})
	}
}

// TestRequestBehindAnother sends two requests at once, the second with both a length and chunks. By its length, what looks
// like a third request is a part of its body: it must not reach the upstream.
func TestRequestBehindAnother(t *testing.T) {
	t.Parallel()
	const (
		head   = " HTTP/1.1\r\nHost: a\r\nComfreytack-Customer: police\r\n"
		hidden = "POST /svc/reservas/hidden" + head + "Content-Length: 0\r\n\r\n"
		body   = "0\r\n\r\n" + hidden
	)
	tests := []struct {
		name, second string
	}{
		{name: "length and chunks", second: "POST /svc/reservas/holds" + head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(body)) + body},
		{name: "a folded length", second: "POST /svc/reservas/holds" + head + "X-A: b\r\n Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + body},
	}
	paths := make(chan string, 100)
	upstream := startRaw(t, func(conn net.Conn, r *http.Request) bool {
		paths <- r.URL.Path
		drain(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	f := startFleetOf(t, 1, upstream.address)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", string(f.daemons[0].Callers))
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			qt.Assert(t, conn.SetDeadline(time.Now().Add(exchangeLimit)), qt.IsNil)
			_, err = io.WriteString(conn, "GET /svc/reservas/beds"+head+"\r\n"+test.second)
			qt.Assert(t, err, qt.IsNil)
			reader := bufio.NewReader(conn)
			for _, want := range []int{http.StatusOK, http.StatusBadRequest} {
				answer, _, err := readFinal(reader, http.MethodGet)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, answer.StatusCode, qt.Equals, want)
			}
			_, err = reader.ReadByte()
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, <-paths, qt.Equals, "/beds")
			qt.Assert(t, paths, qt.HasLen, 0)
		})
	}
}
