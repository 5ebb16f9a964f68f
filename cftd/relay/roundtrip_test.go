package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/relay"
	"comfreytack/core/model"
)

const (
	exchanges = 150
	idHeader  = "X-Id"
)

// server counts the requests that it receives with each id, including those of which only a part arrives.
type server struct {
	address model.Address
	mu      sync.Mutex
	seen    map[string]int
}

func startServer(t *testing.T, answer func(conn net.Conn, id string, nth int) bool) *server {
	t.Helper()
	s := &server{seen: map[string]int{}}
	s.address = acceptRaw(t, func(conn *net.TCPConn) { s.serve(conn, answer) })
	return s
}

func (s *server) serve(conn net.Conn, answer func(conn net.Conn, id string, nth int) bool) {
	reader := bufio.NewReader(conn)
	for nth := 1; ; nth++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(idHeader)
		s.mu.Lock()
		s.seen[id]++
		s.mu.Unlock()
		_, _ = io.Copy(io.Discard, r.Body)
		if !answer(conn, id, nth) {
			return
		}
	}
}

func (s *server) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[id]
}

func roundTrip(ctx context.Context, transport *http.Transport, address model.Address, method, id string) (string, *model.Failure) {
	return exchange(ctx, transport, requestOf(address, method, id))
}

// roundTripUndelimited also takes answers that end with their connection.
func roundTripUndelimited(ctx context.Context, transport *http.Transport, address model.Address, method, id string) (string, *model.Failure) {
	request := requestOf(address, method, id)
	request.AllowCloseDelimited = true
	return exchange(ctx, transport, request)
}

func requestOf(address model.Address, method, id string) relay.Request {
	header := http.Header{idHeader: {id}, "Idempotency-Key": {id}}
	return relay.Request{Address: address, Method: method, Target: relay.Target{Path: "/"}, Header: header, Body: &relay.Body{}}
}

// exchange sends a request and returns the body of its answer.
func exchange(ctx context.Context, transport *http.Transport, request relay.Request) (string, *model.Failure) {
	answer, failure := relay.RoundTrip(ctx, transport, request, model.UpstreamDied)
	if failure != nil {
		return "", failure
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", &model.Failure{Verdict: model.MayHaveRun, Reason: model.Truncated, Cause: err}
	}
	return string(body), nil
}

func ok(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// TestRoundTripsOnSharedConnections sends requests one after another over reused connections to servers that misbehave
// after an answer. No request may run twice or get the answer of another one, and a request with verdict not_run must
// not have run.
func TestRoundTripsOnSharedConnections(t *testing.T) {
	tests := []struct {
		name   string
		answer func(conn net.Conn, id string, nth int) bool
	}{
		{name: "closes after reading the second request", answer: func(conn net.Conn, id string, nth int) bool {
			if nth == 1 {
				_, _ = io.WriteString(conn, ok(id))
			}
			return nth == 1
		}},
		{name: "sends a second answer with the first", answer: func(conn net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(conn, ok(id)+ok("stray"))
			return true
		}},
		{name: "sends a second answer after one without a body", answer: func(conn net.Conn, _ string, _ int) bool {
			_, _ = io.WriteString(conn, ok("")+ok("stray"))
			return true
		}},
		{name: "closes after each answer", answer: func(conn net.Conn, id string, _ int) bool {
			_, _ = io.WriteString(conn, ok(id))
			return false
		}},
	}
	for _, test := range tests {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(test.name+" "+method, func(t *testing.T) {
				s := startServer(t, test.answer)
				transport := relay.NewTransport(1, time.Second)
				defer transport.CloseIdleConnections()
				for i := range exchanges {
					id := fmt.Sprint(i)
					body, failure := roundTrip(t.Context(), transport, s.address, method, id)
					s.check(t, id, body, failure)
				}
			})
		}
	}
}

// check checks the outcome of one request against the number of times that the server received it. The
// server may count a request shortly after its outcome is known.
func (s *server) check(t *testing.T, id, body string, failure *model.Failure) {
	t.Helper()
	count := s.count(id)
	qt.Assert(t, count <= 1, qt.IsTrue, qt.Commentf("request %s ran %d times", id, count))
	switch {
	case failure == nil:
		qt.Assert(t, count, qt.Equals, 1)
		qt.Assert(t, body == id || body == "", qt.IsTrue, qt.Commentf("request %s got %q", id, body))
	case failure.Verdict == model.NotRun:
		qt.Assert(t, count, qt.Equals, 0, qt.Commentf("request %s: %v", id, failure))
	}
}

// TestTargetIsSentAsReceived guards against a request that reaches the upstream with another path or query than its caller
// sent.
func TestTargetIsSentAsReceived(t *testing.T) {
	targets := []string{
		"/", "/a/b", "/a%2Fb", "/a%2fb%41", "/a|b{c}", "/a/\xc3\xa9", "/a//b", "/a/./../b", "/a;b=c", "/a?b=c%20d&e|f", "/a?b?c", "/a+b:c@d", "/a?", "/a//b?",
		"//a/b", "*",
	}
	received := make(chan string, 1)
	address := acceptRaw(t, func(conn *net.TCPConn) {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		received <- line
		_, _ = io.WriteString(conn, ok(""))
	})
	transport := relay.NewTransport(1, time.Second)
	defer transport.CloseIdleConnections()
	for _, target := range targets {
		t.Run(target, func(t *testing.T) {
			u, err := url.ParseRequestURI(target)
			qt.Assert(t, err, qt.IsNil)
			request := requestOf(address, http.MethodGet, "1")
			request.Target = relay.TargetOf(u)
			_, failure := exchange(t.Context(), transport, request)
			qt.Assert(t, failure == nil, qt.IsTrue)
			qt.Assert(t, <-received, qt.Equals, "GET "+target+" HTTP/1.1\r\n")
			transport.CloseIdleConnections()
		})
	}
}

// TestRepeatedRefusals guards against a refusal that an upstream writes once more on a kept connection, after it has begun the
// next request: that request must not be taken for refused, or its caller sends it again.
func TestRepeatedRefusals(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n%s\r\n%s"
	tests := []struct {
		name string
		// refusal is written to the first request of a connection, and once more to the second.
		refusal string
	}{
		{name: "without an id", refusal: fmt.Sprintf(refusal, 0, "", "")},
		{name: "without an id, with a body", refusal: fmt.Sprintf(refusal, 4, "", "full")},
		{name: "with an id", refusal: fmt.Sprintf(refusal, 0, idHeader+": %s\r\n", "")},
		{name: "with an id and a body", refusal: fmt.Sprintf(refusal, 4, idHeader+": %s\r\n", "full")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var mu sync.Mutex
			ran := map[string]bool{}
			firsts := map[net.Conn]string{}
			s := startServer(t, func(conn net.Conn, id string, nth int) bool {
				mu.Lock()
				defer mu.Unlock()
				if nth == 1 {
					firsts[conn] = strings.Replace(test.refusal, "%s", id, 1)
				}
				ran[id] = nth > 1
				_, err := io.WriteString(conn, firsts[conn])
				return err == nil
			})
			transport := relay.NewTransport(1, time.Second)
			defer transport.CloseIdleConnections()
			refused := 0
			for i := range exchanges {
				id := fmt.Sprint(i)
				request := requestOf(s.address, http.MethodPost, id)
				request.CheckAnswer = func(answer *http.Response) *model.Failure {
					if named := answer.Header.Get(idHeader); named != "" && named != id {
						return &model.Failure{Verdict: model.MayHaveRun, Reason: model.WrongAnswer}
					}
					return &model.Failure{Verdict: model.NotRun, Reason: model.UpstreamShed}
				}
				request.NamesRequest = func(answer *http.Response) bool { return answer.Header.Get(idHeader) == id }
				_, failure := exchange(t.Context(), transport, request)
				qt.Assert(t, failure != nil, qt.IsTrue)
				mu.Lock()
				qt.Assert(t, ran[id] && failure.Verdict == model.NotRun, qt.IsFalse, qt.Commentf("request %s ran, and got %v", id, failure))
				mu.Unlock()
				// That a connection was closed on account of an earlier request is no failure of this one.
				qt.Assert(t, failure.Reason, qt.Not(qt.Equals), model.UpstreamDown)
				if failure.Reason == model.UpstreamShed {
					refused++
				}
			}
			qt.Assert(t, refused > 0, qt.IsTrue)
		})
	}
}

// TestCancelledRoundTrips cancels requests at every stage. A request with verdict not_run must never reach the server.
func TestCancelledRoundTrips(t *testing.T) {
	s := startServer(t, func(conn net.Conn, id string, _ int) bool {
		_, err := io.WriteString(conn, ok(id))
		return err == nil
	})
	transport := relay.NewTransport(4, time.Second)
	defer transport.CloseIdleConnections()
	failures := make([]*model.Failure, exchanges)
	for i := range exchanges {
		ctx, cancel := context.WithCancel(t.Context())
		timer := time.AfterFunc(time.Duration(i)*time.Microsecond, cancel)
		_, failures[i] = roundTrip(ctx, transport, s.address, http.MethodPost, fmt.Sprint(i))
		timer.Stop()
		cancel()
	}
	// Gives requests that are still on their way time to arrive.
	time.Sleep(20 * time.Millisecond)
	verdicts := map[model.Verdict]int{}
	for i, failure := range failures {
		if failure == nil {
			continue
		}
		verdicts[failure.Verdict]++
		if failure.Verdict == model.NotRun {
			qt.Assert(t, s.count(fmt.Sprint(i)), qt.Equals, 0)
		}
	}
	t.Log(verdicts)
}

// TestBodyIsSentOnce opens a streamed body for two attempts. Only the first one that reads from it gets its rest.
func TestBodyIsSentOnce(t *testing.T) {
	tests := []struct {
		name          string
		readFirst     bool
		wantCanResend bool
	}{
		{name: "the first attempt read nothing", wantCanResend: true},
		{name: "the first attempt read a part", readFirst: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body := &relay.Body{Small: []byte("small "), Rest: strings.NewReader("rest"), Length: -1}
			first := body.Open()
			if test.readFirst {
				_, err := io.ReadAll(first)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, body.CanResend(), qt.Equals, test.wantCanResend)
			text, err := io.ReadAll(body.Open())
			if test.wantCanResend {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(text), qt.Equals, "small rest")
				_, err = io.ReadAll(first)
			}
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}
