package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"comfreytack/cftd/relay"
	"comfreytack/core/model"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 64 << 20
	cutRounds   = 100
	// part is what arrives of an answer without a length.
	part = "HTTP/1.1 200 OK\r\n\r\na part"
)

// endless is a body that always has more.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(data []byte) (int, error) { return len(data), nil }

// TestAnswerCutDuringAnUpload guards against a part of an answer that is taken for all of it: an answer without a length ends
// with its connection, and the reset of a connection may be reported to the writing side alone, while the reading side sees
// an end.
func TestAnswerCutDuringAnUpload(t *testing.T) {
	tests := []struct {
		name string
		end  func(conn *net.TCPConn)
		want string
	}{
		{name: "reset", end: func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }},
		{name: "closed with the upload unread", end: func(conn *net.TCPConn) { _ = conn.Close() }},
		{name: "ended, and reads on", want: "a part", end: func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			address := acceptRaw(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(conn, part)
				// With nothing unread a close would be a regular end.
				for unread(conn) == 0 {
					time.Sleep(time.Millisecond)
				}
				// Gives the upload time to fill the buffers, so that it waits for room when the answer ends.
				time.Sleep(5 * time.Millisecond)
				test.end(conn)
			})
			transport := relay.NewTransport(1, time.Second)
			defer transport.CloseIdleConnections()
			for range cutRounds {
				body, err := upload(t.Context(), transport, address)
				if test.want == "" {
					qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q was taken for a whole answer", body))
					continue
				}
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, body, qt.Equals, test.want)
			}
		})
	}
}

// TestUpstreamThatReadsLate guards against an upstream that is alive, does not read for a while and is taken for lost.
func TestUpstreamThatReadsLate(t *testing.T) {
	t.Parallel()
	const (
		silence = 2500 * time.Millisecond
		late    = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
	)
	address := acceptRaw(t, func(conn *net.TCPConn) {
		time.Sleep(silence)
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(conn, late)
		}
	})
	transport := relay.NewTransport(1, time.Second)
	defer transport.CloseIdleConnections()
	body, err := upload(t.Context(), transport, address)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "late")
}

// unread returns how many bytes have been received and not read.
func unread(conn *net.TCPConn) int {
	count := 0
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { count, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return count
}

// acceptRaw listens, and serves each connection by the given function.
func acceptRaw(t *testing.T, serve func(conn *net.TCPConn)) model.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return model.Address(listener.Addr().String())
}

// upload sends a long body and returns the body of the answer.
func upload(ctx context.Context, transport *http.Transport, address model.Address) (string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, failure := relay.RoundTrip(ctx, transport, relay.Request{
		Address: address, Method: http.MethodPost, Target: relay.Target{Path: "/"}, Header: http.Header{},
		Body: &relay.Body{Rest: io.LimitReader(endless{}, uploadBytes), Length: uploadBytes}, AllowCloseDelimited: true,
	}, model.UpstreamDied)
	if failure != nil {
		return "", failure
	}
	defer answer.Body.Close()
	body := &strings.Builder{}
	_, err := io.Copy(body, answer.Body)
	return body.String(), err
}
