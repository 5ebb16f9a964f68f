package plat_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/mo"

	"comfreytack/cftlab/plat"
	"comfreytack/core/model"
)

// TestChangesAfter applies commands in order and reads the changes after a revision.
func TestChangesAfter(t *testing.T) {
	put := func(key string) func(plat.State) plat.State {
		return func(old plat.State) plat.State { return plat.Put(old, key, json.RawMessage("1")) }
	}
	remove := func(key string) func(plat.State) plat.State {
		return func(old plat.State) plat.State { return plat.Delete(old, key) }
	}
	setFaults := func(change plat.FaultChange) func(plat.State) plat.State {
		return func(old plat.State) plat.State { return plat.SetFaults(old, change) }
	}
	stale := func(on bool) func(plat.State) plat.State { return setFaults(plat.FaultChange{Stale: mo.Some(on)}) }
	tests := []struct {
		name     string
		commands []func(plat.State) plat.State
		after    model.Revision
		want     string
		revision model.Revision
	}{
		{"nothing", nil, 0, "", 0},
		{"in order", []func(plat.State) plat.State{put("b"), put("a")}, 0, "b1 a2", 2},
		{"after a revision", []func(plat.State) plat.State{put("b"), put("a")}, 1, "a2", 2},
		{"newest of a key", []func(plat.State) plat.State{put("b"), put("a"), put("b")}, 0, "a2 b3", 3},
		{"deleted", []func(plat.State) plat.State{put("a"), remove("a")}, 1, "-a2", 2},
		{"stale", []func(plat.State) plat.State{put("a"), stale(true), put("b")}, 0, "a1", 1},
		{"no longer stale", []func(plat.State) plat.State{put("a"), stale(true), put("b"), stale(false)}, 0, "a1 b2", 2},
		{
			"reordered",
			[]func(plat.State) plat.State{put("a"), put("b"), setFaults(plat.FaultChange{Reordered: mo.Some(true)})},
			0, "b2 a1", 2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := plat.State{}
			for _, command := range test.commands {
				state = command(state)
			}
			got := plat.ChangesAfter(state, test.after, slices.Reverse)
			qt.Assert(t, render(got.Changes), qt.Equals, test.want)
			qt.Assert(t, got.Revision, qt.Equals, test.revision)
		})
	}
}

// render returns for example "a1 -b2" for a put of a and a deletion of b.
func render(changes []plat.Change) string {
	parts := []string{}
	for _, change := range changes {
		sign := ""
		if change.Deleted {
			sign = "-"
		}
		parts = append(parts, sign+change.Key+string(rune('0'+change.Revision)))
	}
	return strings.Join(parts, " ")
}

func TestLoad(t *testing.T) {
	state, err := plat.Load(fstest.MapFS{
		"services/b.json":  {Data: []byte(`{}`)},
		"contracts/a.json": {Data: []byte(`{}`)},
		"notes.txt":        {Data: []byte(`skipped`)},
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, render(plat.ChangesAfter(state, 0, slices.Reverse).Changes), qt.Equals, "contracts/a1 services/b2")
	_, err = plat.Load(fstest.MapFS{"a.json": {Data: []byte(`{`)}})
	qt.Assert(t, err, qt.ErrorMatches, "load keys: a.json: not JSON")
}

// TestServe checks that a watch over HTTP returns the value that an operator publishes while it waits, that invalid
// values are rejected, and that reads fail while the platform is switched down.
func TestServe(t *testing.T) {
	platform := plat.New(t.Context(), plat.State{})
	readers, operators := platform.Handler(), platform.ControlHandler()
	watched := make(chan string, 1)
	go func() { _, body := send(t, readers, "GET", "/v1/changes?after=0&wait=60000", ""); watched <- body }()
	for platform.Counts().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	code, body := send(t, operators, "PUT", "/v1/keys/marks/u-1", `{"state":"leaving"}`)
	qt.Assert(t, code, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Contains, `"revision":1`)
	want := `{"revision":1,"changes":[{"key":"marks/u-1","revision":1,"value":{"state":"leaving"}}]}` + "\n"
	qt.Assert(t, <-watched, qt.Equals, want)
	code, _ = send(t, operators, "PUT", "/v1/keys/marks/u-1", `{`)
	qt.Assert(t, code, qt.Equals, http.StatusBadRequest)
	code, _ = send(t, operators, "POST", "/control", `{"down":true}`)
	qt.Assert(t, code, qt.Equals, http.StatusOK)
	code, _ = send(t, readers, "GET", "/v1/changes", "")
	qt.Assert(t, code, qt.Equals, http.StatusServiceUnavailable)
	counts := platform.Counts()
	qt.Assert(t, counts.Reads, qt.Equals, 2)
	qt.Assert(t, counts.Waiting, qt.Equals, 0)
	qt.Assert(t, counts.Callers, qt.DeepEquals, map[string]int{"lab": 2})
}

func send(t *testing.T, handler http.Handler, method, path, body string) (int, string) {
	request := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	request.Header.Set("User-Agent", "lab")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	answer, err := io.ReadAll(recorder.Body)
	qt.Check(t, err, qt.IsNil)
	return recorder.Code, string(answer)
}
