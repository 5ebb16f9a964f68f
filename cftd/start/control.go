package start

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pkg/errors"

	"comfreytack/cftd/health"
	"comfreytack/cftd/intake"
	"comfreytack/cftd/meter"
	"comfreytack/cftd/peers"
	"comfreytack/cftd/talk"
	"comfreytack/core/command/daemon"
	"comfreytack/core/command/poison"
	"comfreytack/core/field"
	"comfreytack/core/loop"
	"comfreytack/core/model"
	"comfreytack/core/setup"
)

// controlPlane is the control goroutine and the components that perform its effects.
type controlPlane struct {
	loop    *loop.Loop[daemon.Event, daemon.Effect]
	network *peers.Network
	reads   PlatformReader
	probe   *health.Probe
	log     *slog.Logger
	ctx     context.Context
	// watchers are called by the control goroutine after each new snapshot; they do not block. They are complete before run.
	watchers []func(before, after *model.Snapshot)
}

func newControlPlane[D talk.Dialect](
	front Front[D], settings setup.Settings, self model.Upstream, detector *poison.Detector, suspended func() time.Duration,
	budget *intake.Budget, log *slog.Logger,
) *controlPlane {
	c := &controlPlane{log: log, watchers: []func(before, after *model.Snapshot){logChanges(log)}}
	state := daemon.New(daemon.Settings{
		Self:   self,
		Seeds:  settings.Seeds,
		Calls:  settings.Calls,
		Poison: detector,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),

		Leased: front.Leased,
	}, time.Now())
	c.loop = loop.New(loop.Settings{TickInterval: tickInterval, Backlog: eventBacklog, Now: time.Now, Suspended: suspended, Changed: c.changed, Panicked: c.logPanic}, state, c.perform)
	c.network = peers.New(peers.Settings{Post: c.loop.Post, Log: log, Budget: budget})
	c.reads = front.PlatformReader(ReaderSettings{Settings: settings, Post: c.loop.Post, Log: log})
	if front.ProbeUpstream {
		c.probe = health.New(health.Settings{Upstream: settings.Upstream, Client: http.DefaultClient, Post: c.loop.Post})
	}
	return c
}

// registerMetrics exports the counters of the control plane.
func (c *controlPlane) registerMetrics(m *meter.Meter) {
	traffic := &c.network.Traffic
	for _, counter := range []struct {
		name string
		help string
		read func() uint64
	}{
		{"comfreytack_control_events_dropped_total", "Events that found the control goroutine's backlog full.", c.loop.Dropped},
		{"comfreytack_control_panics_total", "Panics of the control goroutine that were contained to one event.", c.loop.Contained},
		{"comfreytack_platform_reads_total", "Reads of the platform.", func() uint64 { reads, _ := c.reads.Counts(); return reads }},
		{"comfreytack_platform_read_failures_total", "Reads of the platform without a usable answer.", func() uint64 { _, failures := c.reads.Counts(); return failures }},
		{"comfreytack_peer_messages_sent_total", "Control messages sent to other daemons.", traffic.MessagesOut.Load},
		{"comfreytack_peer_messages_received_total", "Control messages from other daemons.", traffic.MessagesIn.Load},
		{"comfreytack_peer_bytes_sent_total", "Bytes of control messages sent.", traffic.BytesOut.Load},
		{"comfreytack_peer_bytes_received_total", "Bytes of control messages received.", traffic.BytesIn.Load},
		{"comfreytack_peer_messages_dropped_total", "Control messages that a full queue did not take.", traffic.Dropped.Load},
	} {
		m.Watch(counter.name, counter.help, counter.read)
	}
}

// run runs the control goroutine, and the goroutines that perform its effects, until ctx ends.
func (c *controlPlane) run(ctx context.Context, listener net.Listener) error {
	c.ctx = ctx
	var running errgroup.Group
	running.Go(func() error { return errors.Wrap(c.network.Serve(ctx, listener), "peer port") })
	if c.probe != nil {
		running.Go(func() error { c.probe.Run(ctx); return nil })
	}
	c.loop.Run(ctx)
	c.network.Close()
	return running.Wait()
}

// changed tells the watchers of a new snapshot.
func (c *controlPlane) changed(before, after *model.Snapshot) {
	for _, watch := range c.watchers {
		watch(before, after)
	}
}

// perform starts an effect that the control state has requested. It does not block.
func (c *controlPlane) perform(effect daemon.Effect) {
	switch e := effect.(type) {
	case daemon.SendPeer:
		c.network.Send(e)
	case daemon.ReadPlatform:
		go c.read(e)
	}
}

// read reads the platform. A panic, as an entry that nobody expected may cause, counts as a failed read.
func (c *controlPlane) read(read daemon.ReadPlatform) {
	defer func() {
		if cause := recover(); cause != nil {
			c.logPanic(cause)
			// Without the event the control state would start no other read.
			for c.ctx.Err() == nil && !c.loop.Post(daemon.ChangesRead{Failed: true}) {
				time.Sleep(tickInterval)
			}
		}
	}()
	c.reads.Read(c.ctx, read)
}

// logPanic logs the cause and the stack of a contained panic.
func (c *controlPlane) logPanic(cause any) {
	c.log.Error("panic contained", field.Error, fmt.Sprint(cause), "stack", string(debug.Stack()))
}
