package relay

import (
	"net/http/httptrace"
	"sync"

	"comfreytack/core/model"
)

// progress tracks whether any byte of one request was written. The transport calls useConn before it writes, and again
// if it moves to another connection because it wrote nothing on the first.
type progress struct {
	// confirm decides whether the request is written; nil confirms it.
	confirm func() *model.Failure

	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
	// reused is true if the connection has carried another request.
	reused bool
	// refused is why the request was not confirmed, or nil.
	refused *model.Failure
}

// useConn records the connection that the request will use.
func (p *progress) useConn(info httptrace.GotConnInfo) {
	counting, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	writtenBefore := counting.beginRequest(p.confirmed)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = counting
	p.reused = info.Reused
	p.writtenBefore = writtenBefore
}

// foundClosed reports whether the request got a pooled connection on which nothing of it was written, for no reason of its
// own.
func (p *progress) foundClosed() bool {
	p.mu.Lock()
	mayRepeat := p.reused && p.refused == nil
	p.mu.Unlock()
	return mayRepeat && !p.wrote()
}

// confirmed reports whether the request may be written now.
func (p *progress) confirmed() bool {
	if p.confirm == nil {
		return true
	}
	failure := p.confirm()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = failure
	return failure == nil
}

// refusal returns why the request was not confirmed, or nil.
func (p *progress) refusal() *model.Failure {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// wrote reports whether a byte of the request may have been sent.
func (p *progress) wrote() bool {
	conn, writtenBefore := p.current()
	return conn != nil && conn.writtenBytes() != writtenBefore
}

// malformed returns why what was received is no answer, or nil.
func (p *progress) malformed() error {
	if conn, _ := p.current(); conn != nil {
		return conn.malformedAnswer()
	}
	return nil
}

// retire is countingConn.retire of the connection in use.
func (p *progress) retire() bool {
	conn, _ := p.current()
	return conn == nil || conn.retire()
}

// abort closes the connection, so that nothing more of the request is sent.
func (p *progress) abort() {
	if conn, _ := p.current(); conn != nil {
		_ = conn.Close()
	}
}

// current returns the connection in use and the bytes that were written on it before the request. The lock is released,
// because a connection holds its own lock while it calls confirmed.
func (p *progress) current() (*countingConn, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn, p.writtenBefore
}
