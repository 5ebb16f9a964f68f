package start

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/wire"
)

const (
	// endlessDeadline is the deadline of the calls whose answers do not end.
	endlessDeadline = 700 * time.Millisecond
	// endlessClose is how long after that the daemon may keep the connection to the upstream.
	endlessClose = time.Second
	// endlessHead bounds the bytes that the daemon reads of a head: its own bound, and what buffers hold.
	endlessHead = 16 << 20
)

// endlessCase is an answer that begins in some way and then goes on without end.
type endlessCase struct {
	name  string
	begin string
	piece string
	// inBody says that the daemon has passed on the head before it can know that the answer does not end.
	inBody bool
	// pause is the time between two pieces.
	pause time.Duration
}

// TestEndlessAnswers checks that an upstream which sends bytes without end takes bounded memory and time: the caller gets
// a failure that says that the call may have run, or a broken answer; the connection is closed, and others are served.
func TestEndlessAnswers(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("x", 32<<10)
	tests := []endlessCase{
		{name: "status line", begin: "HTTP/1.1 200 ", piece: long},
		{name: "no HTTP at all", piece: long},
		{name: "one field", begin: head + "Field: ", piece: long},
		{name: "many fields", begin: head, piece: strings.Repeat("Field: x\r\n", 1000)},
		{name: "early hints", piece: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{name: "a byte now and then in the head", begin: head + "Field: ", piece: "x", pause: 20 * time.Millisecond},
		{name: "chunk extension", begin: head + "Transfer-Encoding: chunked\r\n\r\n1;", piece: long, inBody: true},
		{name: "chunks", begin: head + "Transfer-Encoding: chunked\r\n\r\n", piece: "8000\r\n" + long + "\r\n", inBody: true},
		{name: "trailer", begin: head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", piece: strings.Repeat("Field: x\r\n", 1000), inBody: true},
		{name: "a byte now and then in the body", begin: head + "Content-Length: 100000\r\n\r\n", piece: "x", pause: 20 * time.Millisecond, inBody: true},
		{name: "after a whole answer", begin: head + "Content-Length: 2\r\n\r\nok", piece: long, inBody: true},
	}
	var current atomic.Pointer[endlessCase]
	var sent atomic.Int64
	closed := make(chan time.Time, 1)
	upstream := startRaw(t, func(conn net.Conn, r *http.Request) bool {
		drain(r)
		if r.URL.Path != "/endless" {
			_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\nok")
			return true
		}
		test := current.Load()
		sent.Store(0)
		_, err := io.WriteString(conn, test.begin)
		for err == nil {
			var n int
			n, err = io.WriteString(conn, test.piece)
			sent.Add(int64(n))
			time.Sleep(test.pause)
		}
		closed <- time.Now()
		return false
	})
	f := startFleetOf(t, 1, upstream.address)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			current.Store(&test)
			began := time.Now()
			request := fmt.Sprintf("POST /svc/reservas/endless HTTP/1.1\r\nHost: a\r\nComfreytack-Customer: police\r\n%s: %d\r\nContent-Length: 0\r\n\r\n",
				wire.HeaderDeadlineMs, endlessDeadline.Milliseconds())
			answer, _, err := exchange(t, f.daemons[0], "POST", request)
			if err == nil && answer.StatusCode != http.StatusOK {
				qt.Check(t, answer.Header.Get(wire.HeaderVerdict), qt.Equals, "may_have_run")
			} else {
				qt.Check(t, test.inBody, qt.IsTrue, qt.Commentf("%v %v", answer, err))
			}
			select {
			case at := <-closed:
				qt.Check(t, at.Sub(began) < endlessDeadline+endlessClose, qt.IsTrue, qt.Commentf("closed after %v", at.Sub(began)))
			case <-time.After(endlessDeadline + endlessClose):
				t.Error("the connection to the upstream is still open")
			}
			if !test.inBody {
				qt.Check(t, sent.Load() < endlessHead, qt.IsTrue, qt.Commentf("%d bytes were read", sent.Load()))
			}
			next, body, err := exchange(t, f.daemons[0], "POST", "POST /svc/reservas/next HTTP/1.1\r\nHost: a\r\nComfreytack-Customer: police\r\nContent-Length: 0\r\n\r\n")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, next.StatusCode, qt.Equals, http.StatusOK)
			qt.Assert(t, body, qt.Equals, "ok")
		})
	}
}
