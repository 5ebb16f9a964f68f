package intake

import (
	"net"
	"strconv"
	"time"
)

const (
	// holdBytes bounds what is held of an answer whose turn has not come.
	holdBytes = 256 << 10
	// writeGrace is the least time to write an answer, for one whose turn came after its own deadline.
	writeGrace = time.Second
)

// sendContinue tells a caller that waits for it to send the body. It waits until earlier answers have been written.
func (e *exchange) sendContinue() error {
	if err := e.AwaitTurn(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.framed {
		return errBodyClosed
	}
	e.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return e.err
}

// hasTurn reports whether all earlier answers have been written.
func (e *exchange) hasTurn() bool {
	select {
	case <-e.turn:
		return true
	default:
		return false
	}
}

// AwaitTurn waits until all earlier answers have been written. It fails when the connection ends first.
func (e *exchange) AwaitTurn() error {
	select {
	case <-e.turn:
		return nil
	case <-e.conn.ctx.Done():
	}
	// Both may be the case: an answer that has its turn is written although the caller may have left.
	if e.hasTurn() {
		return nil
	}
	return net.ErrClosed
}

// put sends a part of the body.
func (e *exchange) put(data []byte) {
	if len(data) == 0 {
		return
	}
	if e.chunked {
		e.send(append(strconv.AppendInt(make([]byte, 0, 16), int64(len(data)), 16), "\r\n"...))
		e.send(data)
		e.send([]byte("\r\n"))
		return
	}
	e.send(data)
}

// send buffers or writes bytes that are ready for the wire. Before the turn has come it holds them; when no more may be
// held, it waits for the turn.
func (e *exchange) send(data []byte) {
	if e.err != nil {
		return
	}
	if !e.hasTurn() {
		if e.hold(data) {
			return
		}
		if e.err = e.AwaitTurn(); e.err != nil {
			return
		}
	}
	if len(e.out)+len(data) > outBytes {
		e.flush()
	}
	if len(data) >= outBytes {
		e.write(data)
		return
	}
	e.out = append(e.out, data...)
}

// hold keeps bytes until the turn comes, if there is memory for them.
func (e *exchange) hold(data []byte) bool {
	size := len(e.out) + len(data)
	if size > holdBytes {
		return false
	}
	// Twice the size, since append doubles the buffer.
	if need := int64(2*size) - e.held; size > outBytes && need > 0 {
		if !e.conn.account.TryReserve(need) {
			return false
		}
		e.held += need
	}
	e.out = append(e.out, data...)
	return true
}

// flush writes what is ready. The exchange has its turn.
func (e *exchange) flush() {
	if len(e.out) > 0 {
		e.write(e.out)
		e.out = e.out[:0]
	}
}

// write writes to the connection. The exchange has its turn.
func (e *exchange) write(data []byte) {
	if e.err != nil {
		return
	}
	if !e.timed {
		e.timed = true
		if least := time.Now().Add(writeGrace); e.writeDeadline.Before(least) {
			e.writeDeadline = least
		}
		e.err = e.conn.rwc.SetWriteDeadline(e.writeDeadline)
	}
	if e.err == nil {
		_, e.err = e.conn.rwc.Write(data)
	}
}
