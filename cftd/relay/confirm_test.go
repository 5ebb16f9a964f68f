package relay_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/relay"
	"comfreytack/core/model"
)

// TestConfirm checks that each request is confirmed once, before anything of it is sent, and that nothing is sent
// without.
func TestConfirm(t *testing.T) {
	refusal := &model.Failure{Verdict: model.NotRun, Reason: model.UpstreamLeaving}
	tests := []struct {
		name    string
		failure *model.Failure
		// body is streamed when set.
		body io.Reader
		want int
	}{
		{name: "confirmed", want: 1},
		{name: "refused", failure: refusal},
		{name: "confirmed, with a body that is streamed", body: neverRead{}, want: 1},
		{name: "refused, with a body that is streamed", failure: refusal, body: neverRead{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startServer(t, func(conn net.Conn, id string, _ int) bool {
				_, err := io.WriteString(conn, ok(id))
				return err == nil
			})
			transport := relay.NewTransport(1, time.Minute)
			defer transport.CloseIdleConnections()
			// The first request opens the connection that the next one reuses.
			_, failure := roundTrip(t.Context(), transport, s.address, http.MethodPost, "first")
			qt.Assert(t, failure == nil, qt.IsTrue)
			var confirmed atomic.Int64
			body := &relay.Body{}
			if test.body != nil {
				body = &relay.Body{Rest: test.body, Length: 0}
			}
			answer, failure := relay.RoundTrip(t.Context(), transport, relay.Request{
				Address: s.address, Method: http.MethodPost, Target: relay.Target{Path: "/"},
				Header: http.Header{idHeader: {"second"}}, Body: body,
				Confirm: func() *model.Failure {
					qt.Check(t, s.count("second"), qt.Equals, 0)
					confirmed.Add(1)
					return test.failure
				},
			}, model.UpstreamDied)
			qt.Assert(t, failure, qt.Equals, test.failure)
			if answer != nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
			qt.Assert(t, s.count("second"), qt.Equals, test.want)
			qt.Assert(t, confirmed.Load(), qt.Equals, int64(1))
			qt.Assert(t, body.CanResend(), qt.Equals, test.failure != nil || test.body == nil)
		})
	}
}

// neverRead is the end of a body.
type neverRead struct{}

func (neverRead) Read([]byte) (int, error) { return 0, io.EOF }
