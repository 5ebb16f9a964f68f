package start

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"comfreytack/cftd/relay"
	"comfreytack/cftd/talk"
	"comfreytack/core/setup"
)

const (
	readHeaderTimeout = 5 * time.Second
	// exchangeTimeout holds for exchanges that are not calls; a call has its deadline instead.
	exchangeTimeout = 10 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 64 << 10
	operatorsStop   = 100 * time.Millisecond
	// shortestLinger is how long a stopping daemon still refuses work politely, so that the others hear of it.
	shortestLinger = 2 * time.Second
	// longestLinger is how much longer it answers callers who keep their connection open; each answer asks
	// them to close it. A connection that the daemon closes may have a request on its way.
	longestLinger = 8 * time.Second
	// lingerShare bounds each linger to a part of stop_ms.
	lingerShare = 4
	// stopShare is the part of stop_ms that work may take, so that the process has ended when it is over, on a busy
	// machine too. net/http waits up to five seconds for a connection that was opened and never used.
	stopShare = 0.85
	// peerListener is the place of the peer port among the listeners, behind those of HTTP servers.
	peerListener = 3
)

// Serve runs the daemon until ctx ends, then finishes what is in flight.
func Serve[D talk.Dialect](ctx context.Context, front Front[D], settings setup.Settings, options Options, log *slog.Logger) error {
	parts, err := build(front, settings, options, log)
	if err != nil {
		return err
	}
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	control, stopControl := context.WithCancel(context.Background())
	defer stopControl()
	var running errgroup.Group
	running.Go(func() error { return parts.control(control, listeners[peerListener]) })
	running.Go(func() error { parts.ask(control); return nil })
	var stopping atomic.Bool
	servers := []*http.Server{
		newServer(closeWhen(&stopping, parts.callers)),
		newServer(closeWhen(&stopping, parts.gate)),
		newServer(parts.operators),
	}
	var callers openConns
	servers[0].ConnState = func(conn net.Conn, state http.ConnState) {
		relay.GuardState(conn, state)
		callers.track(state)
	}
	for i, server := range servers {
		running.Go(func() error { return ignoreClosed(server.Serve(relay.Guard(listeners[i]))) })
	}
	log.Info("started", "name", settings.Name, "service", settings.Service, "callers", settings.Callers, "version", Version)
	<-ctx.Done()
	log.Info("stopping", "name", settings.Name)
	parts.stop()
	stopping.Store(true)
	longest := time.Duration(stopShare * settings.StopMs * float64(time.Millisecond))
	lingering := time.Now()
	time.Sleep(min(shortestLinger, longest/lingerShare))
	callers.wait(min(longestLinger, longest/lingerShare))
	err = shutDown(servers, parts.finish, longest-time.Since(lingering))
	stopControl()
	if waitErr := running.Wait(); err == nil {
		err = waitErr
	}
	log.Info("stopped", "name", settings.Name)
	return err
}

// closeWhen asks clients to close their connections once the daemon stops, so that none of them is
// cut off later with a request on its way.
func closeWhen(stopping *atomic.Bool, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// shutDown lets callers' and peers' calls finish first, then keyed calls whose callers have left; the
// operators' port is the last to close.
func shutDown(servers []*http.Server, finish func(context.Context), longest time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	var closing errgroup.Group
	for _, server := range servers[:2] {
		closing.Go(func() error { return server.Shutdown(ctx) })
	}
	err := closing.Wait()
	finish(ctx)
	last, cancelLast := context.WithTimeout(context.Background(), operatorsStop)
	defer cancelLast()
	_ = servers[2].Shutdown(last)
	return errors.Wrap(err, "work in flight outlasted stop_ms")
}

func listen(settings setup.Settings) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range []string{string(settings.Callers), string(settings.Gate), string(settings.Operators), string(settings.Peer)} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       exchangeTimeout,
		WriteTimeout:      exchangeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         relay.GuardState,
	}
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
