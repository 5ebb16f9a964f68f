package start

import (
	"context"
	"log/slog"
	"net/http"

	"comfreytack/cftd/feed"
	"comfreytack/cftd/talk"
	"comfreytack/core/command/budget"
	"comfreytack/core/command/daemon"
	"comfreytack/core/setup"
)

// PlatformReader carries reads of the platform out.
type PlatformReader interface {
	// Read carries out one read and posts exactly one daemon.ChangesRead, unless ctx ends first.
	Read(ctx context.Context, read daemon.ReadPlatform)
	// Counts returns how many reads were made, and how many of them gave no usable answer.
	Counts() (reads, failures uint64)
}

// ReaderSettings has what every reader of a platform needs.
type ReaderSettings struct {
	// Settings are the daemon's.
	Settings setup.Settings
	// Post hands an event to the control goroutine; it does not block.
	Post func(daemon.Event) bool
	// Log takes what the reader finds.
	Log *slog.Logger
}

// Front ties the daemon to its surroundings: how callers and upstreams speak, and where its configuration
// comes from.
type Front[D talk.Dialect] struct {
	// Dialect is how callers and upstreams speak.
	Dialect D
	// PlatformReader returns the reader of the platform.
	PlatformReader func(ReaderSettings) PlatformReader
	// Defaults are the options that the command line may override.
	Defaults Options
	// Retries bounds the retries of this daemon's calls.
	Retries budget.Settings
	// UsableShare is the share of the published slots that the gate hands out, above 0 and at most 1.
	UsableShare float64
	// Issues says that callers may fetch idempotency keys.
	Issues bool
	// Probes says that the upstream is asked by timer whether it drains.
	Probes bool
	// LinesDropped counts the log lines that were not written; nil when nobody counts.
	LinesDropped func() uint64
	// Leased says that daemons read the platform by the freshness of what they know.
	Leased bool
}

// Native is the front of the project's own interface.
var Native = Front[talk.Native]{
	PlatformReader: func(s ReaderSettings) PlatformReader {
		return feed.New(feed.Settings{Platform: s.Settings.Platform, Client: http.DefaultClient, Post: s.Post, Log: s.Log})
	},
	Defaults: Options{Policy: "weighted_choices", Limiter: "fixed", Discipline: "fair"},
	Retries:  budget.DefaultSettings(),

	UsableShare: 1,

	Issues: true,
	Probes: true,
}
