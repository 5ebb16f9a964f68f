package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// errRefused closes a connection on which a request was about to be written that was not confirmed.
var errRefused = errors.New("request not confirmed")

// errUnsolicited closes a connection on which bytes arrived that belong to no request's answer.
var errUnsolicited = errors.New("received bytes before a request was written")

// errRepeated is the cause when a refusal may be a copy of an earlier one on its connection.
var errRepeated = errors.New("a refusal that names no request came before on this connection")

// countingConn is a connection that assigns bytes to requests. It reports whether any byte of a request may have been
// sent, and makes sure that what was received before the request was sent is not taken for its answer: net/http gives
// a connection to the next request without looking at what follows the end of the last answer.
type countingConn struct {
	net.Conn

	mu sync.Mutex
	// changed is broadcast when reading or closed is set, and when writing is cleared.
	changed *sync.Cond
	// written counts the bytes that were handed to the kernel, or are about to be.
	written int64
	// writing is true while a Write is in progress.
	writing bool
	// writeErr is the first error of a Write.
	writeErr error
	// head checks the heads of the answers to the current request. malformed is what it found, after which nothing more is
	// received.
	head      answerHead
	malformed error
	// reading is true while a Read is blocked; everything received before has then been consumed.
	reading bool
	// retired is true once a refusal was received that names no request.
	retired bool
	// requestWritten is true once a byte of the current request was written.
	requestWritten bool
	// confirm decides immediately before its first byte whether the current request is written; nil after that.
	confirm func() bool
	closed  bool
}

func newCountingConn(conn net.Conn) *countingConn {
	c := &countingConn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Write counts the bytes before it writes them, so that a request that is cancelled meanwhile is not taken for one that
// was never sent. The first write of a request waits until the answers to earlier ones have been consumed.
func (c *countingConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	for !c.requestWritten && !c.reading && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if confirm := c.confirm; confirm != nil {
		c.confirm = nil
		if !confirm() {
			c.closed = true
			c.mu.Unlock()
			return 0, errRefused
		}
	}
	c.requestWritten = true
	c.written += int64(len(data))
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.changed.Broadcast()
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read fails when bytes arrive before any byte of the current request was written, when they are no answer, and when the
// connection was reset.
func (c *countingConn) Read(data []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if err == io.EOF {
		return n, c.endError()
	}
	if n > 0 && !c.requestWritten {
		return 0, errUnsolicited
	}
	if c.malformed == nil {
		c.malformed = c.head.add(data[:n])
	}
	if c.malformed != nil {
		return 0, c.malformed
	}
	return n, err
}

// endError returns io.EOF when the peer has ended its side of the connection. The kernel reports a reset once, and a Write
// may get that error: then it is returned here too, since an answer may end with its connection. The caller holds mu.
func (c *countingConn) endError() error {
	if !isDown(c.Conn) {
		return io.EOF
	}
	// A Write on a connection that is down returns at once.
	for c.writing {
		c.changed.Wait()
	}
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		// EPIPE comes first when the peer had ended its side before the reset.
		return io.EOF
	}
	return errors.Wrap(c.writeErr, "connection lost while the request was sent")
}

// isDown reports whether both sides of a connection are down, as after a reset.
func isDown(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	down := true
	// An error means that this side has closed the connection.
	_ = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(events, 0)
		down = err == nil && events[0].Revents&unix.POLLHUP != 0
	})
	return down
}

// Close closes the connection and wakes a Write that waits.
func (c *countingConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// beginRequest starts a new request and returns the number of bytes written before it.
func (c *countingConn) beginRequest(confirm func() bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestWritten = false
	c.confirm = confirm
	c.head = answerHead{line: c.head.line[:0]}
	return c.written
}

// retire is called after a refusal that names no request. It closes the connection, unless the next request has begun on it
// already, and returns false if it was called before: the refusal may be a copy of that one then.
func (c *countingConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return false
	}
	c.retired = true
	if c.requestWritten {
		c.closed = true
		c.changed.Broadcast()
		_ = c.Conn.Close()
	}
	return true
}

// malformedAnswer returns why what was received is no answer, or nil.
func (c *countingConn) malformedAnswer() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}

func (c *countingConn) writtenBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// countingDialer returns a dial function that wraps each new connection in a countingConn.
func countingDialer(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCountingConn(conn), nil
	}
}
