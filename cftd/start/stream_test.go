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

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"comfreytack/core/wire"
)

const (
	largeBody = 8 << 20
	longBody  = 64 << 20
)

// TestLargeBodies streams bodies in both directions through entry and gate and compares them by hash.
func TestLargeBodies(t *testing.T) {
	t.Parallel()
	upstream := startRaw(t, func(conn net.Conn, r *http.Request) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		buffer := make([]byte, 10_000)
		for {
			n, err := r.Body.Read(buffer)
			if n > 0 {
				fmt.Fprintf(conn, "%x\r\n%s\r\n", n, buffer[:n])
			}
			if err != nil {
				_, writeErr := io.WriteString(conn, "0\r\n\r\n")
				return err == io.EOF && writeErr == nil
			}
		}
	})
	f := startFleetOf(t, 2, upstream.address)
	tests := []struct {
		name   string
		length int64
	}{
		{name: "known length", length: largeBody},
		{name: "chunks", length: -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, settings := range f.daemons {
				sent, got := xxhash.New(), xxhash.New()
				body := io.TeeReader(io.LimitReader(&pattern{}, largeBody), sent)
				request, err := http.NewRequest(http.MethodPost, "http://"+string(settings.Callers)+"/svc/reservas"+bulkPath, io.NopCloser(body))
				qt.Assert(t, err, qt.IsNil)
				request.ContentLength = test.length
				request.Header.Set(wire.HeaderCustomer, "police")
				answer, err := http.DefaultClient.Do(request)
				qt.Assert(t, err, qt.IsNil)
				n, err := io.Copy(got, answer.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, answer.Body.Close(), qt.IsNil)
				qt.Assert(t, n, qt.Equals, int64(largeBody))
				qt.Assert(t, got.Sum64(), qt.Equals, sent.Sum64())
			}
		})
	}
}

// pattern is an endless pseudo-random stream, so that lost or repeated bytes change the hash.
type pattern struct{ at uint32 }

func (p *pattern) Read(data []byte) (int, error) {
	for i := range data {
		p.at = p.at*1664525 + 1013904223
		data[i] = byte(p.at >> 24)
	}
	return len(data), nil
}

// TestEarlyAnswer has an upstream that refuses a body without reading it, while the caller has not sent the rest of the
// body. The caller must receive that answer.
func TestEarlyAnswer(t *testing.T) {
	t.Parallel()
	upstream := startRaw(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 3\r\nConnection: close\r\n\r\nbig")
		// A close with bytes unread would be a reset, which may overtake the answer.
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		return false
	})
	f := startFleetOf(t, 2, upstream.address)
	for _, settings := range f.daemons {
		request := fmt.Sprintf("POST /svc/reservas/holds HTTP/1.1\r\nHost: a\r\nComfreytack-Customer: police\r\nContent-Length: %d\r\n\r\n%s",
			largeBody, strings.Repeat("x", 100_000))
		answer, body, err := exchange(t, settings, http.MethodPost, request)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answer.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge, qt.Commentf("%s", body))
		qt.Assert(t, body, qt.Equals, "big")
	}
}

// TestCallerThatBreaksOff has callers that disconnect or stop reading in the middle of a request or an answer. The
// upstream must not take a partial body for a complete one, and its connection must be closed.
func TestCallerThatBreaksOff(t *testing.T) {
	t.Parallel()
	const head = "POST /svc/reservas/holds HTTP/1.1\r\nHost: a\r\nComfreytack-Customer: police\r\nComfreytack-Deadline-Ms: 500\r\n"
	tests := []struct {
		name    string
		request string
		// read is how many bytes of the answer the caller reads.
		read int64
		// keepOpen leaves the connection open after that.
		keepOpen bool
	}{
		{name: "in a body of known length", request: head + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 150_000)},
		{name: "in a small body", request: head + "Content-Length: 10\r\n\r\nhalf"},
		{name: "in chunks", request: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nbed 7\r\n"},
		{name: "while reading", request: head + "Content-Length: 2\r\n\r\nok", read: 100},
		{name: "by not reading", request: head + "Content-Length: 2\r\n\r\nok", keepOpen: true},
	}
	var whole, handled atomic.Int64
	upstream := startRaw(t, func(conn net.Conn, r *http.Request) bool {
		defer handled.Add(1)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		whole.Add(1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longBody)
		_, _ = io.CopyN(conn, &pattern{}, longBody)
		return false
	})
	f := startFleetOf(t, 2, upstream.address)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			wantWhole := whole.Load()
			if strings.HasSuffix(test.request, "ok") {
				wantWhole++
			}
			conn, err := net.Dial("tcp", string(f.daemons[0].Callers))
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, test.request)
			qt.Assert(t, err, qt.IsNil)
			_, err = io.CopyN(io.Discard, conn, test.read)
			qt.Assert(t, err, qt.IsNil)
			if !test.keepOpen {
				qt.Assert(t, conn.Close(), qt.IsNil)
			}
			eventually(t, func() bool { return whole.Load() == wantWhole && handled.Load() == upstream.calls.Load() })
		})
	}
}

// eventually waits until the condition holds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(exchangeLimit)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("the condition did not become true")
		}
		time.Sleep(5 * time.Millisecond)
	}
}
