package health_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/health"
	"comfreytack/core/command/daemon"
	"comfreytack/core/model"
)

func TestProbe(t *testing.T) {
	tests := []struct {
		name string
		body string
		want []daemon.Event
	}{
		{"live", `{"draining":false,"in_flight":3,"slots":10}`, []daemon.Event{daemon.UpstreamProbed{}}},
		{"draining", `{"draining":true}`, []daemon.Event{daemon.UpstreamProbed{Draining: true}}},
		{"malformed answer", `busy`, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var probes atomic.Int32
			ctx, stop := context.WithCancel(context.Background())
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				probes.Add(1)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			var events []daemon.Event
			probe := health.New(health.Settings{
				Upstream: model.Address(strings.TrimPrefix(server.URL, "http://")),
				Client:   server.Client(),
				Post:     func(e daemon.Event) bool { events = append(events, e); return true },
			})
			time.AfterFunc(health.ProbeInterval/2, stop)
			probe.Run(ctx)
			qt.Assert(t, events, qt.DeepEquals, test.want)
			qt.Assert(t, probes.Load(), qt.Equals, int32(1))
		})
	}
}
