package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	errBodyClosed = errors.New("request body read after its request was answered")
	// longAgo interrupts a read when it is set as a deadline.
	longAgo = time.Unix(1, 0)
)

// body is the body of a request. Until it is done, nothing else reads from the connection. It is safe for concurrent
// use: a sender may still read it when its request has been answered.
type body struct {
	exchange *exchange
	// done is closed when nothing reads the body any more.
	done chan struct{}
	// closed is true once the request was answered; no more is read then.
	closed atomic.Bool
	// whole is true once the body was read to its end.
	whole atomic.Bool

	// mu is held while the body is read.
	mu     sync.Mutex
	inner  io.Reader
	reader *bufio.Reader
	err    error
	// left is how much of a declared length has not been read; negative for chunks.
	left int64
	// waiting is true until a caller that waits for it was told to send the body.
	waiting bool
}

func newBody(e *exchange, request *http.Request, reader *bufio.Reader) *body {
	return &body{
		exchange: e, done: make(chan struct{}), inner: request.Body, reader: reader, left: request.ContentLength,
		waiting: expectsContinue(request),
	}
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.err != nil:
		return 0, b.err
	case b.closed.Load():
		return 0, errBodyClosed
	}
	if b.waiting {
		b.waiting = false
		if err := b.exchange.sendContinue(); err != nil {
			b.end(err)
			return 0, err
		}
	}
	n, err := b.inner.Read(data)
	b.left -= int64(n)
	if err != nil {
		b.end(err)
	}
	return n, err
}

// end stops reading; the error is io.EOF at the end of the body. When the caller has left, all calls of its connection are
// cancelled. A deadline that has passed says nothing about the others: the body came too late, or nobody wants its rest.
func (b *body) end(err error) {
	b.err = err
	rest, _ := b.reader.Peek(b.reader.Buffered())
	b.whole.Store(err == io.EOF && b.exchange.conn.inbox.unread(rest))
	headReaders.Put(b.reader)
	b.inner, b.reader = nil, nil
	close(b.done)
	var network net.Error
	if err == io.ErrUnexpectedEOF || errors.As(err, &network) && !network.Timeout() {
		b.exchange.conn.cancel()
	}
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.closed.Store(true)
	return nil
}

// discardReceived reads the rest of a body that was received already, so that the connection can be kept.
func (b *body) discardReceived() {
	if !b.mu.TryLock() {
		return
	}
	received := b.err == nil && !b.waiting && b.left > 0 && b.left <= int64(b.exchange.conn.inbox.Len())
	b.mu.Unlock()
	if received {
		_, _ = io.Copy(io.Discard, b)
	}
}

// abandon ends the reading of the body. When it returns, nothing reads from the connection for it.
func (b *body) abandon() {
	b.closed.Store(true)
	if b.whole.Load() {
		return
	}
	_ = b.exchange.conn.rwc.SetReadDeadline(longAgo)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.end(errBodyClosed)
	}
}
