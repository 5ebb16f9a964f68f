package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/client"
	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const testTimeout = 2 * time.Second

// daemon issues keys and answers sends from a script, one entry per send; "break" closes the connection.
type daemon struct {
	mu     sync.Mutex
	script []string
	issued uint64
	sends  []string
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.URL.Path == "/keys" {
		w.Header().Set(wire.HeaderVerdict, "ran")
		w.Header().Set(wire.HeaderReason, "none")
		var keys []string
		for range 2 {
			d.issued++
			keys = append(keys, `"`+wire.FormatKey(model.Key{Home: "reservas-1", Incarnation: 1, Sequence: d.issued})+`"`)
		}
		fmt.Fprintf(w, `{"keys":[%s]}`, strings.Join(keys, ","))
		return
	}
	key, _ := wire.ParseKey(r.Header.Get(wire.HeaderIdempotencyKey))
	d.sends = append(d.sends, fmt.Sprintf("key %d send %s", key.Sequence, r.Header.Get(wire.HeaderSend)))
	answer := d.script[0]
	d.script = d.script[1:]
	if answer == "break" {
		panic(http.ErrAbortHandler)
	}
	verdict, reason, _ := strings.Cut(answer, " ")
	w.Header().Set(wire.HeaderVerdict, verdict)
	w.Header().Set(wire.HeaderReason, reason)
	fmt.Fprint(w, "cot 4")
}

func TestOnce(t *testing.T) {
	tests := []struct {
		name      string
		script    []string
		wantSends []string
		want      string
	}{
		{name: "answered", script: []string{"ran none"}, wantSends: []string{"key 1 send 1"}},
		{name: "refused, then answered", script: []string{"not_run queue_full", "ran none"}, wantSends: []string{"key 1 send 1", "key 1 send 2"}},
		{name: "connection closed, then answered", script: []string{"break", "break", "ran none"}, wantSends: []string{"key 1 send 1", "key 1 send 2", "key 1 send 3"}},
		{name: "outcome stays unknown", script: []string{"break", "may_have_run upstream_died"}, wantSends: []string{"key 1 send 1", "key 1 send 2"}, want: "may_have_run: upstream_died"},
		{name: "home lost before the first send", script: []string{"not_run home_lost", "ran none"}, wantSends: []string{"key 1 send 1", "key 3 send 1"}},
		{name: "home lost later", script: []string{"break", "may_have_run home_lost"}, wantSends: []string{"key 1 send 1", "key 1 send 2"}, want: "may_have_run: home_lost"},
		{name: "refused for good", script: []string{"not_run no_contract"}, wantSends: []string{"key 1 send 1"}, want: "not_run: no_contract"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := &daemon{script: test.script}
			server := httptest.NewServer(d)
			defer server.Close()
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			c := client.New(client.Settings{
				Customer:  "police",
				Daemons:   []model.Address{model.Address(strings.TrimPrefix(server.URL, "http://"))},
				Batch:     2,
				Transport: transport,
			})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			answer, err := c.Once(ctx, client.Request{Service: "reservas", Method: http.MethodPost, Path: "/holds", Body: []byte("cot 4")})
			qt.Assert(t, d.sends, qt.DeepEquals, test.wantSends)
			if test.want != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.want)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(answer.Body), qt.Equals, "cot 4")
			qt.Assert(t, answer.Verdict, qt.Equals, model.Ran)
		})
	}
}
