package start

import (
	"context"
	"log/slog"
	"net"
	"net/http"
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
	exchangeTimeout = 10 * time.Second
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 64 << 10
	// operatorsServer is the index of the operators' port among the HTTP servers, and peerListener that of the peer port
	// among the listeners, after those of the HTTP servers.
	operatorsServer = 2
	peerListener    = 3
)

// Serve runs the daemon until ctx ends, and then waits for the work in flight.
func Serve[D talk.Dialect](ctx context.Context, front Front[D], settings setup.Settings, options Options, log *slog.Logger) error {
	stopper := &stopper{}
	parts, err := build(front, settings, options, stopper, log)
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
	running.Go(func() error { parts.probeGates(control); return nil })
	servers := newServers(parts, stopper)
	for i, server := range servers {
		running.Go(func() error { return ignoreClosed(server.Serve(relay.Guard(listeners[i]))) })
	}
	log.Info("started", "name", settings.Name, "service", settings.Service, "callers", settings.Callers, "version", Version)
	<-ctx.Done()
	log.Info("stopping", "name", settings.Name)
	err = stopper.stop(time.Duration(stopShare * settings.StopMs * float64(time.Millisecond)))
	stopControl()
	if waitErr := running.Wait(); err == nil {
		err = waitErr
	}
	log.Info("stopped", "name", settings.Name)
	return err
}

// newServers returns the servers of the callers', the gate's and the operators' port, and makes them known to the
// stopper.
func newServers(parts *parts, stopper *stopper) []*http.Server {
	stopper.refuse, stopper.finish = parts.refuse, parts.finish
	stopper.servers = []*http.Server{
		newServer(closeWhen(&stopper.lameDuck, parts.callers)),
		newServer(closeWhen(&stopper.refusing, parts.gate)),
		newServer(parts.operators),
	}
	stopper.servers[0].ConnState = stopper.trackCaller
	stopper.servers[1].ConnState = stopper.trackUnused
	return stopper.servers
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
