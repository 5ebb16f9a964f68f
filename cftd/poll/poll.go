// Package poll probes other daemons' gates for their load when no answer to a call has reported it lately.
package poll

import (
	"context"
	"net/http"
	"time"

	"comfreytack/cftd/meter"
	"comfreytack/core/command/load"
	"comfreytack/core/command/probe"
	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const (
	// interval is the time between two checks of the probe budget.
	interval = 100 * time.Millisecond
	// probeTimeout bounds one probe; the load that a later answer reported would be of little use.
	probeTimeout = 250 * time.Millisecond
)

// Settings has the explicit dependencies of a prober.
type Settings struct {
	// Self is the upstream beside this daemon; its gate is not probed.
	Self model.UpstreamName
	// Budget limits the probes and selects the upstreams.
	Budget *probe.Budget
	// Tracker keeps the reported loads.
	Tracker *load.Tracker
	// Transport pools the connections to other daemons' gates.
	Transport *http.Transport
	// Snapshot returns the control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Meter counts the probes.
	Meter *meter.Meter
}

// Prober asks gates for their load.
type Prober struct {
	settings Settings
	// swept is the revision of the configuration for which sweep last ran.
	swept model.Revision
}

// New returns a prober.
func New(settings Settings) *Prober {
	return &Prober{settings: settings}
}

// Run sends probes, one at a time, until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.sweep()
			p.sendProbes(ctx)
		}
	}
}

// sweep forgets the upstreams of services that this daemon no longer calls, once for each revision of the
// configuration.
func (p *Prober) sweep() {
	snapshot := p.settings.Snapshot()
	if snapshot.Revision == p.swept {
		return
	}
	p.swept = snapshot.Revision
	p.settings.Tracker.Retain(func(service model.ServiceName) bool {
		_, called := snapshot.Services[service]
		return called
	})
}

// sendProbes sends as many probes as the budget grants now.
func (p *Prober) sendProbes(ctx context.Context) {
	addresses := p.setCandidates()
	for ctx.Err() == nil {
		upstream, granted := p.settings.Budget.Next(p.settings.Now())
		if !granted {
			return
		}
		p.settings.Meter.Probes.Inc()
		p.probeGate(ctx, addresses[upstream])
	}
}

// setCandidates gives the budget the upstreams that it may select, and returns the addresses of their gates.
func (p *Prober) setCandidates() map[model.UpstreamName]model.Address {
	addresses := map[model.UpstreamName]model.Address{}
	var names []model.UpstreamName
	for _, upstream := range p.settings.Tracker.Upstreams() {
		if upstream.Name != p.settings.Self {
			addresses[upstream.Name] = upstream.Gate
			names = append(names, upstream.Name)
		}
	}
	p.settings.Budget.SetUpstreams(names)
	return addresses
}

func (p *Prober) probeGate(ctx context.Context, address model.Address) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/", nil)
	if err != nil {
		return
	}
	request.Header.Set(wire.HeaderProbe, "1")
	answer, err := p.settings.Transport.RoundTrip(request)
	if err != nil {
		return
	}
	_ = answer.Body.Close()
	if report, known := wire.ReadReport(answer.Header); known {
		now := p.settings.Now()
		p.settings.Tracker.Reported(now, report)
		p.settings.Budget.ReportReceived(now, report.Upstream)
	}
}
