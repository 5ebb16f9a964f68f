package peers

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"comfreytack/cftd/intake"
	"comfreytack/core/query/evict"
)

const (
	// firstBodyBytes is the size of the first buffer of a message.
	firstBodyBytes = 4 << 10
	// decodedFactor is the memory of a message while it is decoded, in multiples of its length.
	decodedFactor = 6
	// maxUnasked bounds the messages on a connection that this daemon opened: its peer sends none there.
	maxUnasked = 64 << 10
	// messageTimeout bounds the time to receive a message, from its length on. A message of MaxMessageBytes takes half of
	// it at 10 Mbit/s.
	messageTimeout = 30 * time.Second
)

// errShort closes a connection whose message does not fit into the daemon's memory.
var errShort = errors.New("no memory for the message")

// codec frames each JSON-RPC object by its length and refuses oversized ones before reading them.
type codec struct {
	conn *timedConn
	// account has what the connection may hold; nil for a connection that this daemon opened.
	account *intake.Account
	// held is what the last message was granted, in bytes.
	held int64
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (*codec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(data) > MaxMessageBytes {
		return errors.Errorf("message of %d bytes is too large", len(data))
	}
	frame := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(data)), uint64(len(data)))
	_, err = stream.Write(append(frame, data...))
	return errors.Wrap(err, "write message")
}

// ReadObject implements jsonrpc2.ObjectCodec. The one before has been handled when it is called.
func (c *codec) ReadObject(stream *bufio.Reader, object any) error {
	c.release()
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > c.limit() {
		return errors.Errorf("message of %d bytes is too large", size)
	}
	c.conn.beginMessage()
	defer c.conn.endMessage()
	if c.account != nil {
		c.account.SetPhase(evict.Reading)
	}
	body, err := c.readBody(stream, int(size))
	if err != nil {
		return err
	}
	if !c.reserve(decodedFactor * int64(size)) {
		return errShort
	}
	return errors.Wrap(json.Unmarshal(body, object), "decode message")
}

// readBody reads a message. The buffer grows with the data received, so that an announced length alone takes no memory.
func (c *codec) readBody(stream *bufio.Reader, size int) ([]byte, error) {
	var body []byte
	for len(body) < size {
		if len(body) == cap(body) {
			room := min(size, max(firstBodyBytes, 2*cap(body)))
			if !c.reserve(int64(room)) {
				return nil, errShort
			}
			body = append(make([]byte, 0, room), body...)
		}
		n, err := io.ReadFull(stream, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return nil, errors.Wrap(err, "read message")
		}
	}
	return body, nil
}

func (c *codec) limit() uint64 {
	if c.account == nil {
		return maxUnasked
	}
	return MaxMessageBytes
}

func (c *codec) reserve(bytes int64) bool {
	if c.account == nil {
		return true
	}
	if !c.account.Reserve(bytes) {
		return false
	}
	c.held += bytes
	return true
}

// release returns what the last message was granted.
func (c *codec) release() {
	if c.account == nil {
		return
	}
	c.account.Release(c.held)
	c.account.SetPhase(evict.Idle)
	c.held = 0
}

// Traffic counts control messages and their bytes on the wire, without TCP and IP headers.
type Traffic struct {
	MessagesIn, MessagesOut atomic.Uint64
	BytesIn, BytesOut       atomic.Uint64
	// Dropped counts messages lost because a queue or the backlog was full, or because there were too many links.
	Dropped atomic.Uint64
}

// timedConn sets a deadline for each read and write and counts bytes.
type timedConn struct {
	net.Conn
	traffic *Traffic
	// idle is the read timeout; zero means none.
	idle time.Duration
	// messageEnd is until when the message that has begun must be received; zero between messages.
	messageEnd time.Time
}

// beginMessage bounds the time to receive a message. It is called by the goroutine that reads.
func (c *timedConn) beginMessage() { c.messageEnd = time.Now().Add(messageTimeout) }

func (c *timedConn) endMessage() { c.messageEnd = time.Time{} }

// readDeadline returns when the next read must have ended; zero means never.
func (c *timedConn) readDeadline() time.Time {
	if !c.messageEnd.IsZero() || c.idle == 0 {
		return c.messageEnd
	}
	return time.Now().Add(c.idle)
}

func (c *timedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.readDeadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.traffic.BytesIn.Add(uint64(n))
	return n, err
}

func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.BytesOut.Add(uint64(n))
	return n, err
}
