package stub

import (
	"net"
	"sync"
	"time"
)

// SlowListener makes the opening of each connection take Delay.
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
	return &slowConn{Conn: conn, ready: time.Now().Add(l.Delay)}, nil
}

type slowConn struct {
	net.Conn
	ready time.Time
	open  sync.Once
}

// Read waits once until the connection counts as open.
func (c *slowConn) Read(data []byte) (int, error) {
	c.open.Do(func() { time.Sleep(time.Until(c.ready)) })
	return c.Conn.Read(data)
}
