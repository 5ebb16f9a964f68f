package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var requestCounter atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", requestCounter.Add(1), rand.Uint32()) }

// ask describes one request of a client.
type ask struct {
	kind   string
	method string
	host   string
	target string
	body   []byte
	// chunked sends the body in chunks.
	chunked  bool
	deadline time.Duration
	// leaveAfter makes the client close its connection without having got an answer; zero for never.
	leaveAfter time.Duration
	// pause is how long the client waits after each 64 KiB of an answer.
	pause time.Duration
}

// clientConn is a client's kept connection.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
	uses   int
}

// pool keeps the idle connections of one machine's clients.
type pool struct {
	lab     *lab
	machine *machine
	mu      sync.Mutex
	idle    []*clientConn
}

func (p *pool) get() (*clientConn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	conn, err := net.DialTimeout("tcp", p.machine.outside, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (p *pool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (a *ask) bytes(id string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Comfreytack-Request-Id: %s\r\nX-Comfreytack-Deadline-Ms: %d\r\n", a.method, a.target, a.host, id, a.deadline.Milliseconds())
	switch {
	case a.chunked:
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := a.body; len(rest) > 0; {
			n := min(len(rest), 1+rand.IntN(9000))
			fmt.Fprintf(&out, "%x\r\n", n)
			out.Write(rest[:n])
			out.WriteString("\r\n")
			rest = rest[n:]
		}
		out.WriteString("0\r\n\r\n")
	case a.body != nil:
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(a.body))
		out.Write(a.body)
	default:
		out.WriteString("\r\n")
	}
	return out.Bytes()
}

func (a *ask) sent(id string, m *machine) event {
	sum := sha256.Sum256(a.body)
	return event{What: "sent", ID: id, Server: m.ip, Caller: m.server.service, Kind: a.kind, Method: a.method, Target: a.target, Host: a.host, Body: hex.EncodeToString(sum[:]), Size: int64(len(a.body))}
}

// do sends one client attempt and records how it ended. It returns the status; zero if there was no answer.
func (p *pool) do(a ask) int {
	id := newID()
	c, err := p.get()
	if err != nil {
		return 0
	}
	sent := a.sent(id, p.machine)
	sent.Kept = c.uses > 0
	p.lab.record.add(sent)
	c.uses++
	_ = c.conn.SetDeadline(time.Now().Add(a.deadline + 2*time.Second))
	if a.leaveAfter > 0 {
		timer := time.AfterFunc(a.leaveAfter, func() {
			p.lab.record.add(event{What: "left", ID: id})
			_ = c.conn.Close()
		})
		defer timer.Stop()
	}
	go func() { _, _ = c.conn.Write(a.bytes(id)) }()
	status, keep := p.receive(c, id, a)
	if keep {
		p.put(c)
	} else {
		_ = c.conn.Close()
	}
	return status
}

// receive reads one answer and records it.
func (p *pool) receive(c *clientConn, id string, a ask) (int, bool) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		note := err.Error()
		if c.reader.Buffered() > 0 {
			note += " (bytes that are no answer)"
		}
		p.lab.record.add(event{What: "closed", ID: id, Note: note})
		return 0, false
	}
	body, err := io.ReadAll(&slowReader{response.Body, a.pause})
	got := event{
		What: "answered", ID: id, Status: response.StatusCode, Stamp: response.Header.Get("X-Comfreytack-Server-Stamp"),
		Note: response.Header.Get("X-Comfreytack-Request-Id"), Whole: err == nil, Size: int64(len(body)),
	}
	if err == nil && response.StatusCode == http.StatusOK {
		server, size := splitStamp(got.Stamp)
		if got.Stamp == "" {
			got.Kind = "no stamp"
		} else if size != len(body) || !bytes.Equal(body, answerBody(server, id, size)) {
			got.Kind = "wrong body"
		}
	}
	p.lab.record.add(got)
	return response.StatusCode, err == nil && !response.Close
}

func splitStamp(stamp string) (string, int) {
	for i := len(stamp) - 1; i >= 0; i-- {
		if stamp[i] == '.' {
			size := 0
			_, _ = fmt.Sscanf(stamp[i+1:], "%d", &size)
			return stamp[:i], size
		}
	}
	return "", -1
}

// pipeline sends several idempotent requests ahead on one connection.
func (p *pool) pipeline(asks []ask) {
	c, err := p.get()
	if err != nil {
		return
	}
	ids := make([]string, len(asks))
	var out []byte
	for i, a := range asks {
		ids[i] = newID()
		p.lab.record.add(a.sent(ids[i], p.machine))
		out = append(out, a.bytes(ids[i])...)
	}
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	go func() { _, _ = c.conn.Write(out) }()
	for i := range asks {
		if _, keep := p.receive(c, ids[i], asks[i]); !keep {
			_ = c.conn.Close()
			return
		}
	}
	p.put(c)
}

// slowReader pauses after each read of at most 64 KiB.
type slowReader struct {
	io.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (r *slowReader) Read(data []byte) (int, error) {
	if r.pause > 0 {
		time.Sleep(r.pause)
	}
	return r.Reader.Read(data[:min(len(data), 64<<10)])
}
