// Package logs writes structured logs at a bounded rate, and never blocks the goroutine that logs.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"comfreytack/core/field"
)

const (
	// linesPerSecond and burst are the rate and the capacity of the token bucket; each line takes one token.
	linesPerSecond = 300
	burst          = 600
	// routineShare is the share of the burst that must be left when a line below the level of a warning is logged. The
	// lines of successful calls then leave room for those of failures.
	routineShare = 0.5
	// backlog bounds the queued lines; they wait there when the reader of the log is slow.
	backlog = 1024
	// batchBytes is the size from which no further line is added to a write.
	batchBytes = 16 << 10
	// reportInterval is the time between two log lines about dropped lines; there is none if no line was dropped.
	reportInterval = time.Second
)

// Sink queues log lines and writes them in the goroutine of Run. It is an io.Writer for a slog.Handler.
type Sink struct {
	lines   chan []byte
	dropped atomic.Uint64
	now     func() time.Time

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// New returns a sink that has not started.
func New(now func() time.Time) *Sink {
	return &Sink{lines: make(chan []byte, backlog), now: now, tokens: burst, refilledAt: now()}
}

// Dropped returns the number of lines that were not written, because of the rate limit or a full queue.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then the queued ones. A reader that has stopped reading blocks only this
// goroutine.
func (s *Sink) Run(ctx context.Context, out io.Writer, log *slog.Logger) {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	reported := uint64(0)
	for {
		select {
		case line := <-s.lines:
			s.write(out, line)
		case <-report.C:
			if dropped := s.Dropped(); dropped != reported {
				log.Warn("log lines dropped", field.Dropped, dropped-reported)
				reported = dropped
			}
		case <-ctx.Done():
			for len(s.lines) > 0 {
				s.write(out, <-s.lines)
			}
			return
		}
	}
}

// write writes a line together with queued ones. It ignores errors, since an error of the log can't be logged.
func (s *Sink) write(out io.Writer, batch []byte) {
	for len(batch) < batchBytes && len(s.lines) > 0 {
		batch = append(batch, <-s.lines...)
	}
	_, _ = out.Write(batch)
}

// allow takes a token for a line of the given level and reports whether there was one.
func (s *Sink) allow(level slog.Level) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.tokens = min(burst, s.tokens+now.Sub(s.refilledAt).Seconds()*linesPerSecond)
	s.refilledAt = now
	needed := 1.0
	if level < slog.LevelWarn {
		needed = routineShare * burst
	}
	if s.tokens < needed {
		return false
	}
	s.tokens--
	return true
}

// Handler returns a handler that passes records to the wrapped one within the sink's rate limit.
func (s *Sink) Handler(wrapped slog.Handler) slog.Handler {
	return limitedHandler{Handler: wrapped, sink: s}
}

// limitedHandler drops records over the sink's rate limit.
type limitedHandler struct {
	slog.Handler
	sink *Sink
}

// Handle implements slog.Handler. A record over the limit is dropped before it is encoded.
func (b limitedHandler) Handle(ctx context.Context, record slog.Record) error {
	if !b.sink.allow(record.Level) {
		b.sink.dropped.Add(1)
		return nil
	}
	return b.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (b limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return limitedHandler{Handler: b.Handler.WithAttrs(attrs), sink: b.sink}
}

// WithGroup implements slog.Handler.
func (b limitedHandler) WithGroup(name string) slog.Handler {
	return limitedHandler{Handler: b.Handler.WithGroup(name), sink: b.sink}
}
