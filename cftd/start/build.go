package start

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"comfreytack/cftd/asks"
	"comfreytack/cftd/clock"
	"comfreytack/cftd/entry"
	"comfreytack/cftd/gate"
	"comfreytack/cftd/health"
	"comfreytack/cftd/home"
	"comfreytack/cftd/meter"
	"comfreytack/cftd/oper"
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
	"comfreytack/core/command/probe"
	"comfreytack/core/command/spent"
	"comfreytack/core/loop"
	"comfreytack/core/model"
	"comfreytack/core/query/route"
	"comfreytack/core/setup"
	"comfreytack/core/traffic/flight"
	"comfreytack/core/traffic/hold"
	"comfreytack/core/traffic/kinds"
	"comfreytack/core/traffic/send"
)

const (
	beatInterval        = 50 * time.Millisecond
	eventBacklog        = 4096
	upstreamConnections = 200
	gateConnections     = 64
	firstSlots          = 10
	// paceConnections is one for questions about the pace: they come one after the other.
	paceConnections = 1
	// upstreamIdle is below the idle limits that servers usually have, of 5 s and more.
	upstreamIdle = 4 * time.Second
	// gateIdle is below idleTimeout, the limit of the gates' own servers.
	gateIdle      = time.Minute
	downRecheck   = 20 * time.Millisecond
	learntClasses = 1024
	// What a home remembers for each customer.
	keysPerCustomer        = 1024
	answerBytesPerCustomer = 128 << 10
	answerLifetime         = 10 * time.Minute
)

// parts are the running pieces of a daemon.
type parts struct {
	callers   http.Handler
	gate      http.Handler
	operators http.Handler
	control   func(context.Context, net.Listener) error
	ask       func(context.Context)
	stop      func()
	// finish waits for work that no connection waits for.
	finish func(context.Context)
}

// plan is what every part is built from.
type plan[D talk.Dialect] struct {
	front    Front[D]
	settings setup.Settings
	options  Options
	log      *slog.Logger
	self     model.Upstream
	plane    *controlPlane
	// slept returns how long the machine was suspended since the start.
	slept func() time.Duration
	// crashes is shared by the gate, which writes to it, and the control goroutine, which passes it on.
	crashes *poison.Book
	control *loop.Loop[daemon.Event, daemon.Effect]
	meter   *meter.Meter
	// links holds the connections to other daemons' gates.
	links  *http.Transport
	book   *load.Book
	asking *probe.Budget
}

func build[D talk.Dialect](front Front[D], settings setup.Settings, options Options, log *slog.Logger) (*parts, error) {
	self := selfOf(settings, time.Now())
	crashes := poison.New(poison.DefaultSettings())
	slept := clock.New().Slept
	plane := newControl(front, settings, self, crashes, slept, log)
	p := plan[D]{
		front:    front,
		settings: settings,
		options:  options,
		log:      log,
		self:     self,
		plane:    plane,
		slept:    slept,
		crashes:  crashes,
		control:  plane.loop,
		meter:    meter.New(),
		links:    relay.NewTransport(gateConnections, gateIdle),
		book:     load.New(self, load.DefaultSettings()),
		asking:   probe.New(time.Now(), probe.DefaultSettings()),
	}
	plane.watch(p.meter)
	if front.LinesDropped != nil {
		p.meter.Watch("comfreytack_log_lines_dropped_total", "Log lines over the bound, or that nobody read.", front.LinesDropped)
	}
	switch options.Discipline {
	case "fair":
		return buildLimiter(p, admit.NewFair())
	case "fifo":
		return buildLimiter(p, admit.NewFIFO())
	case "ranked":
		return buildLimiter(p, admit.NewRanked(time.Now))
	}
	return nil, errors.Errorf("unknown discipline %q", options.Discipline)
}

func buildLimiter[Q admit.Discipline, D talk.Dialect](p plan[D], discipline Q) (*parts, error) {
	switch p.options.Limiter {
	case "fixed":
		return buildGate(p, discipline, adapt.Fixed{})
	case "verified":
		return buildGate(p, discipline, adapt.NewVerified())
	}
	return nil, errors.Errorf("unknown limiter %q", p.options.Limiter)
}

// selfOf describes this daemon. Its incarnation is its start time, so that later lives compare greater.
func selfOf(settings setup.Settings, started time.Time) model.Upstream {
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

func buildGate[Q admit.Discipline, L adapt.Policy, D talk.Dialect](p plan[D], discipline Q, limiter L) (*parts, error) {
	local := gate.New(gate.Settings[D]{
		Dialect:   p.front.Dialect,
		Upstream:  p.settings.Upstream,
		Transport: relay.NewTransport(upstreamConnections, upstreamIdle),
		Snapshot:  p.control.Snapshot,
		Now:       time.Now,
		Log:       p.log,
		Meter:     p.meter,
		Pace:      newPace(p),
		Flight: flight.New(flight.Settings{
			Self: p.self,
			Book: p.crashes,
			Seen: func() { p.control.Post(daemon.CrashSeen{}) },
			Now:  time.Now,
			Down: func() bool { return relay.RefusesConnections(p.settings.Upstream) },

			Recheck: downRecheck,
		}),
	}, hold.New(hold.Settings{
		Snapshot:    p.control.Snapshot,
		Now:         time.Now,
		Slept:       p.slept,
		UsableShare: p.front.UsableShare,
		Classes:     kinds.New(p.control.Snapshot, class.New(learntClasses)),
	}, admit.New(firstSlots, discipline), adapt.New(1, firstSlots, limiter)))
	sending, err := buildSend(p)
	if err != nil {
		return nil, err
	}
	keeper := home.New(home.Settings{
		Self:     p.self,
		Life:     model.Incarnation(rand.Uint64()),
		Ledger:   ledger.Settings{Keys: keysPerCustomer, AnswerBytes: answerBytesPerCustomer, AnswerLifetime: answerLifetime},
		Snapshot: p.control.Snapshot,
		Now:      time.Now,
		Meter:    p.meter,
	})
	front := entry.New(entry.Settings[D]{
		Dialect:   p.front.Dialect,
		Home:      keeper,
		Self:      p.self,
		Local:     local,
		Transport: p.links,
		Snapshot:  p.control.Snapshot,
		Now:       time.Now,
		Send:      sending,
		UsedTime:     spent.New(),
		Log:       p.log,
		Issues:    p.front.Issues,
		Meter:     p.meter,
	})
	return &parts{
		callers:   front.Handler(),
		gate:      front.GateHandler(gate.Handler(local)),
		operators: oper.Handler(oper.Settings{Snapshot: p.control.Snapshot, Report: local.Report, Meter: p.meter, Version: Version}),
		control:   p.plane.run,
		ask:       newAsker(p).Run,
		stop:      func() { p.control.Post(daemon.StopAsked{}) },
		finish:    keeper.Wait,
	}, nil
}

func newPace[D talk.Dialect](p plan[D]) *health.Pace {
	return health.NewPace(health.PaceSettings{
		Upstream: p.settings.Upstream,
		Path:     func() string { return p.control.Snapshot().Services[p.self.Service].HealthPath },
		Client:   &http.Client{Transport: relay.NewTransport(paceConnections, upstreamIdle)},
		Timeout:  health.PaceTimeout,
		Percent:  p.front.Dialect.PacePercent,
		Now:      time.Now,
	})
}

func newAsker[D talk.Dialect](p plan[D]) *asks.Asker {
	return asks.New(asks.Settings{
		Self:      p.self.Name,
		Budget:    p.asking,
		Book:      p.book,
		Transport: p.links,
		Snapshot:  p.control.Snapshot,
		Now:       time.Now,
		Meter:     p.meter,
	})
}

func buildSend[D talk.Dialect](p plan[D]) (entry.Send, error) {
	policy, known := route.ByName(p.options.Policy).Get()
	if !known {
		return nil, errors.Errorf("unknown policy %q", p.options.Policy)
	}
	return sendBy(p, policy), nil
}

func sendBy[P route.Policy, D talk.Dialect](p plan[D], policy P) entry.Send {
	sender := send.New(send.Settings{
		Snapshot: p.control.Snapshot,
		Now:      time.Now,
		Book:     p.book,
		Asking:   p.asking,
		Retries:  budget.New(p.front.Retries),
	}, route.New(policy))
	return func(ctx context.Context, call model.Call, carrier send.Carrier[*http.Response]) (*http.Response, *model.Failure) {
		return send.Send(ctx, sender, call, carrier)
	}
}
