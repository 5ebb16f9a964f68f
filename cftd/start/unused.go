package start

import (
	"net"
	"net/http"
	"sync"
)

// unusedConns has the connections that have carried no request yet. Other daemons open some that they then do not need,
// and the shutdown of net/http waits up to five seconds for each.
type unusedConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// track notes a connection that changed to the given state.
func (u *unusedConns) track(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != http.StateNew {
		delete(u.conns, conn)
		return
	}
	if u.conns == nil {
		u.conns = map[net.Conn]struct{}{}
	}
	u.conns[conn] = struct{}{}
}

// close closes the connections. The daemon has read nothing from them, so that whoever has just sent a request can send
// it elsewhere.
func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for conn := range u.conns {
		_ = conn.Close() // net/http closes it again
	}
}
