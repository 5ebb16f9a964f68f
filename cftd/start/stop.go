package start

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"comfreytack/cftd/intake"
	"comfreytack/core/model"
	"comfreytack/core/traffic/idle"
)

const (
	// lameDuckTime is how long a stopping daemon serves as usual while it says that it is not ready: the time of two
	// checks a second apart, after which callers turn to other daemons.
	lameDuckTime = 2200 * time.Millisecond
	// lameDuckDivisor bounds lameDuckTime to this fraction of the time for the whole stop.
	lameDuckDivisor = 2
	// closeLinger bounds how long the daemon then waits for callers to close their connections. Each answer asks them to;
	// if the daemon closed a connection, it could cut off a request that is on its way.
	closeLinger = 400 * time.Millisecond
	// closeLingerDivisor bounds closeLinger to this fraction of the time for the whole stop.
	closeLingerDivisor   = 12
	operatorsStopTimeout = 100 * time.Millisecond
	// answerMargin is the time for the answer of a call that ends at its deadline.
	answerMargin = 100 * time.Millisecond
	// stopShare is the share of stop_ms that the stop may use. The rest lets the process end within stop_ms on a busy
	// machine too.
	stopShare = 0.85
)

// stopper stops a daemon in steps, so that callers and other daemons turn elsewhere before it stops working:
//
//	lame duck   not ready, asks callers to close their connections, and serves as usual
//	refusing    its gate takes no new calls, which other daemons learn, and its entry none that may outlast the stop; it
//	            finishes the work in flight
//	closed      its ports are closed
type stopper struct {
	// lameDuck is true from the request to stop.
	lameDuck atomic.Bool
	// refusing is true when the gate takes no new calls.
	refusing atomic.Bool
	// end is when connections with work in flight are closed. It is set before refusing, and not changed any more.
	end time.Time
	// work counts the calls at the gate.
	work idle.Counter
	// servers has those of the callers', the gate's and the operators' port, in this order.
	servers []*intake.Server
	// refuse makes the gate take no new calls, and announces that to other daemons.
	refuse func()
	// finish waits for keyed calls whose callers have disconnected.
	finish func(context.Context)
}

// stop goes through the steps and returns when the ports are closed, at the latest after the given time. The error says
// that work was still in flight then.
func (s *stopper) stop(within time.Duration) error {
	s.end = time.Now().Add(within)
	ctx, cancel := context.WithDeadline(context.Background(), s.end)
	defer cancel()
	s.lameDuck.Store(true)
	time.Sleep(min(lameDuckTime, within/lameDuckDivisor))
	s.refuse()
	s.refusing.Store(true)
	linger, cancelLinger := context.WithTimeout(ctx, min(closeLinger, within/closeLingerDivisor))
	defer cancelLinger()
	s.servers[0].Wait(linger)
	// The ports stay open for calls that the upstream makes while it finishes its work, and for callers that still come.
	s.work.Wait(ctx)
	return s.shutDown(ctx)
}

// admit returns why a call with the given deadline is not taken, or nil. A call that may outlast the stop would be cut off
// after it was passed on.
func (s *stopper) admit(deadline time.Time) *model.Failure {
	if !s.refusing.Load() || deadline.Before(s.end.Add(-answerMargin)) {
		return nil
	}
	return &model.Failure{Verdict: model.NotRun, Reason: model.Stopping, RetryAfter: max(0, time.Until(s.end))}
}

// shutDown closes the ports, waits for the calls from callers and from other daemons, and then for keyed calls whose
// callers have disconnected. The operators' port closes last.
func (s *stopper) shutDown(ctx context.Context) error {
	var closing errgroup.Group
	for _, server := range s.servers[:operatorsIndex] {
		closing.Go(func() error { return server.Shutdown(ctx) })
	}
	err := closing.Wait()
	s.finish(ctx)
	operatorsCtx, cancelOperators := context.WithTimeout(context.Background(), operatorsStopTimeout)
	defer cancelOperators()
	_ = s.servers[operatorsIndex].Shutdown(operatorsCtx)
	return errors.Wrap(err, "work in flight did not end within stop_ms")
}
