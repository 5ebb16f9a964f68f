// Package health probes the upstream beside this daemon. No other daemon ever does.
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
	// ProbeInterval is the time between two probes.
	ProbeInterval  = time.Second
	probeTimeout   = 900 * time.Millisecond
	maxAnswerBytes = 64 << 10
)

// Settings has the explicit dependencies of a probe.
type Settings struct {
	// Upstream is the address of the upstream beside this daemon.
	Upstream model.Address
	// Client makes the requests.
	Client *http.Client
	// Post hands an event to the control goroutine; it does not block.
	Post func(daemon.Event) bool
}

// Probe asks the upstream whether it drains.
type Probe struct {
	settings Settings
}

// New returns a probe.
func New(settings Settings) *Probe {
	return &Probe{settings: settings}
}

// Run probes at most once per Every until ctx ends. An upstream that does not answer says nothing about
// whether it drains, so nothing is posted.
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
		return false, errors.Wrap(err, "decode probe")
	}
	return answer.Draining, nil
}
