// Package proxy passes TCP connections on over loopback and fails them as it is told.
//
// A connection that has lost bytes never carries any again: what came behind the gap would look like an answer to
// something else. It stays open, as one whose other side lost power, until somebody closes it.
package proxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/model"
)

//go:generate go tool stringer -type=Mode -linecomment -output=enums_string.go

// Mode is how a proxy treats connections.
type Mode int

// The modes.
const (
	// Pass hands everything on.
	Pass Mode = iota // pass
	// Late holds every piece back for Delay.
	Late // late
	// OneWay loses what comes from the side that listens.
	OneWay // one_way
	// Silent loses everything.
	Silent // silent
)

const (
	// Delay is how long Late holds a piece back.
	Delay = 150 * time.Millisecond
	// pieceBytes is the most that is passed on at once.
	pieceBytes  = 16 << 10
	dialTimeout = time.Second
)

// Proxy listens at one address and connects to another.
type Proxy struct {
	listener net.Listener
	to       model.Address

	mu    sync.Mutex
	mode  Mode
	pairs map[*pair]struct{}
}

// pair is the two halves of a connection.
type pair struct {
	caller, server *net.TCPConn
	// deaf is true once bytes were lost.
	deaf bool
}

// New returns a proxy that listens.
func New(listen, to model.Address) (*Proxy, error) {
	listener, err := net.Listen("tcp", string(listen))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Proxy{listener: listener, to: to, pairs: map[*pair]struct{}{}}, nil
}

// Serve passes connections on until ctx ends.
func (p *Proxy) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	var running sync.WaitGroup
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			break
		}
		running.Go(func() { p.serve(ctx, conn.(*net.TCPConn)) })
	}
	p.Reset()
	running.Wait()
}

// Set changes the mode, of open connections too.
func (p *Proxy) Set(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for one := range p.pairs {
		for _, half := range []*net.TCPConn{one.caller, one.server} {
			_ = half.SetLinger(0) // it may be closed already
			_ = half.Close()
		}
	}
}

func (p *Proxy) serve(ctx context.Context, caller *net.TCPConn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", string(p.to))
	if err != nil {
		// Callers see what a port without a listener shows.
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	one := &pair{caller: caller, server: conn.(*net.TCPConn)}
	p.track(one, true)
	defer p.track(one, false)
	var halves sync.WaitGroup
	halves.Go(func() { p.carry(one, one.caller, one.server, Silent) })
	halves.Go(func() { p.carry(one, one.server, one.caller, OneWay) })
	halves.Wait()
	_ = one.caller.Close()
	_ = one.server.Close()
}

// carry hands the bytes of one direction on until its end. Modes from the given one on lose them.
func (p *Proxy) carry(one *pair, from, to *net.TCPConn, lossy Mode) {
	var piece [pieceBytes]byte
	for {
		n, err := from.Read(piece[:])
		if n > 0 && p.passes(one, lossy) {
			if _, failed := to.Write(piece[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite() // it may be closed already
			return
		}
	}
}

// passes tells whether a piece is handed on, after its delay.
func (p *Proxy) passes(one *pair, lossy Mode) bool {
	p.mu.Lock()
	mode := p.mode
	one.deaf = one.deaf || mode >= lossy
	deaf := one.deaf
	p.mu.Unlock()
	if mode == Late {
		time.Sleep(Delay)
	}
	return !deaf
}

func (p *Proxy) track(one *pair, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.pairs[one] = struct{}{}
		return
	}
	delete(p.pairs, one)
}

// Address returns where the proxy listens.
func (p *Proxy) Address() model.Address { return model.Address(p.listener.Addr().String()) }
