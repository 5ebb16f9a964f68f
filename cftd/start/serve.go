package start

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"comfreytack/cftd/talk"
	"comfreytack/core/setup"
)

const (
	// operatorsIndex is the index of the operators' port among the HTTP servers, and peerListener that of the peer port
	// among the listeners, after those of the HTTP servers.
	operatorsIndex = 2
	peerListener   = 3
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
	stopper.refuse, stopper.finish, stopper.servers = parts.refuse, parts.finish, parts.servers
	for i, server := range parts.servers {
		running.Go(func() error { return server.Serve(listeners[i]) })
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

func listen(settings setup.Settings) ([]*net.TCPListener, error) {
	var listeners []*net.TCPListener
	for _, address := range []string{string(settings.Callers), string(settings.Gate), string(settings.Operators), string(settings.Peer)} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", address)
		}
		listeners = append(listeners, listener.(*net.TCPListener))
	}
	return listeners, nil
}
