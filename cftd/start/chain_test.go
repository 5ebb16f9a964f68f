package start

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/setup"
	"comfreytack/core/wire"
)

const (
	chainHops = 17
	// chainWidth is the number of upstreams at each hop; with more than one, every hop could retry.
	chainWidth = 2
)

// chain is a series of services, each of which calls the next through the daemon beside it.
type chain struct {
	daemons  [][]setup.Settings
	services []model.Service
	// calls counts the requests that the upstreams of each hop ran or refused.
	calls []atomic.Int64
}

// TestAttemptsAlongAChain checks that a refusal at the last hop of a chain of daemons is retried at that hop only.
// If every hop retried, the attempts would multiply along the chain. The test does not run in parallel with others,
// because its many daemons keep the machine busy while they start.
func TestAttemptsAlongAChain(t *testing.T) {
	c := startChain(t)
	request, err := http.NewRequest(http.MethodGet, "http://"+string(c.daemons[0][0].Callers)+"/svc/hop-1/beds", nil)
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set(wire.HeaderCustomer, "police")
	answer, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Body.Close(), qt.IsNil)
	qt.Assert(t, answer.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, answer.Header.Get(wire.HeaderVerdict), qt.Equals, "ran")
	for hop := range c.calls {
		want := int64(1)
		if hop == chainHops-1 {
			want = chainWidth
		}
		qt.Check(t, c.calls[hop].Load(), qt.Equals, want, qt.Commentf("hop %d", hop+1))
	}
}

func startChain(t *testing.T) *chain {
	t.Helper()
	c := &chain{calls: make([]atomic.Int64, chainHops)}
	for hop := range chainHops {
		c.addHop(t, hop)
	}
	platform := httptest.NewServer(platformOf(t, c.services...))
	t.Cleanup(platform.Close)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, chainHops*chainWidth)
	for _, hop := range c.daemons {
		for _, settings := range hop {
			settings.Platform = []model.Address{model.Address(strings.TrimPrefix(platform.URL, "http://"))}
			go func() { done <- Serve(ctx, Native, settings, testOptions, slog.New(slog.DiscardHandler)) }()
		}
	}
	t.Cleanup(func() {
		stop()
		for range cap(done) {
			qt.Check(t, <-done, qt.IsNil)
		}
	})
	for _, hop := range c.daemons {
		for _, settings := range hop {
			waitReady(t, settings)
		}
	}
	return c
}

func (c *chain) addHop(t *testing.T, hop int) {
	t.Helper()
	service := model.Service{Name: hopName(hop), Slots: 10, Connections: 250, ShedStatus: statusShed}
	var daemons []setup.Settings
	for i := range chainWidth {
		settings := setup.Settings{
			Name:          model.UpstreamName(fmt.Sprintf("%s-%d", service.Name, i)),
			Service:       service.Name,
			FailureDomain: "quito-sur",
			Callers:       freeAddress(t),
			Gate:          freeAddress(t),
			Peer:          freeAddress(t),
			Operators:     freeAddress(t),
			Calls:         []model.ServiceName{hopName(hop + 1)},
			StopMs:        stopMs,
		}
		upstream := httptest.NewServer(c.upstream(hop, settings.Callers))
		t.Cleanup(upstream.Close)
		settings.Upstream = model.Address(strings.TrimPrefix(upstream.URL, "http://"))
		daemons = append(daemons, settings)
		service.Upstreams = append(service.Upstreams, model.Upstream{
			Name: settings.Name, Service: service.Name, FailureDomain: "quito-sur", Gate: settings.Gate, Peer: settings.Peer, Incarnation: 1,
		})
	}
	c.daemons = append(c.daemons, daemons)
	c.services = append(c.services, service)
}

// upstream returns a handler that refuses at the last hop, and elsewhere calls the next hop and returns its status.
func (c *chain) upstream(hop int, daemon model.Address) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			_, _ = io.WriteString(w, `{"draining":false}`)
			return
		}
		c.calls[hop].Add(1)
		if hop == chainHops-1 {
			w.WriteHeader(statusShed)
			return
		}
		next, err := http.NewRequestWithContext(r.Context(), http.MethodGet, fmt.Sprintf("http://%s/svc/%s/beds", daemon, hopName(hop+1)), nil)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		next.Header.Set(wire.HeaderCustomer, r.Header.Get(wire.HeaderCustomer))
		answer, err := http.DefaultClient.Do(next)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_ = answer.Body.Close()
		w.WriteHeader(answer.StatusCode)
	})
}

func hopName(hop int) model.ServiceName {
	return model.ServiceName(fmt.Sprintf("hop-%d", hop+1))
}
