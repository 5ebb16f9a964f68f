package relay

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errUnsolicited ends a connection on which bytes arrived that answer no request.
var errUnsolicited = errors.New("the other side sent bytes before it was asked")

// countingConn ties bytes to requests. It tells whether a byte of a request may have left, and it makes sure
// that what was received before the request was sent is not taken for its answer: net/http gives a
// connection to the next request without looking at what follows the end of the last answer.
type countingConn struct {
	net.Conn

	mu sync.Mutex
	// changed is signalled when reading or closed is set.
	changed *sync.Cond
	// written counts the bytes that were handed to the kernel, or are about to be.
	written int64
	// reading is true while a Read waits; then everything received before has been used.
	reading bool
	// requestWritten is true once a byte of the newest request was written.
	requestWritten bool
	closed         bool
}

func newCountingConn(conn net.Conn) *countingConn {
	c := &countingConn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Write counts before it writes, so that a request whose exchange was given up meanwhile is not taken for
// one that never left. The first write of a request waits until the answers to earlier ones are used up.
func (c *countingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	for !c.requestWritten && !c.reading && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.requestWritten = true
	c.written += int64(len(data))
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// Read fails when bytes arrive that no request has asked for.
func (c *countingConn) Read(data []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && !c.requestWritten {
		return 0, errUnsolicited
	}
	return n, err
}

// Close ends a waiting Write, too.
func (c *countingConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// beginRequest begins a new request and returns the count of bytes before it.
func (c *countingConn) beginRequest() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestWritten = false
	return c.written
}

func (c *countingConn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// countingDialer wraps each new connection.
func countingDialer(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCountingConn(conn), nil
	}
}

// progress tells whether any byte of one request was written. The transport calls obtained before it
// writes, and again if it changes to another connection because it wrote nothing on the first.
type progress struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
}

// useConn notes the connection that the request will use.
func (p *progress) useConn(conn net.Conn) {
	counting, ok := conn.(*countingConn)
	if !ok {
		return
	}
	writtenBefore := counting.beginRequest()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = counting
	p.writtenBefore = writtenBefore
}

// wrote says whether a byte of the request may have left.
func (p *progress) wrote() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil && p.conn.writtenBytes() != p.writtenBefore
}

// abort closes the connection, so that nothing more of the request leaves.
func (p *progress) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.Close()
	}
}
