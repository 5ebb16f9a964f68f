package stub

import (
	"net"
	"sync"
	"time"
)

// SlowListener simulates connections that take Delay to open.
type SlowListener struct {
	net.Listener
	// Delay is the time between the accept and the first byte that is read.
	Delay time.Duration
}

// Accept returns a connection whose first read starts Delay after it was accepted.
func (l SlowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{Conn: conn, readyAt: time.Now().Add(l.Delay)}, nil
}

type slowConn struct {
	net.Conn
	readyAt   time.Time
	delayOnce sync.Once
}

// Read waits once until the connection counts as open.
func (c *slowConn) Read(data []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(time.Until(c.readyAt)) })
	return c.Conn.Read(data)
}
