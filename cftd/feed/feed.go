// Package feed reads published changes from the platform.
//
// The control state decides when to read; this package performs the read. Usage:
//
//	reads := feed.New(feed.Settings{Platform: settings.Platform, Client: client, Post: control.Post, Log: log})
//	perform := func(effect daemon.Effect) { // given to loop.New
//		if read, ok := effect.(daemon.ReadPlatform); ok {
//			go reads.Read(ctx, read)
//		}
//	}
package feed

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"comfreytack/core/command/daemon"
	"comfreytack/core/model"
)

const (
	// answerTimeout is how long the platform has for its answer, in addition to the wait that the request asks for.
	answerTimeout = 2 * time.Second
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 64 << 20
	// postRetryInterval is the time between attempts to post an event while the backlog is full.
	postRetryInterval = 20 * time.Millisecond
)

// Settings has the explicit dependencies of a feed.
type Settings struct {
	// Platform has the addresses of the configuration service, tried in turn; at least one.
	Platform []model.Address
	// Client makes the requests; it needs no timeout of its own.
	Client *http.Client
	// Post hands an event to the control goroutine; it does not block.
	Post func(daemon.Event) bool
	// Log receives a line for each failed read.
	Log *slog.Logger
}

// Feed reads changes from the platform.
type Feed struct {
	reads    atomic.Uint64
	failures atomic.Uint64
	settings Settings
	// requests counts the requests, which go to the addresses of the platform in turn.
	requests atomic.Uint64
}

// New returns a feed.
func New(settings Settings) *Feed {
	return &Feed{settings: settings}
}

// Counts returns the number of reads, and how many of them gave no usable answer.
func (f *Feed) Counts() (reads, failures uint64) {
	return f.reads.Load(), f.failures.Load()
}

// answer is the body of the platform's answer.
type answer struct {
	Revision model.Revision `json:"revision"`
	Changes  []model.Change `json:"changes"`
}

// Read performs one read and posts exactly one ChangesRead, unless ctx ends first.
func (f *Feed) Read(ctx context.Context, read daemon.ReadPlatform) {
	f.reads.Add(1)
	event := daemon.ChangesRead{}
	got, err := f.get(ctx, read)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.failures.Add(1)
		f.settings.Log.Warn("platform not read", "error", err.Error())
		event.Failed = true
	} else {
		event.Delta = model.Delta{After: read.After, Revision: got.Revision, Changes: got.Changes}
	}
	f.post(ctx, event)
}

func (f *Feed) get(ctx context.Context, read daemon.ReadPlatform) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, read.Wait+answerTimeout)
	defer cancel()
	platform := f.settings.Platform[f.requests.Add(1)%uint64(len(f.settings.Platform))]
	url := fmt.Sprintf("http://%s/v1/changes?after=%d&wait=%d", platform, read.After, read.Wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return answer{}, errors.Wrap(err, "build request")
	}
	response, err := f.settings.Client.Do(request)
	if err != nil {
		return answer{}, errors.Wrap(err, "request to the platform")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer{}, errors.Errorf("platform answered %s", response.Status)
	}
	var got answer
	if err := json.UnmarshalRead(io.LimitReader(response.Body, maxAnswerBytes), &got); err != nil {
		return answer{}, errors.Wrap(err, "decode answer")
	}
	return got, nil
}

// post retries until the backlog has room: the control state starts no further read before it gets the result of this
// one.
func (f *Feed) post(ctx context.Context, event daemon.Event) {
	retry := time.NewTicker(postRetryInterval)
	defer retry.Stop()
	for !f.settings.Post(event) {
		select {
		case <-ctx.Done():
			return
		case <-retry.C:
		}
	}
}
