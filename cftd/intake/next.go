package intake

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/query/evict"
)

// runBytes is the estimated memory of a running request: goroutines, buffers and the copy of a short body.
const runBytes = 40 << 10

// nextExchange reads the next head and returns its exchange, or nil when no further one is to be served.
func (c *conn) nextExchange() *exchange {
	if c.inbox.Len() == 0 && !c.awaitBytes() {
		return nil
	}
	size, scan, refused, err := c.readHead()
	switch {
	case err != nil:
		c.hangUp()
		return nil
	case c.isOver():
		return nil
	case c.server.closesConns() && c.hasQueue():
		// The last answer of the queue closes the connection, so that this request counts as not read.
		return nil
	case refused == nil && c.server.stopping.Load():
		refused = refuseStopping
	}
	if refused != nil {
		return c.refuse(refused)
	}
	return c.admit(size, scan)
}

func (c *conn) isOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *conn) hasQueue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// awaitBytes waits for the first bytes of a request. It returns false when the connection is over.
func (c *conn) awaitBytes() bool {
	for {
		if !c.beginWait() {
			return false
		}
		refused, err := c.inbox.fill()
		c.mu.Lock()
		c.duty = busy
		idle := len(c.queue) == 0
		over := c.ended
		c.mu.Unlock()
		var timeout net.Error
		switch {
		case over:
			return false
		case refused != nil:
			c.refused(refused)
			return false
		case err == nil:
			return true
		case !errors.As(err, &timeout) || !timeout.Timeout():
			c.hangUp()
			return false
		case idle:
			return false
		}
		// The deadline was that of an earlier idle time.
	}
}

// beginWait starts the idle timeout, unless a request is in progress.
func (c *conn) beginWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := len(c.queue) == 0
	if c.ended || idle && c.server.stopping.Load() {
		return false
	}
	c.duty = waiting
	if idle {
		c.inbox.shrink()
		_ = c.rwc.SetReadDeadline(time.Now().Add(c.server.settings.Limits().Idle))
	} else {
		_ = c.rwc.SetReadDeadline(time.Time{})
	}
	return true
}

// readHead receives the rest of a head and returns its size. It drops empty lines in front of it. The error says that
// the caller has left.
func (c *conn) readHead() (int, headScan, *refusal, error) {
	limits := c.server.settings.Limits()
	var scan headScan
	empty, timed := 0, false
	for {
		if scan.scanned == 0 {
			drop := emptyBytes(c.inbox.bytes())
			empty += drop
			c.inbox.discard(drop)
		}
		if empty > maxEmptyBytes {
			return 0, scan, refuseMalformed, nil
		}
		size, complete := scan.find(c.inbox.bytes())
		if max(size, scan.scanned) > limits.HeadBytes {
			return 0, scan, refuseHeadSize, nil
		}
		if complete {
			return size, scan, nil, nil
		}
		if !timed {
			timed = true
			c.beginHead(limits.Head)
		}
		if refused, err := c.inbox.fill(); refused != nil || err != nil {
			return 0, scan, timeoutRefusal(refused, err), unlessTimeout(err)
		}
	}
}

func (c *conn) beginHead(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		c.account.SetPhase(evict.Reading)
	}
	if !c.ended {
		_ = c.rwc.SetReadDeadline(time.Now().Add(within))
	}
}

func timeoutRefusal(refused *refusal, err error) *refusal {
	if refused == nil && unlessTimeout(err) == nil {
		return refuseHeadTimeout
	}
	return refused
}

func unlessTimeout(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil
	}
	return err
}

// admit reserves the memory for a request and parses it.
func (c *conn) admit(size int, scan headScan) *exchange {
	reserved := scan.weight(size) + runBytes
	// Before the memory is granted, so that the connection is not closed for what its request needs.
	c.account.SetPhase(evict.Running)
	if !c.account.Reserve(reserved) {
		return c.refuse(refuseMemory)
	}
	request, reader, refused := parse(c.inbox.bytes()[:size], scan, &c.inbox)
	if refused != nil {
		c.account.Release(reserved)
		return c.refuse(refused)
	}
	c.inbox.discard(size)
	ctx, cancel := context.WithCancel(c.ctx)
	e := c.newExchange(request.WithContext(ctx), cancel)
	e.reserved = reserved
	if request.Body == http.NoBody {
		headReaders.Put(reader)
		return e
	}
	e.body = newBody(e, request, reader)
	e.request.Body = e.body
	return e
}

func (c *conn) newExchange(request *http.Request, cancel context.CancelFunc) *exchange {
	request.RemoteAddr = c.account.remote
	return &exchange{
		conn: c, request: request, cancel: cancel, header: http.Header{},
		writeDeadline: time.Now().Add(exchangeTimeout),
	}
}

// refuse returns an exchange that is answered with a refusal, after which the connection is closed.
func (c *conn) refuse(refused *refusal) *exchange {
	c.refused(refused)
	request := &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody}
	e := c.newExchange(request, func() {})
	e.refusal = refused
	return e
}

func (c *conn) refused(refused *refusal) {
	c.server.settings.Budget.Refused(c.server.settings.Port, refused.label, c.account.remote)
}
