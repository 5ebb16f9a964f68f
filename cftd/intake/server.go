// Package intake accepts connections and reads HTTP requests from them, within bounds of memory and descriptors that all
// connections of a daemon share.
//
//	budget := intake.NewBudget(intake.BudgetSettings{...})
//	server := intake.New(intake.Settings{Port: "callers", Handler: handler, Budget: budget, ...})
//	go server.Serve(listener)
//	server.Shutdown(ctx)
package intake

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/field"
	"comfreytack/core/model"
	"comfreytack/core/traffic/idle"
	"comfreytack/core/wire"
)

const (
	// maxAhead bounds the requests of one connection that run at once.
	maxAhead = 16
	// exchangeTimeout bounds the reading of a body and the writing of an answer whose handler sets no deadlines.
	exchangeTimeout = 10 * time.Second
	// connBytes is the estimated memory of an idle connection.
	connBytes = 8 << 10
	// acceptBackoff is the delay after a failed accept, for example when descriptors have run out.
	acceptBackoff = 50 * time.Millisecond
	drainTimeout  = 500 * time.Millisecond
	maxDrainBytes = 256 << 10
)

// Limits bound what a caller may send.
type Limits struct {
	// HeadBytes is the largest head.
	HeadBytes int
	// Head is how long a caller may take to send a head, from its first byte.
	Head time.Duration
	// Idle is how long a connection may stay idle between requests.
	Idle time.Duration
}

// Settings has the explicit dependencies of a server.
type Settings struct {
	// Port names the port in metrics and in the log.
	Port string
	// Handler serves the requests.
	Handler http.Handler
	// Ahead reports whether a request may run before earlier ones of its connection have been answered; nil means that
	// none may.
	Ahead func(*http.Request) bool
	// Limits returns the limits in force.
	Limits func() Limits
	// Closing reports whether callers have to be asked to close their connections.
	Closing func() bool
	// Budget bounds the memory and descriptors of all connections.
	Budget *Budget
	// Log receives panics of the handler.
	Log *slog.Logger
}

// Server serves the connections of one port.
type Server struct {
	settings Settings
	// stopping is true once Shutdown was called.
	stopping atomic.Bool
	// open counts the connections.
	open idle.Counter

	mu       sync.Mutex
	listener *net.TCPListener
	conns    map[*conn]struct{}
}

// New returns a server without a listener.
func New(settings Settings) *Server {
	return &Server{settings: settings, conns: map[*conn]struct{}{}}
}

// Serve accepts connections until Shutdown. It closes the listener.
func (s *Server) Serve(listener *net.TCPListener) error {
	defer listener.Close()
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for !s.stopping.Load() {
		rwc, err := listener.AcceptTCP()
		switch {
		case err == nil:
			s.accept(rwc)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			s.settings.Log.Warn("accept", "port", s.settings.Port, field.Error, err.Error())
			time.Sleep(acceptBackoff)
		}
	}
	return nil
}

// accept starts serving a connection, if there is room for it.
func (s *Server) accept(rwc *net.TCPConn) {
	c := &conn{server: s, rwc: rwc}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.account = s.settings.Budget.Open(s.settings.Port, rwc.RemoteAddr().String(), connBytes, c.evict)
	if c.account == nil {
		c.evict()
		return
	}
	c.inbox = inbox{conn: rwc, account: c.account}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.open.Enter()
	go func() {
		c.serve()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.open.Leave()
	}()
}

// Wait returns when no connection is open, or when ctx ends.
func (s *Server) Wait(ctx context.Context) { s.open.Wait(ctx) }

// Shutdown closes the port and the connections on which no request is in progress, and waits for the other requests.
// When ctx ends first, it closes their connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.closeIdle()
	}
	s.mu.Unlock()
	s.open.Wait(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.evict()
	}
	if len(s.conns) > 0 {
		return ctx.Err()
	}
	return nil
}

// closeIdle closes the connection if no request is in progress. Nothing has been read from it then that was not
// answered, so that whoever has just sent a request can send it elsewhere.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && c.duty == waiting {
		_ = c.rwc.SetReadDeadline(longAgo)
	}
}

// closesConns reports whether callers have to be asked to close their connections.
func (s *Server) closesConns() bool {
	return s.stopping.Load() || s.settings.Closing != nil && s.settings.Closing()
}

// handle runs the handler of an exchange. It returns false when the handler panicked, so that its answer is not whole.
func (s *Server) handle(e *exchange) (whole bool) {
	defer func() {
		cause := recover()
		if cause != nil && cause != http.ErrAbortHandler {
			s.settings.Log.Error("panic contained", field.Error, fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
		whole = cause == nil
	}()
	if e.refusal != nil {
		writeRefusal(e, e.refusal)
		return
	}
	s.settings.Handler.ServeHTTP(e, e.request)
	return
}

// writeRefusal answers that the request was not passed on.
func writeRefusal(w http.ResponseWriter, refused *refusal) {
	header := w.Header()
	header.Set(wire.HeaderVerdict, model.NotRun.String())
	header.Set(wire.HeaderReason, refused.reason.String())
	header.Set("Content-Length", "0")
	w.WriteHeader(refused.status)
}
