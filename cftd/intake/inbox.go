package intake

import (
	"io"
	"net"
)

// firstBuffer is the size of the buffer of a connection that sends small heads, in bytes.
const firstBuffer = 1 << 10

// inbox buffers what a connection has received. The connection's reader and a request's body use it in turns.
type inbox struct {
	conn    net.Conn
	account *Account
	// buf[start:end] was received and not used yet. It is nil while nothing is buffered between requests.
	buf        []byte
	start, end int
}

// Len returns the number of bytes that were received and not used yet.
func (b *inbox) Len() int { return b.end - b.start }

// bytes returns what was received and not used yet; it is valid until the next call.
func (b *inbox) bytes() []byte { return b.buf[b.start:b.end] }

// discard drops the first n bytes of what was received.
func (b *inbox) discard(n int) {
	b.start += n
	if b.start == b.end {
		b.start, b.end = 0, 0
	}
}

// fill receives more bytes. The refusal says that there is no memory for them.
func (b *inbox) fill() (*refusal, error) {
	if b.end == len(b.buf) && !b.makeRoom() {
		return refuseMemory, nil
	}
	n, err := b.conn.Read(b.buf[b.end:])
	b.end += n
	if n > 0 {
		return nil, nil
	}
	return nil, err
}

// makeRoom moves the bytes to the front of the buffer, or to a buffer of twice the size.
func (b *inbox) makeRoom() bool {
	if b.start > 0 {
		b.end = copy(b.buf, b.bytes())
		b.start = 0
		return true
	}
	return b.resize(max(firstBuffer, 2*len(b.buf)))
}

// resize moves the bytes to a buffer of another size.
func (b *inbox) resize(size int) bool {
	if !b.account.Reserve(int64(size)) {
		return false
	}
	larger := make([]byte, size)
	b.end = copy(larger, b.bytes())
	b.start = 0
	b.account.Release(int64(len(b.buf)))
	b.buf = larger
	return true
}

// shrink returns the memory of a large buffer that is empty.
func (b *inbox) shrink() {
	if b.Len() > 0 || len(b.buf) <= firstBuffer {
		return
	}
	b.account.Release(int64(len(b.buf)))
	b.buf = nil
}

// unread puts bytes back in front of what was received.
func (b *inbox) unread(data []byte) bool {
	if len(data) == 0 {
		return true
	}
	rest := append(append([]byte(nil), data...), b.bytes()...)
	size := max(firstBuffer, len(b.buf))
	for size < len(rest) {
		size *= 2
	}
	if size != len(b.buf) && !b.resize(size) {
		return false
	}
	b.start, b.end = 0, copy(b.buf, rest)
	return true
}

// Read implements io.Reader for a body: first what was received, then what the connection receives.
func (b *inbox) Read(data []byte) (int, error) {
	if b.Len() > 0 {
		n := copy(data, b.bytes())
		b.discard(n)
		return n, nil
	}
	return b.conn.Read(data)
}

var _ io.Reader = (*inbox)(nil)
