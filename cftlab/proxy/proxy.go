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
	// chunkBytes is the most that is passed on at once.
	chunkBytes  = 16 << 10
	dialTimeout = time.Second
)

// Proxy listens at one address and connects to another.
type Proxy struct {
	listener net.Listener
	target   model.Address

	mu    sync.Mutex
	mode  Mode
	pairs map[*connPair]struct{}
}

// connPair is the two halves of a connection.
type connPair struct {
	caller, receiver *net.TCPConn
	// lostBytes is true once bytes were lost.
	lostBytes bool
}

// New returns a proxy that listens.
func New(listen, target model.Address) (*Proxy, error) {
	listener, err := net.Listen("tcp", string(listen))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Proxy{listener: listener, target: target, pairs: map[*connPair]struct{}{}}, nil
}

// Serve passes connections on until ctx ends.
func (p *Proxy) Serve(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.listener.Close() })
	defer stop()
	var connections sync.WaitGroup
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			break
		}
		connections.Go(func() { p.serve(ctx, conn.(*net.TCPConn)) })
	}
	p.Reset()
	connections.Wait()
}

// SetMode changes the mode, of open connections too.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		for _, conn := range []*net.TCPConn{pair.caller, pair.receiver} {
			_ = conn.SetLinger(0) // it may be closed already
			_ = conn.Close()
		}
	}
}

func (p *Proxy) serve(ctx context.Context, caller *net.TCPConn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", string(p.target))
	if err != nil {
		// Callers see what a port without a listener shows.
		_ = caller.SetLinger(0)
		_ = caller.Close()
		return
	}
	pair := &connPair{caller: caller, receiver: conn.(*net.TCPConn)}
	p.track(pair, true)
	defer p.track(pair, false)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(pair, pair.caller, pair.receiver, Silent) })
	directions.Go(func() { p.forward(pair, pair.receiver, pair.caller, OneWay) })
	directions.Wait()
	_ = pair.caller.Close()
	_ = pair.receiver.Close()
}

// forward hands the bytes of one direction on until its end. Modes from the given one on lose them.
func (p *Proxy) forward(pair *connPair, from, to *net.TCPConn, firstLossy Mode) {
	var chunk [chunkBytes]byte
	for {
		n, err := from.Read(chunk[:])
		if n > 0 && p.shouldForward(pair, firstLossy) {
			if _, writeErr := to.Write(chunk[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite() // it may be closed already
			return
		}
	}
}

// shouldForward tells whether a piece is handed on, after its delay.
func (p *Proxy) shouldForward(pair *connPair, firstLossy Mode) bool {
	p.mu.Lock()
	mode := p.mode
	pair.lostBytes = pair.lostBytes || mode >= firstLossy
	lostBytes := pair.lostBytes
	p.mu.Unlock()
	if mode == Late {
		time.Sleep(Delay)
	}
	return !lostBytes
}

func (p *Proxy) track(pair *connPair, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.pairs[pair] = struct{}{}
		return
	}
	delete(p.pairs, pair)
}

// Address returns where the proxy listens.
func (p *Proxy) Address() model.Address { return model.Address(p.listener.Addr().String()) }
