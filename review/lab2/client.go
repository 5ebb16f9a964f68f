package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5eed000000000000+requestCount.Add(1)) }

// request is one client attempt.
type request struct {
	id, method, target string
	body               []byte
	deadline           time.Duration
	closes             bool
}

func (r request) head() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Comfreytack-Request-Id: %s\r\nX-Comfreytack-Deadline-Ms: %d\r\n",
		r.method, r.target, host, r.id, r.deadline.Milliseconds())
	if len(r.body) > 0 || r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if r.closes {
		head += "Connection: close\r\n"
	}
	return head + "\r\n"
}

// result is what the client has seen of a request.
type result struct {
	sentAt time.Time
	// status is zero when the connection ended without a complete answer.
	status int
	stamp  string
	id     string
	body   string
	err    error
	closes bool
}

// client is a client on one machine, with a kept connection.
type client struct {
	site    *site
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.machine.at(c.site, callersPort), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// do sends a request and reads its answer. It keeps the connection if the answer allows it.
func (c *client) do(r request) result {
	if err := c.connect(); err != nil {
		return result{err: fmt.Errorf("no connection: %w", err)}
	}
	c.site.record.log("client of %s sends %s: %s %s", c.machine.name, r.id, r.method, r.target)
	sentAt := time.Now()
	_ = c.conn.SetDeadline(sentAt.Add(r.deadline + 2*time.Second))
	if _, err := io.WriteString(c.conn, r.head()+string(r.body)); err != nil {
		c.close()
		return result{sentAt: sentAt, err: err}
	}
	got := c.read(r)
	got.sentAt = sentAt
	return got
}

// read reads the answer to a request that was sent before.
func (c *client) read(r request) result {
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		c.close()
		c.site.record.log("client of %s gets no answer to %s: %v", c.machine.name, r.id, err)
		return result{err: err}
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		c.close()
		c.site.record.log("client of %s gets a part of an answer to %s: %v", c.machine.name, r.id, err)
		return result{err: err}
	}
	if answer.Close {
		c.close()
	}
	got := result{
		status: answer.StatusCode, stamp: answer.Header.Get("X-Comfreytack-Server-Stamp"),
		id: answer.Header.Get("X-Comfreytack-Request-Id"), body: string(body), closes: answer.Close,
	}
	c.site.record.log("client of %s gets %d for %s (stamp %q)", c.machine.name, got.status, r.id, got.stamp)
	return got
}
