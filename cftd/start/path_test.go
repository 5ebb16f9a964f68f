package start

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/setup"
	"comfreytack/core/wire"
)

const (
	// readyTimeout ends a test whose daemon never gets ready. It does not bound the start, which a busy machine delays.
	readyTimeout = 2 * time.Minute
	firstPort    = 12_000
	ports        = 20_000

	portsPerProcess = 200
	// stopMs leaves time for connections that never carried a request: the server waits 5 s for them.
	stopMs = 10_000
	// statusShed is the status with which upstreams refuse a request before any work.
	statusShed = 529
	// bulkPath is the path of a route whose class is long.
	bulkPath = "/bulk"
)

var portsTaken atomic.Int64

// testOptions are the default options.
var testOptions = Options{Policy: "weighted_choices", Discipline: "fair", Limiter: "fixed"}

// fleet is a set of daemons of one service, with fakes of the platform and the upstream.
type fleet struct {
	daemons []setup.Settings
}

func TestPathOfACall(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2)
	tests := []struct {
		name        string
		method      string
		path        string
		customer    string
		body        string
		wantStatus  int
		wantVerdict string
		wantReason  string
		wantBody    string
	}{
		{"lookup", "GET", "/svc/reservas/beds?near=quito", "police", "", 200, "ran", "none", "GET /beds?near=quito police "},
		{"hold", "POST", "/svc/reservas/holds", "police", "bed 7", 200, "ran", "none", "POST /holds police bed 7"},
		{"a method of its own", "SEARCH", "/svc/reservas/beds?", "police", "", 200, "ran", "none", "SEARCH /beds? police "},
		{"another path for keys", "GET", "/keys", "police", "", 404, "not_run", "no_service", ""},
		{"no contract", "GET", "/svc/reservas/beds", "nobody", "", 403, "not_run", "no_contract", ""},
		{"no service", "GET", "/svc/laundry/beds", "police", "", 404, "not_run", "no_service", ""},
		{"large body", "POST", "/svc/reservas/holds", "police", strings.Repeat("x", 200_000), 200, "ran", "none", "POST /holds police " + strings.Repeat("x", 200_000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, settings := range f.daemons {
				request, err := http.NewRequest(test.method, "http://"+string(settings.Callers)+test.path, strings.NewReader(test.body))
				qt.Assert(t, err, qt.IsNil)
				request.Header.Set(wire.HeaderCustomer, test.customer)
				answer, err := http.DefaultClient.Do(request)
				qt.Assert(t, err, qt.IsNil)
				body, err := io.ReadAll(answer.Body)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, answer.Body.Close(), qt.IsNil)
				qt.Check(t, answer.StatusCode, qt.Equals, test.wantStatus)
				qt.Check(t, answer.Header.Get(wire.HeaderVerdict), qt.Equals, test.wantVerdict)
				qt.Check(t, answer.Header.Get(wire.HeaderReason), qt.Equals, test.wantReason)
				if test.wantBody != "" {
					qt.Check(t, string(body), qt.Equals, test.wantBody)
				}
			}
		})
	}
}

// startFleet starts daemons of one service that share one fake upstream, and waits until all are ready.
func startFleet(t testing.TB, size int) *fleet {
	t.Helper()
	upstream := httptest.NewServer(http.HandlerFunc(echo))
	t.Cleanup(upstream.Close)
	return startFleetOf(t, size, model.Address(strings.TrimPrefix(upstream.URL, "http://")))
}

func startFleetOf(t testing.TB, size int, upstream model.Address) *fleet {
	t.Helper()
	return startFleetBy(t, size, upstream, startDaemon)
}

func startFleetBy(t testing.TB, size int, upstream model.Address, start func(testing.TB, setup.Settings)) *fleet {
	t.Helper()
	f := &fleet{}
	service := model.Service{
		Name:        "reservas",
		Slots:       10,
		Connections: 250,
		ShedStatus:  statusShed,
		Routes:      []model.Route{{PathPrefix: bulkPath, Class: model.Long}},
	}
	for i := range size {
		settings := setup.Settings{
			Name:          model.UpstreamName(fmt.Sprintf("reservas-%d", i+1)),
			Service:       "reservas",
			FailureDomain: "quito-sur",
			Callers:       freeAddress(t),
			Gate:          freeAddress(t),
			Peer:          freeAddress(t),
			Operators:     freeAddress(t),
			Upstream:      upstream,
			StopMs:        stopMs,
		}
		f.daemons = append(f.daemons, settings)
		service.Upstreams = append(service.Upstreams, model.Upstream{
			Name: settings.Name, Service: "reservas", FailureDomain: "quito-sur", Gate: settings.Gate, Peer: settings.Peer, Incarnation: 1,
		})
	}
	platform := httptest.NewServer(platformOf(t, service))
	t.Cleanup(platform.Close)
	for i := range f.daemons {
		f.daemons[i].Platform = []model.Address{model.Address(strings.TrimPrefix(platform.URL, "http://"))}
		start(t, f.daemons[i])
	}
	return f
}

func startDaemon(t testing.TB, settings setup.Settings) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, Native, settings, testOptions, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		stop()
		qt.Check(t, <-done, qt.IsNil)
	})
	waitReady(t, settings)
}

func waitReady(t testing.TB, settings setup.Settings) {
	t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		answer, err := http.Get("http://" + string(settings.Operators) + "/ready")
		if err == nil {
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s is not ready", settings.Name)
}

// echo returns the request in its answer, so that a test can check that the answer belongs to its request.
func echo(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		_, _ = io.WriteString(w, `{"draining":false,"in_flight":0,"slots":10}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %s %s", r.Method, r.URL, r.Header.Get(wire.HeaderCustomer), body)
}

func platformOf(t testing.TB, services ...model.Service) http.Handler {
	t.Helper()
	type change struct {
		Key      string         `json:"key"`
		Revision model.Revision `json:"revision"`
		Value    any            `json:"value"`
	}
	contract := model.Contract{Customer: "police", Weight: 10, DeadlineMs: 2000, LongestMs: 20000}
	changes := []change{{"contracts/police", 1, contract}}
	for _, service := range services {
		changes = append(changes, change{"services/" + string(service.Name), model.Revision(len(changes) + 1), service})
	}
	newest := strconv.Itoa(len(changes))
	document, err := json.Marshal(map[string]any{"revision": len(changes), "changes": changes})
	qt.Assert(t, err, qt.IsNil)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == newest {
			select {
			case <-r.Context().Done():
			case <-time.After(200 * time.Millisecond):
			}
			_, _ = io.WriteString(w, `{"revision":`+newest+`,"changes":[]}`)
			return
		}
		_, _ = w.Write(document)
	})
}

// freeAddress returns a loopback address that was free a moment ago. Its port is below the ephemeral ports: the system
// could give one of those to an outgoing connection before the daemon listens.
func freeAddress(t testing.TB) model.Address {
	t.Helper()
	for {
		// Tests of this process never get the same port twice, and those of other processes rarely get it.
		offset := os.Getpid()*portsPerProcess + int(portsTaken.Add(1))
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+offset%ports)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		qt.Assert(t, listener.Close(), qt.IsNil)
		return model.Address(address)
	}
}
