package start

import (
	"io"
	"log/slog"

	"comfreytack/core/setup"
)

func newLog(settings setup.Log, out io.Writer) *slog.Logger {
	var level slog.Level
	// The settings were checked; an empty level stays at info.
	_ = level.UnmarshalText([]byte(settings.Level))
	options := &slog.HandlerOptions{Level: level}
	if settings.Format == "json" {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}
