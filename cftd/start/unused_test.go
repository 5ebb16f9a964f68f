package start

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnusedConns checks which connections a stopping daemon closes by itself: those that have carried no request, for
// which the shutdown would wait, and no others.
func TestUnusedConns(t *testing.T) {
	tests := []struct {
		name       string
		states     []http.ConnState
		wantClosed bool
	}{
		{name: "never used", states: []http.ConnState{http.StateNew}, wantClosed: true},
		{name: "a request runs", states: []http.ConnState{http.StateNew, http.StateActive}},
		{name: "idle after a request", states: []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}},
		{name: "closed by the peer", states: []http.ConnState{http.StateNew, http.StateClosed}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var unused unusedConns
			conn, peer := net.Pipe()
			defer conn.Close()
			defer peer.Close()
			for _, state := range test.states {
				unused.track(conn, state)
			}
			unused.close()
			// A pipe takes a deadline only while it is open.
			err := conn.SetDeadline(time.Now())
			qt.Assert(t, err != nil, qt.Equals, test.wantClosed, qt.Commentf("%v", err))
		})
	}
}
