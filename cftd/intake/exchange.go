package intake

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// sniffBytes is how much of an answer without a length is held back, so that a short one gets a length.
	sniffBytes = 2 << 10
	// outBytes is the size of the buffer of an answer that is being written.
	outBytes = 4 << 10
)

var (
	errShort   = errors.New("the answer is shorter than its declared length")
	outBuffers = sync.Pool{New: func() any { return new([outBytes]byte) }}
)

// exchange is one request of a connection and its answer. It is the http.ResponseWriter of its handler.
type exchange struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	body    *body
	// ahead is true when the request may run before earlier ones of the connection have been answered; it is known once
	// classified is true. Both are guarded by the mu of the connection.
	ahead, classified bool
	// refusal is what the server answers in place of the handler.
	refusal *refusal
	// reserved is the memory that the request was granted, in bytes.
	reserved int64
	// turn is closed when all earlier answers of the connection have been written.
	turn chan struct{}

	// mu guards what follows.
	mu     sync.Mutex
	header http.Header
	status int
	// pending has the beginning of a body whose framing is not known yet.
	pending []byte
	// out has bytes that are ready to be written. It begins in buffer, which is shared by the answers of all connections.
	out    []byte
	buffer *[outBytes]byte
	// held is the memory that out was granted while its turn had not come, in bytes.
	held int64
	// length is the declared length, or -1, and written counts the bytes of the body.
	length, written int64
	framed          bool
	chunked         bool
	bodiless        bool
	// last is true when the connection closes after this answer.
	last bool
	// broken is true when the answer must not look complete.
	broken bool
	// writeDeadline is applied to the connection with the first write, and timed is true from then on.
	writeDeadline time.Time
	timed         bool
	err           error
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter. Interim answers are not sent.
func (e *exchange) WriteHeader(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeHeader(status)
}

func (e *exchange) writeHeader(status int) {
	if e.status != 0 || status < http.StatusOK {
		return
	}
	e.status = status
	e.length = -1
	if text := e.header.Get("Content-Length"); text != "" {
		if length, err := strconv.ParseInt(text, 10, 64); err == nil && length >= 0 {
			e.length = length
		}
	}
	e.buffer = outBuffers.Get().(*[outBytes]byte)
	e.out = e.buffer[:0]
	e.bodiless = e.request.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	e.last = e.last || hasToken(e.header["Connection"], "close")
	e.encodeHead()
}

func hasToken(values []string, token string) bool {
	for _, value := range values {
		for part := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(data []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeHeader(http.StatusOK)
	if e.err != nil {
		return 0, e.err
	}
	if e.bodiless {
		if e.request.Method != http.MethodHead {
			return 0, http.ErrBodyNotAllowed
		}
		return len(data), nil
	}
	if e.length >= 0 && e.written+int64(len(data)) > e.length {
		return 0, http.ErrContentLength
	}
	e.written += int64(len(data))
	if !e.framed && e.length < 0 && len(e.pending)+len(data) <= sniffBytes {
		e.pending = append(e.pending, data...)
		return len(data), nil
	}
	e.frame(false, data)
	e.put(data)
	return len(data), e.err
}

// FlushError is called by http.ResponseController.Flush.
func (e *exchange) FlushError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeHeader(http.StatusOK)
	e.frame(false, nil)
	if e.hasTurn() {
		e.flush()
	}
	return e.err
}

// Flush implements http.Flusher.
func (e *exchange) Flush() { _ = e.FlushError() }

// EnableFullDuplex is called by http.ResponseController. An answer may always begin before its request was read.
func (e *exchange) EnableFullDuplex() error { return nil }

// SetReadDeadline is called by http.ResponseController. It bounds the time to read the request's body.
func (e *exchange) SetReadDeadline(deadline time.Time) error {
	if e.body == nil || e.body.whole.Load() {
		return nil
	}
	return e.conn.setBodyDeadline(e, deadline)
}

// SetWriteDeadline is called by http.ResponseController. It bounds the time to write the answer.
func (e *exchange) SetWriteDeadline(deadline time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeDeadline = deadline
	if e.timed {
		return e.conn.rwc.SetWriteDeadline(deadline)
	}
	return nil
}

// finish ends the answer and waits until it has been written. It reports whether the connection can be kept.
func (e *exchange) finish() bool {
	if e.body != nil {
		e.body.discardReceived()
		e.body.abandon()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.release()
	if !e.broken {
		e.writeHeader(http.StatusOK)
		if !e.bodiless && e.length > e.written {
			e.err = errShort
		}
		e.frame(true, nil)
		e.endChunks()
	}
	turnErr := e.AwaitTurn()
	if e.broken || turnErr != nil || e.err != nil {
		e.resetUndelimited()
		return false
	}
	e.flush()
	return e.err == nil && !e.last
}

// release returns the buffer.
func (e *exchange) release() {
	if e.buffer != nil {
		outBuffers.Put(e.buffer)
	}
	e.buffer, e.out, e.pending = nil, nil, nil
}

// resetUndelimited makes the close of the connection a reset, if the caller would otherwise take it for the end of the
// answer.
func (e *exchange) resetUndelimited() {
	if e.framed && !e.chunked && !e.bodiless && e.length < 0 {
		_ = e.conn.rwc.SetLinger(0)
	}
}
