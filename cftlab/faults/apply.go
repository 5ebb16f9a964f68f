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
	"comfreytack/core/query/check"
)

// Applier applies faults to a fleet.
type Applier struct {
	fleet *fleet.Fleet
	nodes []deploy.Node
	// platform is the address of the link to the platform.
	platform model.Address
	log      func(text string)
	// nodeLocks has one lock per node, so that two process faults never affect the same node at once.
	nodeLocks []sync.Mutex
}

// New returns an applier that passes one line of text about each fault to log.
func New(running *fleet.Fleet, site deploy.Site, log func(text string)) *Applier {
	return &Applier{
		fleet: running, nodes: site.Nodes, platform: site.PlatformLink.Listen,
		log: log, nodeLocks: make([]sync.Mutex, len(site.Nodes)),
	}
}

// Run applies the faults at their times. When ctx ends, it ends the faults in progress and starts no more.
func (a *Applier) Run(ctx context.Context, faults []Fault) error {
	start := time.Now()
	var group errgroup.Group
	for _, fault := range faults {
		group.Go(func() error {
			if !sleep(ctx, time.Until(start.Add(fault.At))) {
				return nil
			}
			a.log(fmt.Sprintf("%5.1f s  %-18s %s for %.1f s",
				fault.At.Seconds(), fault.Kind, a.target(fault), fault.Duration.Seconds()))
			return a.apply(ctx, fault)
		})
	}
	return group.Wait()
}

// target names what the fault affects, for the log.
func (a *Applier) target(fault Fault) string {
	if fault.Kind >= PlatformSilent {
		return "platform"
	}
	return string(a.nodes[fault.Node].Daemon.Name)
}

// apply begins a fault, waits and ends it.
func (a *Applier) apply(ctx context.Context, fault Fault) error {
	switch {
	case fault.Kind == Evacuate:
		return a.evacuate(ctx, fault)
	case fault.Kind >= PlatformDown:
		return a.failPlatform(ctx, fault)
	case fault.Kind >= LinkReset:
		a.failLink(ctx, fault)
		return nil
	case fault.Kind >= KillUpstream:
		return a.failProcess(ctx, fault)
	}
	begin, end := changes(fault)
	node := a.nodes[fault.Node]
	// The upstream may be down because of another fault; then there is nothing to change.
	_ = a.fleet.ChangeFaults(ctx, node, begin)
	sleep(ctx, fault.Duration)
	_ = a.fleet.ChangeFaults(context.WithoutCancel(ctx), node, end)
	return nil
}

const (
	slowFactor       = 10
	truncatedAnswers = 20
)

// changes returns the changes that begin and end a fault of an upstream. The second one is empty for a fault that ends
// on its own.
func changes(fault Fault) (begin, end stub.Change) {
	ms := int(fault.Duration.Milliseconds())
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
		return stub.Change{TruncateNext: mo.Some(truncatedAnswers)}, stub.Change{}
	case Cold:
		return stub.Change{ColdMs: mo.Some(ms)}, stub.Change{}
	case Lie:
		return stub.Change{ReportInFlight: mo.Some(0)}, stub.Change{ReportInFlight: mo.Some(-1)}
	case Noisy:
		return stub.Change{NeighbourMs: mo.Some(ms)}, stub.Change{}
	}
	return stub.Change{}, stub.Change{}
}

// coldTime is how long the upstreams of a domain that is taken back are cold.
const coldTime = time.Second

// evacuate evacuates a failure domain and takes it back, with upstreams that have become cold. Of two evacuations of one
// domain at once the first to end takes it back.
func (a *Applier) evacuate(ctx context.Context, fault Fault) error {
	domain := a.nodes[fault.Node].Daemon.FailureDomain
	key := check.EvacuationPrefix + string(domain)
	if err := a.fleet.Publish(context.WithoutCancel(ctx), key, model.Evacuation{}); err != nil {
		return err
	}
	sleep(ctx, fault.Duration)
	for _, node := range a.nodes {
		if node.Daemon.FailureDomain == domain {
			// An upstream that is down because of another fault has nothing to change.
			_ = a.fleet.ChangeFaults(context.WithoutCancel(ctx), node, stub.Change{ColdMs: mo.Some(int(coldTime.Milliseconds()))})
		}
	}
	return a.fleet.Withdraw(context.WithoutCancel(ctx), key)
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
	if err := a.fleet.ChangePlatformFaults(context.WithoutCancel(ctx), change(true)); err != nil {
		return err
	}
	sleep(ctx, fault.Duration)
	return a.fleet.ChangePlatformFaults(context.WithoutCancel(ctx), change(false))
}

// linkModes maps link faults to proxy modes. LinkReset has none: it happens at one moment.
var linkModes = map[Kind]proxy.Mode{LinkLate: proxy.Late, LinkOneWay: proxy.OneWay, LinkSilent: proxy.Silent, PlatformSilent: proxy.Silent}

// failLink applies a link fault. Connections that have lost bytes stay silent after the fault; see package proxy.
func (a *Applier) failLink(ctx context.Context, fault Fault) {
	link := a.fleet.Link(a.linkAddress(fault))
	if link == nil {
		return
	}
	mode, found := linkModes[fault.Kind]
	if !found {
		link.Reset()
		return
	}
	link.SetMode(mode)
	sleep(ctx, fault.Duration)
	link.SetMode(proxy.Pass)
}

// linkAddress returns the address of the link that a fault affects. For faults of a node, the parity of the fault's
// time in milliseconds chooses between the link to the gate and that to the upstream.
func (a *Applier) linkAddress(fault Fault) model.Address {
	switch {
	case fault.Kind == PlatformSilent:
		return a.platform
	case fault.At.Milliseconds()%2 == 0:
		return a.nodes[fault.Node].GateLink.Listen
	}
	return a.nodes[fault.Node].UpstreamLink.Listen
}

// failProcess applies a process fault, unless another one affects the same node; then it is skipped.
func (a *Applier) failProcess(ctx context.Context, fault Fault) error {
	if !a.nodeLocks[fault.Node].TryLock() {
		return nil
	}
	defer a.nodeLocks[fault.Node].Unlock()
	node := a.nodes[fault.Node]
	switch fault.Kind {
	case KillUpstream:
		a.fleet.KillUpstream(node)
		sleep(ctx, fault.Duration)
		return a.fleet.StartUpstream(node)
	case KillDaemon:
		a.fleet.KillDaemon(node)
		sleep(ctx, fault.Duration)
		return a.fleet.StartDaemon(node)
	case StopDaemon:
		a.fleet.StopDaemon(node)
		sleep(ctx, fault.Duration)
		return a.fleet.StartDaemon(node)
	case PauseDaemon:
		a.fleet.PauseDaemon(node)
		sleep(ctx, fault.Duration)
		a.fleet.ResumeDaemon(node)
	}
	return nil
}

// sleep waits for span and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}
