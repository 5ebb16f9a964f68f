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

// PlatformReader reads the configuration from the platform.
type PlatformReader interface {
	// Read performs one read and posts exactly one daemon.ChangesRead, unless ctx ends first.
	Read(ctx context.Context, read daemon.ReadPlatform)
	// Counts returns the number of reads, and how many of them gave no usable answer.
	Counts() (reads, failures uint64)
}

// ReaderSettings has the dependencies that every PlatformReader needs.
type ReaderSettings struct {
	// Settings are the settings of the daemon.
	Settings setup.Settings
	// Post hands an event to the control goroutine; it does not block.
	Post func(daemon.Event) bool
	// Log receives the reader's log lines.
	Log *slog.Logger
}

// Front is a front end of the daemon: the protocol of callers and upstreams, the source of the configuration, and the
// defaults that depend on them.
type Front[D talk.Dialect] struct {
	// Dialect is the protocol of callers and upstreams.
	Dialect D
	// PlatformReader returns a reader of the platform.
	PlatformReader func(ReaderSettings) PlatformReader
	// Defaults are the values of options that the command line does not set.
	Defaults Options
	// Retries bounds the retries of this daemon's calls.
	Retries budget.Settings
	// UsableShare is the share of the published slots that the gate hands out, above 0 and at most 1.
	UsableShare float64
	// IssuesKeys allows callers to fetch idempotency keys from this daemon.
	IssuesKeys bool
	// ProbeUpstream makes the daemon probe its upstream regularly and ask whether it is draining.
	ProbeUpstream bool
	// LinesDropped returns the number of log lines that were not written; nil when they are not counted.
	LinesDropped func() uint64
	// Leased makes a daemon read the platform when its knowledge gets old; see daemon.Settings.
	Leased bool
}

// Native is the front end for the project's own protocol and configuration service.
var Native = Front[talk.Native]{
	PlatformReader: func(s ReaderSettings) PlatformReader {
		return feed.New(feed.Settings{Platform: s.Settings.Platform, Client: http.DefaultClient, Post: s.Post, Log: s.Log})
	},
	Defaults: Options{Policy: "weighted_choices", Limiter: "fixed", Discipline: "fair"},
	Retries:  budget.DefaultSettings(),

	UsableShare: 1,

	IssuesKeys:    true,
	ProbeUpstream: true,
}
