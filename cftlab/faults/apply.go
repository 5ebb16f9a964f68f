package faults

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/samber/mo"
	"golang.org/x/sync/errgroup"

	"comfreytack/cftlab/deploy"
	"comfreytack/cftlab/fleet"
	"comfreytack/cftlab/plat"
	"comfreytack/cftlab/proxy"
	"comfreytack/cftlab/stub"
	"comfreytack/core/model"
)

// Applier applies faults to a fleet.
type Applier struct {
	fleet  *fleet.Fleet
	places []deploy.Place
	// platform is where the link to the platform listens.
	platform model.Address
	tell     func(text string)
	// busy has a lock for each place: one process is not killed, paused or started twice at once.
	busy []sync.Mutex
}

// New returns an applier that reports each fault to tell.
func New(running *fleet.Fleet, site deploy.Site, tell func(text string)) *Applier {
	return &Applier{
		fleet: running, places: site.Places, platform: site.PlatformLink.Listen,
		tell: tell, busy: make([]sync.Mutex, len(site.Places)),
	}
}

// Run applies the faults at their times. When ctx ends, all faults that last end at once.
func (a *Applier) Run(ctx context.Context, faults []Fault) error {
	began := time.Now()
	var group errgroup.Group
	for _, fault := range faults {
		group.Go(func() error {
			if !sleep(ctx, time.Until(began.Add(fault.At))) {
				return nil
			}
			a.tell(fmt.Sprintf("%5.1f s  %-18s %s for %.1f s",
				fault.At.Seconds(), fault.Kind, a.target(fault), fault.Span.Seconds()))
			return a.apply(ctx, fault)
		})
	}
	return group.Wait()
}

func (a *Applier) target(fault Fault) string {
	if fault.Kind >= PlatformSilent {
		return "platform"
	}
	return string(a.places[fault.Place].Daemon.Name)
}

// apply begins a fault, waits and ends it.
func (a *Applier) apply(ctx context.Context, fault Fault) error {
	switch {
	case fault.Kind >= PlatformDown:
		return a.failPlatform(ctx, fault)
	case fault.Kind >= LinkReset:
		a.failLink(ctx, fault)
		return nil
	case fault.Kind >= KillUpstream:
		return a.failProcess(ctx, fault)
	}
	begin, end := changes(fault)
	place := a.places[fault.Place]
	// The upstream may be dead at the moment; then there is nothing to switch.
	_ = a.fleet.Switch(ctx, place, begin)
	sleep(ctx, fault.Span)
	_ = a.fleet.Switch(context.WithoutCancel(ctx), place, end)
	return nil
}

const (
	slowFactor      = 10
	truncateAnswers = 20
)

// changes returns the switches that begin and end a fault of an upstream.
func changes(fault Fault) (begin, end stub.Change) {
	ms := int(fault.Span.Milliseconds())
	switch fault.Kind {
	case Drain:
		return stub.Change{Drain: mo.Some(true)}, stub.Change{Drain: mo.Some(false)}
	case Slow:
		return stub.Change{SlowFactor: mo.Some(float64(slowFactor))}, stub.Change{SlowFactor: mo.Some(1.0)}
	case Shed:
		return stub.Change{Shed: mo.Some(true)}, stub.Change{Shed: mo.Some(false)}
	case FailFast:
		return stub.Change{FailFast: mo.Some(true)}, stub.Change{FailFast: mo.Some(false)}
	case Truncate:
		return stub.Change{TruncateNext: mo.Some(truncateAnswers)}, stub.Change{}
	case Cold:
		return stub.Change{ColdMs: mo.Some(ms)}, stub.Change{}
	case Lie:
		return stub.Change{ReportInFlight: mo.Some(0)}, stub.Change{ReportInFlight: mo.Some(-1)}
	case Noisy:
		return stub.Change{NeighbourMs: mo.Some(ms)}, stub.Change{}
	}
	return stub.Change{}, stub.Change{}
}

func (a *Applier) failPlatform(ctx context.Context, fault Fault) error {
	change := func(on bool) plat.FaultChange {
		switch fault.Kind {
		case PlatformStale:
			return plat.FaultChange{Stale: mo.Some(on)}
		case PlatformReordered:
			return plat.FaultChange{Reordered: mo.Some(on)}
		}
		return plat.FaultChange{Down: mo.Some(on)}
	}
	if err := a.fleet.SwitchPlatform(context.WithoutCancel(ctx), change(true)); err != nil {
		return err
	}
	sleep(ctx, fault.Span)
	return a.fleet.SwitchPlatform(context.WithoutCancel(ctx), change(false))
}

// linkModes are the modes that link faults switch to. LinkReset switches none.
var linkModes = map[Kind]proxy.Mode{LinkLate: proxy.Late, LinkOneWay: proxy.OneWay, LinkSilent: proxy.Silent, PlatformSilent: proxy.Silent}

// failLink fails a link for a while. Connections that lost bytes stay dead.
func (a *Applier) failLink(ctx context.Context, fault Fault) {
	link := a.fleet.Link(a.linkOf(fault))
	if link == nil {
		return
	}
	mode, lasts := linkModes[fault.Kind]
	if !lasts {
		link.Reset()
		return
	}
	link.Set(mode)
	sleep(ctx, fault.Span)
	link.Set(proxy.Pass)
}

// linkOf returns the link that a fault is about: in turn that of the gate and of the upstream.
func (a *Applier) linkOf(fault Fault) model.Address {
	switch {
	case fault.Kind == PlatformSilent:
		return a.platform
	case fault.At.Milliseconds()%2 == 0:
		return a.places[fault.Place].GateLink.Listen
	}
	return a.places[fault.Place].UpstreamLink.Listen
}

func (a *Applier) failProcess(ctx context.Context, fault Fault) error {
	if !a.busy[fault.Place].TryLock() {
		return nil
	}
	defer a.busy[fault.Place].Unlock()
	place := a.places[fault.Place]
	switch fault.Kind {
	case KillUpstream:
		a.fleet.KillUpstream(place)
		sleep(ctx, fault.Span)
		return a.fleet.StartUpstream(place)
	case KillDaemon:
		a.fleet.KillDaemon(place)
		sleep(ctx, fault.Span)
		return a.fleet.StartDaemon(place)
	case StopDaemon:
		a.fleet.StopDaemon(place)
		sleep(ctx, fault.Span)
		return a.fleet.StartDaemon(place)
	case PauseDaemon:
		a.fleet.PauseDaemon(place)
		sleep(ctx, fault.Span)
		a.fleet.ResumeDaemon(place)
	}
	return nil
}

// sleep waits for span and says whether ctx lasted that long.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}
