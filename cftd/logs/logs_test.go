package logs_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/logs"
	"comfreytack/core/field"
)

// blockedWriter blocks each write until release is closed, as when the reader of the log has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(data []byte) (int, error) {
	<-s.release
	return len(data), nil
}

// TestLoggingDoesNotBlock logs far more lines than the limit while nobody reads the log. It ends only if logging never
// blocks. The lines that were not written must be counted.
func TestLoggingDoesNotBlock(t *testing.T) {
	const lines = 20_000
	out := blockedWriter{release: make(chan struct{})}
	now := time.Unix(1000, 0)
	sink := logs.New(func() time.Time { return now })
	log := slog.New(sink.Handler(slog.NewJSONHandler(sink, nil)))
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { sink.Run(ctx, out, log) })
	for range lines {
		log.Warn("call failed", field.Request, "7")
	}
	qt.Assert(t, sink.Dropped() >= lines-600, qt.IsTrue)
	stop()
	close(out.release)
	running.Wait()
}

// TestInfoLeavesRoomForWarnings checks that lines below the level of a warning leave room for warnings.
func TestInfoLeavesRoomForWarnings(t *testing.T) {
	now := time.Unix(1000, 0)
	sink := logs.New(func() time.Time { return now })
	log := slog.New(sink.Handler(slog.NewJSONHandler(sink, nil)))
	for range 1000 {
		log.Info("call served")
	}
	for range 100 {
		log.Warn("call failed")
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	var out bytes.Buffer
	sink.Run(ctx, &out, log)
	qt.Assert(t, strings.Count(out.String(), "call failed"), qt.Equals, 100)
	qt.Assert(t, strings.Count(out.String(), "call served"), qt.Equals, 301)
	qt.Assert(t, sink.Dropped(), qt.Equals, uint64(1000-301))

	now = now.Add(time.Second)
	log.Info("call served")
	qt.Assert(t, sink.Dropped(), qt.Equals, uint64(1000-301))
}
