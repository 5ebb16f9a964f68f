package feed_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-json-experiment/json/jsontext"

	"comfreytack/cftd/feed"
	"comfreytack/core/command/daemon"
	"comfreytack/core/model"
)

func TestRead(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   daemon.ChangesRead
	}{
		{"changes", 200, `{"revision":9,"changes":[{"key":"contracts/a","revision":8,"value":{"weight":1}},{"key":"marks/b","revision":9,"deleted":true}]}`,
			daemon.ChangesRead{Delta: model.Delta{After: 7, Revision: 9, Changes: []model.Change{
				{Key: "contracts/a", Revision: 8, Value: jsontext.Value(`{"weight":1}`)},
				{Key: "marks/b", Revision: 9, Deleted: true},
			}}}},
		{"nothing new", 200, `{"revision":7,"changes":[]}`, daemon.ChangesRead{Delta: model.Delta{After: 7, Revision: 7, Changes: []model.Change{}}}},
		{"overloaded", 503, "", daemon.ChangesRead{Failed: true}},
		{"cut off", 200, `{"revision":9,"changes":[`, daemon.ChangesRead{Failed: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			asked := ""
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked = r.URL.String()
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			events := make(chan daemon.Event, 1)
			reads := feed.New(feed.Settings{
				Platform: []model.Address{model.Address(strings.TrimPrefix(server.URL, "http://"))},
				Client:   server.Client(),
				Post:     func(e daemon.Event) bool { events <- e; return true },
				Log:      slog.New(slog.DiscardHandler),
			})
			reads.Read(context.Background(), daemon.ReadPlatform{After: 7, Wait: 2 * time.Second})
			qt.Assert(t, <-events, qt.DeepEquals, daemon.Event(test.want))
			qt.Assert(t, asked, qt.Equals, "/v1/changes?after=7&wait=2000")
		})
	}
}
