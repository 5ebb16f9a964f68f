package loop_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/loop"
	"comfreytack/core/model"
)

// counter counts events in its revision and returns one effect for each.
type counter struct {
	revision model.Revision
	// suspended has the suspension passed to each call of Tick.
	suspended []time.Duration
}

func (c *counter) Apply(_ time.Time, event string) []model.Revision {
	if event == malformed {
		panic(event)
	}
	c.revision++
	return []model.Revision{c.revision}
}

func (c *counter) Tick(_ time.Time, suspended time.Duration) []model.Revision {
	c.suspended = append(c.suspended, suspended)
	return nil
}

func (c *counter) Snapshot(now time.Time) *model.Snapshot {
	return &model.Snapshot{Revision: c.revision, PublishedAt: now}
}

// malformed is an event that the counter cannot handle.
const malformed = "malformed"

// TestPanicsAreContained checks that an event which makes the Machine panic ends neither the process nor the loop: it
// changes nothing, and the events after it are handled.
func TestPanicsAreContained(t *testing.T) {
	tests := []struct {
		name          string
		events        []string
		wantRevision  model.Revision
		wantContained uint64
	}{
		{name: "none", events: []string{"a", "b"}, wantRevision: 2},
		{name: "one", events: []string{"a", malformed, "b"}, wantRevision: 2, wantContained: 1},
		{name: "again and again", events: []string{malformed, malformed, malformed, "a"}, wantRevision: 1, wantContained: 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var causes []any
				l := loop.New(loop.Settings{
					TickInterval: time.Second, Backlog: len(test.events), Now: time.Now,
					Panicked: func(cause any) { causes = append(causes, cause) },
				}, &counter{}, func(model.Revision) {})
				for _, event := range test.events {
					qt.Assert(t, l.Post(event), qt.IsTrue)
				}
				ctx, stop := context.WithTimeout(context.Background(), 500*time.Millisecond)
				defer stop()
				l.Run(ctx)
				qt.Assert(t, l.Snapshot().Revision, qt.Equals, test.wantRevision)
				qt.Assert(t, l.Contained(), qt.Equals, test.wantContained)
				qt.Assert(t, causes, qt.HasLen, int(test.wantContained))
			})
		})
	}
}

func TestRun(t *testing.T) {
	tests := []struct {
		name         string
		posted       int
		wantRevision model.Revision
		wantDropped  uint64
	}{
		{"no event", 0, 0, 0},
		{"as many as fit", 3, 3, 0},
		{"more than fit", 5, 3, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				machine := &counter{}
				var l *loop.Loop[string, model.Revision]
				var performed []model.Revision
				began := time.Now()
				// The machine is suspended for one minute between the first and second tick.
				suspended := func() time.Duration {
					if time.Since(began) > 1500*time.Millisecond {
						return time.Minute
					}
					return 0
				}
				l = loop.New(loop.Settings{TickInterval: time.Second, Backlog: 3, Now: time.Now, Suspended: suspended}, machine, func(effect model.Revision) {
					// The state is visible before its effects are carried out.
					qt.Assert(t, l.Snapshot().Revision, qt.Equals, effect)
					performed = append(performed, effect)
				})
				for range test.posted {
					l.Post("event")
				}
				ctx, stop := context.WithTimeout(context.Background(), 2500*time.Millisecond)
				defer stop()
				l.Run(ctx)
				qt.Assert(t, l.Snapshot().Revision, qt.Equals, test.wantRevision)
				qt.Assert(t, len(performed), qt.Equals, int(test.wantRevision))
				qt.Assert(t, l.Dropped(), qt.Equals, test.wantDropped)
				qt.Assert(t, machine.suspended, qt.DeepEquals, []time.Duration{0, time.Minute})
				qt.Assert(t, l.Snapshot().Suspended, qt.Equals, time.Minute)
			})
		})
	}
}
