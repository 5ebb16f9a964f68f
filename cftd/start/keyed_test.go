package start

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/setup"
	"comfreytack/core/wire"
)

// counter is an upstream that counts executions by request body. The start of the body selects what it does: "slow"
// waits for release, "dies" breaks the connection, "sheds" refuses, "large" returns a large answer.
type counter struct {
	mu         sync.Mutex
	executions map[string]int
	release    chan struct{}
	// releaseAll ends the wait of all requests with a slow body, present and future.
	releaseAll func()
}

func (c *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		_, _ = io.WriteString(w, `{"draining":false,"in_flight":0,"slots":10}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	c.executions[string(body)]++
	nth := c.executions[string(body)]
	c.mu.Unlock()
	switch {
	case strings.HasPrefix(string(body), "slow"):
		<-c.release
	case strings.HasPrefix(string(body), "dies"):
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(string(body), "sheds"):
		w.WriteHeader(statusShed)
		return
	case strings.HasPrefix(string(body), "large"):
		_, _ = io.WriteString(w, strings.Repeat("x", 300_000))
		return
	}
	_, _ = fmt.Fprintf(w, "%s run %d", body, nth)
}

func (c *counter) count(body string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executions[body]
}

func startCounter(t testing.TB) (*counter, *fleet) {
	t.Helper()
	return startCounterBy(t, startDaemon)
}

func startCounterBy(t testing.TB, start func(testing.TB, setup.Settings)) (*counter, *fleet) {
	t.Helper()
	release := make(chan struct{})
	c := &counter{executions: map[string]int{}, release: release, releaseAll: sync.OnceFunc(func() { close(release) })}
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return c, startFleetBy(t, 3, model.Address(strings.TrimPrefix(server.URL, "http://")), start)
}

func fetchKeys(t testing.TB, settings setup.Settings, count int) []string {
	t.Helper()
	answer, err := http.Post(fmt.Sprintf("http://%s/keys?customer=police&service=reservas&count=%d", settings.Callers, count), "", nil)
	qt.Assert(t, err, qt.IsNil)
	defer answer.Body.Close()
	var list struct{ Keys []string }
	qt.Assert(t, json.NewDecoder(answer.Body).Decode(&list), qt.IsNil)
	qt.Assert(t, list.Keys, qt.HasLen, count)
	return list.Keys
}

// result is what the caller of one send receives; status is 0 when there was no complete answer.
type result struct {
	status  int
	verdict string
	reason  string
	body    string
}

// transport uses a new connection for each request, so that it never re-sends a request by itself.
var transport = &http.Transport{DisableKeepAlives: true}

func sendKeyed(ctx context.Context, settings setup.Settings, key string, send int, body string) result {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(settings.Callers)+"/svc/reservas/holds", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return result{reason: err.Error()}
	}
	request.ContentLength = int64(len(body))
	request.Header.Set(wire.HeaderCustomer, "police")
	request.Header.Set(wire.HeaderIdempotencyKey, key)
	if send > 0 {
		request.Header.Set(wire.HeaderSend, strconv.Itoa(send))
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		return result{reason: err.Error()}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return result{reason: err.Error()}
	}
	if len(text) > 30 || answer.StatusCode != http.StatusOK {
		text = nil
	}
	return result{answer.StatusCode, answer.Header.Get(wire.HeaderVerdict), answer.Header.Get(wire.HeaderReason), string(text)}
}

// TestSendsOfAKey sends each key through several daemons, one send after another.
func TestSendsOfAKey(t *testing.T) {
	t.Parallel()
	const (
		// The test replaces issuedKey by a new key of the first daemon, and otherIncarnation by a key that names another
		// incarnation of it.
		issuedKey        = ""
		uuid             = "7b1c2c9e-0f4e-4a53-9f0e-5f4d1f6f7a10"
		otherIncarnation = "reservas-1.0123456789abcdef.1"
	)
	type send struct {
		daemon int
		number int
		body   string
		want   result
	}
	ran := func(body string) result { return result{200, "ran", "none", body + " run 1"} }
	tests := []struct {
		name           string
		key            string
		sends          []send
		wantExecutions int
	}{
		{name: "through each daemon", key: issuedKey, wantExecutions: 1, sends: []send{
			{0, 1, "cot 1", ran("cot 1")}, {1, 2, "cot 1", ran("cot 1")}, {2, 3, "cot 1", ran("cot 1")}, {0, 0, "cot 1", ran("cot 1")},
		}},
		{name: "another request with the key", key: issuedKey, wantExecutions: 1, sends: []send{
			{1, 1, "cot 2", ran("cot 2")}, {0, 2, "cot 3", result{400, "not_run", "bad_request", ""}}, {2, 2, "cot 2", ran("cot 2")},
		}},
		{name: "upstream dies", key: issuedKey, wantExecutions: 1, sends: []send{
			{1, 1, "dies", result{502, "may_have_run", "upstream_died", ""}}, {2, 2, "dies", result{502, "may_have_run", "upstream_died", ""}},
		}},
		{name: "caller's own key", key: uuid, sends: []send{{0, 1, "cot 4", result{400, "not_run", "key_unknown", ""}}}},
		{name: "large answer", key: issuedKey, wantExecutions: 1, sends: []send{
			{1, 1, "large", result{200, "ran", "none", ""}}, {1, 2, "large", result{409, "may_have_run", "key_expired", ""}},
		}},
		{name: "large body", key: issuedKey, sends: []send{{0, 1, strings.Repeat("x", 100_000), result{400, "not_run", "bad_request", ""}}}},
		{name: "home of another incarnation", key: otherIncarnation, sends: []send{
			{1, 1, "cot 5", result{502, "not_run", "home_lost", ""}},
			{1, 2, "cot 5", result{502, "may_have_run", "home_lost", ""}},
			{1, 0, "cot 5", result{502, "may_have_run", "home_lost", ""}},
		}},
	}
	c, f := startCounter(t)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			key := test.key
			switch key {
			case issuedKey:
				key = fetchKeys(t, f.daemons[0], 1)[0]
			case otherIncarnation:
				key = wire.FormatKey(model.Key{Home: f.daemons[0].Name, Incarnation: 7, Sequence: 1})
			}
			for _, s := range test.sends {
				got := sendKeyed(t.Context(), f.daemons[s.daemon], key, s.number, s.body)
				qt.Check(t, got, qt.Equals, s.want)
			}
			qt.Check(t, c.count(test.sends[0].body), qt.Equals, test.wantExecutions)
		})
	}
}

// TestRefusedSends has upstreams that shed all sends of a key. A repeated send number must not reach an upstream again;
// a higher one must.
func TestRefusedSends(t *testing.T) {
	t.Parallel()
	c, f := startCounter(t)
	key := fetchKeys(t, f.daemons[0], 1)[0]
	first := sendKeyed(t.Context(), f.daemons[1], key, 1, "sheds")
	qt.Assert(t, first.verdict, qt.Equals, "not_run")
	attempts := c.count("sheds")
	again := sendKeyed(t.Context(), f.daemons[2], key, 1, "sheds")
	qt.Assert(t, again.verdict, qt.Equals, "not_run")
	qt.Assert(t, c.count("sheds"), qt.Equals, attempts)
	next := sendKeyed(t.Context(), f.daemons[2], key, 2, "sheds")
	qt.Assert(t, next.verdict, qt.Equals, "not_run")
	qt.Assert(t, c.count("sheds") > attempts, qt.IsTrue)
}

// TestSendsWhileRunning sends a key ten times at once while its first send runs, whose caller has disconnected. All
// must receive the answer of that one execution.
func TestSendsWhileRunning(t *testing.T) {
	t.Parallel()
	const sends = 10
	c, f := startCounter(t)
	key := fetchKeys(t, f.daemons[0], 1)[0]
	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan result, 1)
	go func() { cancelled <- sendKeyed(ctx, f.daemons[1], key, 1, "slow") }()
	eventually(t, func() bool { return c.count("slow") == 1 })
	cancel()
	qt.Assert(t, (<-cancelled).status, qt.Equals, 0)
	results := make(chan result, sends)
	for i := range sends {
		go func() { results <- sendKeyed(t.Context(), f.daemons[i%3], key, i+2, "slow") }()
	}
	time.Sleep(20 * time.Millisecond)
	c.releaseAll()
	for range sends {
		qt.Check(t, <-results, qt.Equals, result{200, "ran", "none", "slow run 1"})
	}
	qt.Assert(t, c.count("slow"), qt.Equals, 1)
}

// TestRequestsForKeys fetches keys from a daemon of the service, and from one of another service, which has to forward
// the request.
func TestRequestsForKeys(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name       string
		query      string
		wantStatus int
		wantReason string
	}{
		{"a batch", "customer=police&service=reservas&count=20", 200, "none"},
		{"no contract", "customer=nobody&service=reservas&count=1", 403, "no_contract"},
		{"no service", "customer=police&service=laundry&count=1", 404, "no_service"},
		{"too many", "customer=police&service=reservas&count=257", 400, "bad_request"},
		{"not a number", "customer=police&service=reservas&count=x", 400, "bad_request"},
	}
	_, f := startCounter(t)
	other := f.daemons[0]
	other.Name, other.Service, other.Calls = "admisiones-1", "admisiones", []model.ServiceName{"reservas"}
	other.Callers, other.Gate, other.Peer, other.Operators = freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	startDaemon(t, other)
	for _, test := range tests {
		for _, settings := range []setup.Settings{f.daemons[0], other} {
			t.Run(test.name+" from "+string(settings.Name), func(t *testing.T) {
				answer, err := http.Post("http://"+string(settings.Callers)+"/keys?"+test.query, "", nil)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, answer.Body.Close(), qt.IsNil)
				qt.Check(t, answer.StatusCode, qt.Equals, test.wantStatus)
				qt.Check(t, answer.Header.Get(wire.HeaderReason), qt.Equals, test.wantReason)
			})
		}
	}
	key := fetchKeys(t, other, 1)[0]
	qt.Assert(t, sendKeyed(t.Context(), other, key, 1, "cot 9"), qt.Equals, result{200, "ran", "none", "cot 9 run 1"})
}
