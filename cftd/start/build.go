package start

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"comfreytack/cftd/admin"
	"comfreytack/cftd/clock"
	"comfreytack/cftd/entry"
	"comfreytack/cftd/gate"
	"comfreytack/cftd/health"
	"comfreytack/cftd/home"
	"comfreytack/cftd/intake"
	"comfreytack/cftd/meter"
	"comfreytack/cftd/poll"
	"comfreytack/cftd/relay"
	"comfreytack/cftd/talk"
	"comfreytack/core/command/adapt"
	"comfreytack/core/command/admit"
	"comfreytack/core/command/budget"
	"comfreytack/core/command/class"
	"comfreytack/core/command/daemon"
	"comfreytack/core/command/ledger"
	"comfreytack/core/command/load"
	"comfreytack/core/command/poison"
	"comfreytack/core/command/prior"
	"comfreytack/core/command/probe"
	"comfreytack/core/command/uplink"
	"comfreytack/core/command/warm"
	"comfreytack/core/loop"
	"comfreytack/core/model"
	"comfreytack/core/query/route"
	"comfreytack/core/setup"
	"comfreytack/core/traffic/flight"
	"comfreytack/core/traffic/hold"
	"comfreytack/core/traffic/learn"
	"comfreytack/core/traffic/send"
)

const (
	tickInterval        = 50 * time.Millisecond
	eventBacklog        = 4096
	upstreamConnections = 200
	gateConnections     = 64
	initialSlots        = 10
	// paceConnections is 1, because the requests for the pace are sent one after another.
	paceConnections = 1
	// upstreamIdleTimeout is below the usual idle timeouts of servers, which are 5 s or more.
	upstreamIdleTimeout = 4 * time.Second
	// gateIdleTimeout is below idleTimeout, which applies to the servers of gates.
	gateIdleTimeout     = time.Minute
	downRecheckInterval = 20 * time.Millisecond
	maxLearntRoutes     = 1024
	// usedRetryShare is how much of the allowed retries daemons use. The rest is for calls that requests make when they
	// run once more: they count as retries too, and nobody sees that they are.
	usedRetryShare = 0.85
	// These bound what a home stores for each customer.
	keysPerCustomer        = 1024
	answerBytesPerCustomer = 128 << 10
	answerLifetime         = 10 * time.Minute
	// spoolBytes bounds the memory for bodies that are read before they are sent, because they may crash upstreams.
	spoolBytes = 8 << 20
)

// parts has what Serve starts and stops: the servers of the HTTP ports and the functions of the other components.
type parts struct {
	// servers has those of the callers', the gate's and the operators' port, in this order.
	servers []*intake.Server
	// control runs the control plane until the context ends; the listener is the peer port.
	control func(context.Context, net.Listener) error
	// probeGates asks other daemons' gates for their load until the context ends.
	probeGates func(context.Context)
	// refuse makes the gate take no new calls, and announces that to other daemons.
	refuse func()
	// finish waits for keyed calls whose callers have disconnected.
	finish func(context.Context)
}

// dependencies has the configuration and the shared objects that the components are built from.
type dependencies[D talk.Dialect] struct {
	front    Front[D]
	settings setup.Settings
	options  Options
	log      *slog.Logger
	self     model.Upstream
	plane    *controlPlane
	// suspended returns how long the machine was suspended since the start.
	suspended func() time.Duration
	// detector is shared by the gate, which records crashes in it, and the control goroutine, which sends them to peers.
	detector *poison.Detector
	control  *loop.Loop[daemon.Event, daemon.Effect]
	meter    *meter.Meter
	// gateTransport pools the connections to other daemons' gates.
	gateTransport *http.Transport
	loads         *load.Tracker
	probeBudget   *probe.Budget
	// budget bounds the memory and descriptors of accepted connections.
	budget *intake.Budget
	// uplink shares the machine's link among the answers of the gate.
	uplink *uplink.Link
	// warmth limits the requests to the upstream while it is cold.
	warmth *warm.Limiter
	// stopper stops the daemon.
	stopper *stopper
}

func build[D talk.Dialect](front Front[D], settings setup.Settings, options Options, stopper *stopper, log *slog.Logger) (*parts, error) {
	self := selfUpstream(settings, time.Now())
	detector := poison.New(poison.DefaultSettings())
	suspended := clock.New().Suspended
	metrics := meter.New()
	budget := newBudget(settings, metrics, log)
	plane := newControlPlane(front, settings, self, detector, suspended, budget, log)
	deps := dependencies[D]{
		front:         front,
		settings:      settings,
		options:       options,
		log:           log,
		self:          self,
		plane:         plane,
		suspended:     suspended,
		detector:      detector,
		control:       plane.loop,
		meter:         metrics,
		budget:        budget,
		gateTransport: relay.NewTransport(gateConnections, gateIdleTimeout),
		loads:         load.New(self, load.DefaultSettings()),
		probeBudget:   probe.New(time.Now(), probe.DefaultSettings()),
		uplink:        uplink.New(settings.Limits.BandwidthMbps),
		warmth:        warm.New(time.Now(), warm.Bounds(settings.Warmup)),
		stopper:       stopper,
	}
	plane.registerMetrics(deps.meter)
	deps.meter.Watch("comfreytack_uplink_delayed_us_total", "Time that parts of large answers waited for the machine's link, in microseconds.", func() uint64 {
		return uint64(deps.uplink.Delayed().Microseconds())
	})
	if front.LinesDropped != nil {
		deps.meter.Watch("comfreytack_log_lines_dropped_total", "Log lines over the bound, or that nobody read.", front.LinesDropped)
	}
	switch options.Discipline {
	case "fair":
		return buildLimiter(deps, admit.NewFair())
	case "fifo":
		return buildLimiter(deps, admit.NewFIFO())
	case "ranked":
		return buildLimiter(deps, admit.NewRanked(time.Now))
	}
	return nil, errors.Errorf("unknown discipline %q", options.Discipline)
}

func buildLimiter[Q admit.Discipline, D talk.Dialect](deps dependencies[D], discipline Q) (*parts, error) {
	switch deps.options.Limiter {
	case "fixed":
		return buildGate(deps, discipline, adapt.Fixed{})
	case "verified":
		return buildGate(deps, discipline, adapt.NewVerified())
	}
	return nil, errors.Errorf("unknown limiter %q", deps.options.Limiter)
}

// selfUpstream describes this daemon. Its incarnation is its start time, so that later incarnations compare greater.
func selfUpstream(settings setup.Settings, started time.Time) model.Upstream {
	return model.Upstream{
		Name:          settings.Name,
		Incarnation:   model.Incarnation(started.UnixMilli()),
		Service:       settings.Service,
		Region:        settings.Region,
		FailureDomain: settings.FailureDomain,
		Gate:          settings.Gate,
		Peer:          settings.Peer,
	}
}

func buildGate[Q admit.Discipline, L adapt.Policy, D talk.Dialect](deps dependencies[D], discipline Q, limiter L) (*parts, error) {
	holder := hold.New(hold.Settings{
		Snapshot:    deps.control.Snapshot,
		Now:         time.Now,
		Suspended:   deps.suspended,
		UsableShare: deps.front.UsableShare,
		Warmth:      deps.warmth,
		Classifier:  learn.New(deps.control.Snapshot, class.New(maxLearntRoutes)),
	}, admit.New(initialSlots, discipline), adapt.New(1, initialSlots, limiter))
	watch := &upstreamWatch{address: deps.settings.Upstream, warmth: deps.warmth, refuseWaiting: holder.RefuseWaiting, now: time.Now, log: deps.log}
	deps.plane.watchers = append(deps.plane.watchers, watch.changed)
	watch.registerMetrics(deps.meter, deps.control.Snapshot)
	localGate := gate.New(gate.Settings[D]{
		Dialect:   deps.front.Dialect,
		Upstream:  deps.settings.Upstream,
		Transport: relay.NewTransport(upstreamConnections, upstreamIdleTimeout),
		Snapshot:  deps.control.Snapshot,
		Now:       time.Now,
		Log:       deps.log,
		Meter:     deps.meter,
		Pace:      newPace(deps),
		Warmth:    deps.warmth,
		Work:      &deps.stopper.work,
		Uplink:    deps.uplink,
		Flight: flight.New(flight.Settings{
			Self:            deps.self,
			Detector:        deps.detector,
			DetectorChanged: func() { deps.control.Post(daemon.CrashSeen{}) },
			Now:             time.Now,
			Down:            watch.down,

			RecheckDelay: downRecheckInterval,
		}),
	}, holder)
	sendCall, err := buildSend(deps)
	if err != nil {
		return nil, err
	}
	keyHome := home.New(home.Settings{
		Self:        deps.self,
		Incarnation: model.Incarnation(rand.Uint64()),
		Ledger:      ledger.Settings{Keys: keysPerCustomer, AnswerBytes: answerBytesPerCustomer, AnswerLifetime: answerLifetime},
		Snapshot:    deps.control.Snapshot,
		Now:         time.Now,
		Meter:       deps.meter,
	})
	front := entry.New(entry.Settings[D]{
		Dialect:    deps.front.Dialect,
		Home:       keyHome,
		Self:       deps.self,
		Local:      localGate,
		Transport:  deps.gateTransport,
		Snapshot:   deps.control.Snapshot,
		Now:        time.Now,
		Send:       sendCall,
		Admit:      deps.stopper.admit,
		UsedTime:   prior.New(),
		Log:        deps.log,
		IssuesKeys: deps.front.IssuesKeys,
		Suspected:  func(prefix model.Fingerprint) bool { return deps.detector.Suspected(time.Now(), prefix) },
		Spool:      relay.NewSpool(spoolBytes),
		Meter:      deps.meter,
	})
	operators := admin.Handler(admin.Settings{Snapshot: deps.control.Snapshot, LameDuck: deps.stopper.lameDuck.Load, Report: localGate.Report, Meter: deps.meter, Version: Version})
	return &parts{
		servers:    newServers(deps, front, front.GateHandler(gate.Handler(localGate)), operators),
		control:    deps.plane.run,
		probeGates: newProber(deps).Run,
		refuse:     func() { deps.control.Post(daemon.StopRequested{}) },
		finish:     keyHome.Wait,
	}, nil
}

func newPace[D talk.Dialect](deps dependencies[D]) *health.Pace {
	return health.NewPace(health.PaceSettings{
		Upstream: deps.settings.Upstream,
		Path:     func() string { return deps.control.Snapshot().Services[deps.self.Service].HealthPath },
		Client:   &http.Client{Transport: relay.NewTransport(paceConnections, upstreamIdleTimeout)},
		Timeout:  health.PaceTimeout,
		Percent:  deps.front.Dialect.PacePercent,
		Now:      time.Now,

		WarmupLeft: deps.front.Dialect.WarmupLeft,
		Warmth:     deps.warmth,
	})
}

func newProber[D talk.Dialect](deps dependencies[D]) *poll.Prober {
	return poll.New(poll.Settings{
		Self:      deps.self.Name,
		Budget:    deps.probeBudget,
		Tracker:   deps.loads,
		Transport: deps.gateTransport,
		Snapshot:  deps.control.Snapshot,
		Now:       time.Now,
		Meter:     deps.meter,
	})
}

func buildSend[D talk.Dialect](deps dependencies[D]) (entry.Send, error) {
	policy, known := route.ByName(deps.options.Policy).Get()
	if !known {
		return nil, errors.Errorf("unknown policy %q", deps.options.Policy)
	}
	return newSend(deps, policy), nil
}

func newSend[P route.Policy, D talk.Dialect](deps dependencies[D], policy P) entry.Send {
	sender := send.New(send.Settings{
		Snapshot:    deps.control.Snapshot,
		Now:         time.Now,
		Tracker:     deps.loads,
		ProbeBudget: deps.probeBudget,
		Retries:     budget.New(deps.front.Retries),

		RetryPercent: int(usedRetryShare * deps.settings.RetryShare * 100),
	}, route.New(policy))
	return func(ctx context.Context, call model.Call, attempter send.Attempter[*http.Response]) (*http.Response, *model.Failure) {
		return send.Send(ctx, sender, call, attempter)
	}
}
