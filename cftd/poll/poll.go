// Package poll probes other daemons' gates: for their load when no answer to a call has reported it lately, and for a
// sign of life when calls there take longer than usual.
package poll

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"comfreytack/cftd/meter"
	"comfreytack/core/command/load"
	"comfreytack/core/command/probe"
	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const (
	// interval is the time between two checks of the probe budget.
	interval = 100 * time.Millisecond
	// probeTimeout bounds one probe; the load that a later answer reported would be of little use, and a gate that takes
	// longer for a sign of life is better avoided.
	probeTimeout = 250 * time.Millisecond
	// maxChecks bounds the checks for a sign of life at the same time.
	maxChecks = 8
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
	// checks limits the checks for a sign of life.
	checks *semaphore.Weighted
}

// New returns a prober.
func New(settings Settings) *Prober {
	return &Prober{settings: settings, checks: semaphore.NewWeighted(maxChecks)}
}

// Run sends probes until ctx ends: load probes one at a time, and checks for a sign of life beside each other, because
// each one that fails takes its whole timeout.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.sweep()
			p.checkGates(ctx)
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

// checkGates checks the gates that have given no sign of life for longer than usual. A check that the limit does not
// allow is due again later.
func (p *Prober) checkGates(ctx context.Context) {
	for _, upstream := range p.settings.Tracker.GatesToCheck(p.settings.Now()) {
		if !p.checks.TryAcquire(1) {
			return
		}
		p.settings.Meter.Probes.Inc()
		go func() {
			defer p.checks.Release(1)
			sentAt := p.settings.Now()
			if !p.probeGate(ctx, upstream.Gate) && ctx.Err() == nil {
				p.settings.Tracker.CheckFailed(sentAt, upstream.Name)
			}
		}()
	}
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

// probeGate asks a gate for its load and reports whether it answered.
func (p *Prober) probeGate(ctx context.Context, address model.Address) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/", nil)
	if err != nil {
		return false
	}
	request.Header.Set(wire.HeaderProbe, "1")
	answer, err := p.settings.Transport.RoundTrip(request)
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	if report, known := wire.ReadReport(answer.Header); known {
		now := p.settings.Now()
		p.settings.Tracker.Reported(now, report)
		p.settings.Budget.ReportReceived(now, report.Upstream)
	}
	return true
}
