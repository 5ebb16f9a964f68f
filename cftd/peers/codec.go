package peers

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// codec frames each JSON-RPC object by its length and refuses oversized ones before reading them.
type codec struct{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (codec) WriteObject(stream io.Writer, object any) error {
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

// ReadObject implements jsonrpc2.ObjectCodec.
func (codec) ReadObject(stream *bufio.Reader, object any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > MaxMessageBytes {
		return errors.Errorf("message of %d bytes is too large", size)
	}
	// The buffer grows with the data received, so that an announced length alone allocates no memory.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, stream, int64(size)); err != nil {
		return errors.Wrap(err, "read message")
	}
	return errors.Wrap(json.Unmarshal(body.Bytes(), object), "decode message")
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
}

func (c *timedConn) Read(p []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
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
