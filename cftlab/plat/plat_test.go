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

// TestAfter applies commands in order and reads the changes above a revision.
func TestAfter(t *testing.T) {
	put := func(key string) func(plat.State) plat.State {
		return func(old plat.State) plat.State { return plat.Put(old, key, json.RawMessage("1")) }
	}
	drop := func(key string) func(plat.State) plat.State {
		return func(old plat.State) plat.State { return plat.Delete(old, key) }
	}
	fail := func(change plat.FaultChange) func(plat.State) plat.State {
		return func(old plat.State) plat.State { return plat.Fail(old, change) }
	}
	stale := func(on bool) func(plat.State) plat.State { return fail(plat.FaultChange{Stale: mo.Some(on)}) }
	tests := []struct {
		name     string
		commands []func(plat.State) plat.State
		after    model.Revision
		want     string
		revision model.Revision
	}{
		{"nothing", nil, 0, "", 0},
		{"in order", []func(plat.State) plat.State{put("b"), put("a")}, 0, "b1 a2", 2},
		{"above", []func(plat.State) plat.State{put("b"), put("a")}, 1, "a2", 2},
		{"newest of a key", []func(plat.State) plat.State{put("b"), put("a"), put("b")}, 0, "a2 b3", 3},
		{"deleted", []func(plat.State) plat.State{put("a"), drop("a")}, 1, "-a2", 2},
		{"stale", []func(plat.State) plat.State{put("a"), stale(true), put("b")}, 0, "a1", 1},
		{"stale no more", []func(plat.State) plat.State{put("a"), stale(true), put("b"), stale(false)}, 0, "a1 b2", 2},
		{
			"reordered",
			[]func(plat.State) plat.State{put("a"), put("b"), fail(plat.FaultChange{Reordered: mo.Some(true)})},
			0, "b2 a1", 2,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := plat.State{}
			for _, command := range test.commands {
				state = command(state)
			}
			got := plat.After(state, test.after, slices.Reverse)
			qt.Assert(t, render(got.Changes), qt.Equals, test.want)
			qt.Assert(t, got.Revision, qt.Equals, test.revision)
		})
	}
}

// render returns for example "a1 -b2" for a put of a and a deletion of b.
func render(changes []plat.Change) string {
	parts := []string{}
	for _, change := range changes {
		mark := ""
		if change.Deleted {
			mark = "-"
		}
		parts = append(parts, mark+change.Key+string(rune('0'+change.Revision)))
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
	qt.Assert(t, render(plat.After(state, 0, slices.Reverse).Changes), qt.Equals, "contracts/a1 services/b2")
	_, err = plat.Load(fstest.MapFS{"a.json": {Data: []byte(`{`)}})
	qt.Assert(t, err, qt.ErrorMatches, "load keys: a.json: not JSON")
}

// TestServe watches over HTTP while an operator writes, and switches faults.
func TestServe(t *testing.T) {
	platform := plat.New(t.Context(), plat.State{})
	readers, operators := platform.Handler(), platform.ControlHandler()
	watched := make(chan string, 1)
	go func() { _, body := serve(t, readers, "GET", "/v1/changes?after=0&wait=60000", ""); watched <- body }()
	for platform.Counts().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	code, body := serve(t, operators, "PUT", "/v1/keys/marks/u-1", `{"state":"leaving"}`)
	qt.Assert(t, code, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Contains, `"revision":1`)
	want := `{"revision":1,"changes":[{"key":"marks/u-1","revision":1,"value":{"state":"leaving"}}]}` + "\n"
	qt.Assert(t, <-watched, qt.Equals, want)
	code, _ = serve(t, operators, "PUT", "/v1/keys/marks/u-1", `{`)
	qt.Assert(t, code, qt.Equals, http.StatusBadRequest)
	code, _ = serve(t, operators, "POST", "/control", `{"down":true}`)
	qt.Assert(t, code, qt.Equals, http.StatusOK)
	code, _ = serve(t, readers, "GET", "/v1/changes", "")
	qt.Assert(t, code, qt.Equals, http.StatusServiceUnavailable)
	counts := platform.Counts()
	qt.Assert(t, counts.Reads, qt.Equals, 2)
	qt.Assert(t, counts.Waiting, qt.Equals, 0)
	qt.Assert(t, counts.Callers, qt.DeepEquals, map[string]int{"lab": 2})
}

func serve(t *testing.T, handler http.Handler, method, path, body string) (int, string) {
	request := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	request.Header.Set("User-Agent", "lab")
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	answer, err := io.ReadAll(recorder.Body)
	qt.Check(t, err, qt.IsNil)
	return recorder.Code, string(answer)
}
