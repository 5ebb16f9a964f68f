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
	// exchangeTimeout applies to exchanges that are not calls; a call has its deadline instead.
	exchangeTimeout      = 10 * time.Second
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 64 << 10
	operatorsStopTimeout = 100 * time.Millisecond
	// refuseLinger is how long a stopping daemon keeps its ports open and refuses new work, so that other daemons and
	// callers learn that it is stopping.
	refuseLinger = 2 * time.Second
	// closeLinger bounds how much longer the daemon answers callers who keep their connections open. Each answer asks
	// them to close the connection; if the daemon closed it, it could cut off a request that is on its way.
	closeLinger = 8 * time.Second
	// lingerDivisor bounds refuseLinger and closeLinger, each to this fraction of the time for the whole stop.
	lingerDivisor = 4
	// stopShare is the share of stop_ms that the stop may use. The rest lets the process end within stop_ms on a busy
	// machine too: net/http waits up to five seconds for a connection that was opened and never used.
	stopShare = 0.85
	// peerListenerIndex is the index of the peer port among the listeners, after those of the HTTP servers.
	peerListenerIndex = 3
)

// Serve runs the daemon until ctx ends, and then waits for the work in flight.
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
	running.Go(func() error { return parts.control(control, listeners[peerListenerIndex]) })
	running.Go(func() error { parts.probeGates(control); return nil })
	var stopping atomic.Bool
	servers := []*http.Server{
		newServer(closeWhenStopping(&stopping, parts.callers)),
		newServer(closeWhenStopping(&stopping, parts.gate)),
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
	stopTimeout := time.Duration(stopShare * settings.StopMs * float64(time.Millisecond))
	stoppingSince := time.Now()
	time.Sleep(min(refuseLinger, stopTimeout/lingerDivisor))
	callers.wait(min(closeLinger, stopTimeout/lingerDivisor))
	err = shutDown(servers, parts.finish, stopTimeout-time.Since(stoppingSince))
	stopControl()
	if waitErr := running.Wait(); err == nil {
		err = waitErr
	}
	log.Info("stopped", "name", settings.Name)
	return err
}

// closeWhenStopping asks clients to close their connections while the daemon is stopping, so that no connection is
// closed later with a request on its way.
func closeWhenStopping(stopping *atomic.Bool, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// shutDown waits for calls from callers and from other daemons, and then for keyed calls whose callers have
// disconnected. The operators' port closes last.
func shutDown(servers []*http.Server, finish func(context.Context), timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var closing errgroup.Group
	for _, server := range servers[:2] {
		closing.Go(func() error { return server.Shutdown(ctx) })
	}
	err := closing.Wait()
	finish(ctx)
	operatorsCtx, cancelOperators := context.WithTimeout(context.Background(), operatorsStopTimeout)
	defer cancelOperators()
	_ = servers[2].Shutdown(operatorsCtx)
	return errors.Wrap(err, "work in flight did not end within stop_ms")
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
