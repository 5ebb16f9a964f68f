package relay

import (
	"context"
	"net"
	"sync/atomic"
)

// countingConn counts the bytes that were handed to the kernel, so that a failed exchange is known
// to have sent nothing when the count has not moved.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// dialCounting wraps each new connection.
func dialCounting(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// progress tells whether any byte of one request was written.
type progress struct {
	conn   atomic.Pointer[countingConn]
	before atomic.Int64
}

// obtained notes the connection that the request will use.
func (p *progress) obtained(conn net.Conn) {
	counting, ok := conn.(*countingConn)
	if !ok {
		return
	}
	p.before.Store(counting.written.Load())
	p.conn.Store(counting)
}

// wrote says whether a byte of the request may have left.
func (p *progress) wrote() bool {
	conn := p.conn.Load()
	return conn != nil && conn.written.Load() != p.before.Load()
}
