package relay

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const (
	drainTimeout  = 500 * time.Millisecond
	maxDrainBytes = 256 << 10
)

// Guard returns a listener whose connections refuse ambiguous requests, which two HTTP implementations may delimit
// differently (request smuggling). net/http accepts two kinds of them: folded header lines, and Content-Length together
// with Transfer-Encoding. The server has to call GuardState.
func Guard(listener net.Listener) net.Listener {
	return guardListener{Listener: listener}
}

// GuardState is the http.Server.ConnState hook of a server that listens on a guarded listener.
func GuardState(conn net.Conn, state http.ConnState) {
	guarded, ok := conn.(*guardConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		guarded.setInHeader(true)
	case http.StateActive:
		guarded.setInHeader(false)
	}
}

type guardListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l guardListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardConn{Conn: conn, inHeader: true}, nil
}

// guardConn scans request headers. A scan starts when the server has finished a request and stops at the end of the
// next header.
type guardConn struct {
	net.Conn

	mu sync.Mutex
	// inHeader is true while the next byte belongs to a request's header.
	inHeader bool
	refused  bool
	scan     headerScan
}

// setInHeader starts or stops a scan and resets its state.
func (c *guardConn) setInHeader(header bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader = header
	c.scan = headerScan{line: c.scan.line[:0]}
}

// Read answers an ambiguous request itself and hides the rest of the connection from the server.
func (c *guardConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.ambiguous(data[:n]) {
		c.refuse()
		return 0, io.EOF
	}
	return n, err
}

// ambiguous scans data and reports whether this or an earlier request on the connection was ambiguous.
func (c *guardConn) ambiguous(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHeader || c.refused {
		return c.refused
	}
	done, ambiguous := c.scan.add(data)
	c.inHeader = !done
	c.refused = ambiguous
	return ambiguous
}

// refuse sends the reply and keeps reading for a while, so that the reply is not lost to a connection reset.
func (c *guardConn) refuse() {
	_, _ = io.WriteString(c.Conn, ambiguousReply)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxDrainBytes)
}

// CloseWrite closes the sending side. net/http looks for this method to close its side of a connection first.
func (c *guardConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Write fails after a refusal, so that nothing from the server follows the reply.
func (c *guardConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	refused := c.refused
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// ambiguousReply is what an ambiguous request is answered with, in place of the server's own answer.
var ambiguousReply = "HTTP/1.1 400 Bad Request\r\n" +
	wire.HeaderVerdict + ": " + model.NotRun.String() + "\r\n" +
	wire.HeaderReason + ": " + model.BadRequest.String() + "\r\n" +
	"Content-Length: 0\r\nConnection: close\r\n\r\n"

// headerScan scans one request header line by line.
type headerScan struct {
	// line is the part of the current line that was received so far.
	line []byte
	// started is true from the request line on.
	started             bool
	hasContentLength    bool
	hasTransferEncoding bool
}

// add scans more bytes. It reports done at the empty line that ends the header, and done and ambiguous at the first
// line that makes the request ambiguous.
func (s *headerScan) add(data []byte) (done, ambiguous bool) {
	for {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			s.line = append(s.line, data...)
			return false, false
		}
		s.line = append(s.line, data[:end]...)
		data = data[end+1:]
		line := bytes.TrimSuffix(s.line, []byte("\r"))
		s.line = s.line[:0]
		if len(line) == 0 && s.started {
			return true, false
		}
		if s.ambiguous(line) {
			return true, true
		}
	}
}

// ambiguous scans one line of the header.
func (s *headerScan) ambiguous(line []byte) bool {
	if !s.started {
		// Empty lines before a request are allowed.
		s.started = len(line) > 0
		return false
	}
	if line[0] == ' ' || line[0] == '\t' {
		return true
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	s.hasContentLength = s.hasContentLength || bytes.EqualFold(name, []byte("Content-Length"))
	s.hasTransferEncoding = s.hasTransferEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	return s.hasContentLength && s.hasTransferEncoding
}
