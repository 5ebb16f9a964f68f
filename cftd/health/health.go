// Package health probes the upstream beside this daemon. No other daemon probes it.
//
// Wiring:
//
//	probe := health.New(health.Settings{Upstream: settings.Upstream, Client: client, Post: control.Post})
//	go probe.Run(ctx)
package health

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"comfreytack/core/command/daemon"
	"comfreytack/core/model"
)

const (
	// ProbeInterval is the time between two probes of whether the upstream is draining.
	ProbeInterval  = time.Second
	probeTimeout   = 900 * time.Millisecond
	maxAnswerBytes = 64 << 10
)

// Settings has the explicit dependencies of a probe.
type Settings struct {
	// Upstream is the address of the upstream beside this daemon.
	Upstream model.Address
	// Client sends the probes.
	Client *http.Client
	// Post hands an event to the control goroutine; it does not block.
	Post func(daemon.Event) bool
}

// Probe asks the upstream periodically whether it is draining.
type Probe struct {
	settings Settings
}

// New returns a probe.
func New(settings Settings) *Probe {
	return &Probe{settings: settings}
}

// Run probes at most once per ProbeInterval until ctx ends. It posts nothing for a probe without a valid answer, which
// does not show whether the upstream is draining.
func (p *Probe) Run(ctx context.Context) {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		if draining, err := p.probe(ctx); err == nil {
			p.settings.Post(daemon.UpstreamProbed{Draining: draining})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe sends one probe and returns whether the upstream is draining.
func (p *Probe) probe(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(p.settings.Upstream)+"/healthz", nil)
	if err != nil {
		return false, errors.Wrap(err, "build probe")
	}
	response, err := p.settings.Client.Do(request)
	if err != nil {
		return false, errors.Wrap(err, "probe upstream")
	}
	defer response.Body.Close()
	var answer struct {
		Draining bool `json:"draining"`
	}
	if err := json.UnmarshalRead(io.LimitReader(response.Body, maxAnswerBytes), &answer); err != nil {
		return false, errors.Wrap(err, "decode answer to probe")
	}
	return answer.Draining, nil
}
