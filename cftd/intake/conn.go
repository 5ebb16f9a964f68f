package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"comfreytack/core/query/evict"
)

// duty is what the goroutine of a connection is doing.
type duty int

const (
	// busy neither reads nor waits.
	busy duty = iota
	// waiting waits for the first byte of a request.
	waiting
	// receiving leaves reading to the body of a request.
	receiving
	// watching waits for exchanges to end, and for the caller to close the connection.
	watching
)

// firstTurn is the turn of requests that come when all before them have been answered.
var firstTurn = func() chan struct{} {
	turn := make(chan struct{})
	close(turn)
	return turn
}()

// conn is a connection. Its goroutine reads heads and starts an exchange for each, in a goroutine of its own.
type conn struct {
	server  *Server
	rwc     *net.TCPConn
	account *Account
	inbox   inbox
	// ctx ends when the caller has left or the connection is over.
	ctx    context.Context
	cancel context.CancelFunc
	// running counts the exchanges whose goroutine has not ended.
	running sync.WaitGroup

	mu   sync.Mutex
	duty duty
	// queue has the exchanges whose answers have not been written, in the order of their requests. All but the first run
	// ahead.
	queue []*exchange
	// readAll is true when no further request is read.
	readAll bool
	// ended is true when no further answer is written.
	ended bool
	// linger is true when the caller may still be sending when the connection is closed.
	linger bool
}

// serve serves the connection until it ends.
func (c *conn) serve() {
	for c.serveNext() {
	}
	c.mu.Lock()
	c.readAll = true
	c.ended = c.ended || len(c.queue) == 0
	c.mu.Unlock()
	c.watch(func() bool { return false })
	c.close()
}

// serveNext starts the next request. It returns false when no further one is read.
func (c *conn) serveNext() bool {
	e := c.nextExchange()
	if e == nil || !c.start(e) {
		return false
	}
	if e.body != nil {
		// Nothing else may read, not even to watch for the caller's close.
		<-e.body.done
		if !e.body.whole.Load() {
			return false
		}
	}
	return e.refusal == nil && !e.request.Close && e.request.ProtoAtLeast(1, 1)
}

// start runs the exchange as soon as it may run. It returns false when the connection ends first.
func (c *conn) start(e *exchange) bool {
	started := c.watch(func() bool {
		if !c.mayStart(e) {
			return false
		}
		c.begin(e)
		return true
	})
	if !started {
		c.account.Release(e.reserved)
	}
	return started
}

// begin runs the exchange. The caller holds mu, so that the connection has not ended since it was asked whether the
// exchange may start.
func (c *conn) begin(e *exchange) {
	if len(c.queue) == 0 {
		e.turn = firstTurn
		c.account.SetPhase(evict.Running)
	} else {
		e.turn = make(chan struct{})
	}
	c.queue = append(c.queue, e)
	if e.body != nil {
		c.duty = receiving
		_ = c.rwc.SetReadDeadline(time.Now().Add(exchangeTimeout))
	}
	c.running.Go(func() { c.run(e) })
}

// mayStart reports whether the exchange may run now: when all earlier answers have been written, or, up to a depth, when
// it and all earlier ones may run ahead. The caller holds mu.
func (c *conn) mayStart(e *exchange) bool {
	if len(c.queue) == 0 {
		return true
	}
	if len(c.queue) >= maxAhead || !c.runsAhead(e) {
		return false
	}
	for _, earlier := range c.queue {
		if !c.runsAhead(earlier) {
			return false
		}
	}
	return true
}

// runsAhead reports whether the request may run before earlier ones have been answered.
func (c *conn) runsAhead(e *exchange) bool {
	if e.refusal != nil || c.server.settings.Ahead == nil {
		return false
	}
	if !e.classified {
		e.classified, e.ahead = true, c.server.settings.Ahead(e.request)
	}
	return e.ahead
}

// run runs the handler and writes its answer. A panic ends the connection, after the earlier answers were written.
func (c *conn) run(e *exchange) {
	e.broken = !c.server.handle(e)
	e.cancel()
	c.done(e, e.finish())
}

// done removes an exchange whose answer was written, or could not be written; keep says whether the next one follows.
func (c *conn) done(e *exchange, keep bool) {
	c.account.Release(e.reserved + e.held)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.queue = c.queue[1:]
	c.ended = !keep || c.readAll && len(c.queue) == 0
	if c.ended || len(c.queue) == 0 {
		c.account.SetPhase(evict.Idle)
	}
	switch {
	case c.ended:
		c.linger = e.err == nil && !e.broken
		c.cancel()
		_ = c.rwc.SetReadDeadline(longAgo)
	case len(c.queue) > 0:
		close(c.queue[0].turn)
	default:
		c.queue = nil
		if c.duty == waiting {
			_ = c.rwc.SetReadDeadline(time.Now().Add(c.server.settings.Limits().Idle))
		}
	}
	if c.duty == watching {
		_ = c.rwc.SetReadDeadline(longAgo)
	}
}

// isLast reports whether the connection closes after this answer: because the caller or the handler asks for it, because
// the request was not read to its end, or because the daemon stops and nothing was started behind it.
func (c *conn) isLast(e *exchange) bool {
	if e.last || e.refusal != nil || e.request.Close || !e.request.ProtoAtLeast(1, 1) {
		return true
	}
	if e.body != nil && !e.body.whole.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server.closesConns() && c.queue[len(c.queue)-1] == e
}

// setBodyDeadline bounds the time to read the body of the exchange, if it is still being read.
func (c *conn) setBodyDeadline(e *exchange, deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duty != receiving || c.ended || c.queue[len(c.queue)-1] != e {
		return nil
	}
	return c.rwc.SetReadDeadline(deadline)
}

// watch waits until ready returns true, and cancels all calls when the caller closes the connection first. It returns
// false when the connection has ended. ready is called with mu held.
func (c *conn) watch(ready func() bool) bool {
	for {
		c.mu.Lock()
		c.duty = busy
		if c.ended || ready() {
			defer c.mu.Unlock()
			return !c.ended
		}
		c.duty = watching
		_ = c.rwc.SetReadDeadline(time.Time{})
		c.mu.Unlock()
		if awaitHangup(c.rwc) {
			c.hangUp()
		}
	}
}

// hangUp ends the connection because the caller has closed it.
func (c *conn) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.cancel()
}

// evict closes the connection at once, so that another one gets what it holds.
func (c *conn) evict() {
	c.cancel()
	_ = c.rwc.Close()
}

// close closes the connection when no further answer is written, and waits for its exchanges.
func (c *conn) close() {
	c.cancel()
	if c.linger {
		c.drain()
	}
	_ = c.rwc.Close()
	c.running.Wait()
	c.account.Close()
}

// drain closes the sending side and reads on for a while: a close with bytes unread would be a reset, which may overtake
// the answer.
func (c *conn) drain() {
	_ = c.rwc.CloseWrite()
	_ = c.rwc.SetReadDeadline(time.Now().Add(drainTimeout))
	buffer := make([]byte, firstBuffer)
	for range maxDrainBytes / firstBuffer {
		if _, err := c.rwc.Read(buffer); err != nil {
			return
		}
	}
}

var _ http.ResponseWriter = (*exchange)(nil)
