package start

import (
	"log/slog"

	"comfreytack/cftd/logs"
	"comfreytack/core/setup"
)

// newLog returns a logger that writes to the sink.
func newLog(settings setup.Log, sink *logs.Sink) *slog.Logger {
	var level slog.Level
	// The settings were validated when they were read; an empty level leaves the default, info.
	_ = level.UnmarshalText([]byte(settings.Level))
	options := &slog.HandlerOptions{Level: level}
	if settings.Format == "json" {
		return slog.New(sink.Handler(slog.NewJSONHandler(sink, options)))
	}
	return slog.New(sink.Handler(slog.NewTextHandler(sink, options)))
}
