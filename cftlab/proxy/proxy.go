// Package proxy forwards TCP connections over loopback and injects network faults into them.
//
// Once a connection has lost bytes, the proxy drops all later bytes in both directions: those after the gap could be
// taken for the answer to another request. The connection stays open until one end closes it, like one whose peer lost
// power.
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
	// Pass forwards everything.
	Pass Mode = iota // pass
	// Late delays every chunk by Delay.
	Late // late
	// OneWay drops the bytes that the target sends.
	OneWay // one_way
	// Silent drops all bytes in both directions.
	Silent // silent
)

const (
	// Delay is how long Late delays a chunk.
	Delay = 150 * time.Millisecond
	// chunkBytes is the maximum size of a chunk, in bytes.
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

// connPair is the connection from a caller and the one that the proxy has opened to the target for it.
type connPair struct {
	caller, receiver *net.TCPConn
	// lostBytes is true once bytes of either direction were dropped.
	lostBytes bool
}

// New listens at an address and returns the proxy; connections are accepted once Serve runs.
func New(listen, target model.Address) (*Proxy, error) {
	listener, err := net.Listen("tcp", string(listen))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Proxy{listener: listener, target: target, pairs: map[*connPair]struct{}{}}, nil
}

// Serve forwards connections until ctx ends, then resets those that are open.
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

// SetMode changes the mode for new and for open connections.
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

// serve forwards one connection until both directions have ended.
func (p *Proxy) serve(ctx context.Context, caller *net.TCPConn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", string(p.target))
	if err != nil {
		// The caller gets a reset, as from a port without a listener.
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

// forward copies the bytes of one direction until it ends. Modes from firstLossy on drop them.
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

// shouldForward returns whether to forward a chunk; in mode Late it first sleeps for Delay.
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

// track adds an open connection to those that Reset closes, or removes a closed one.
func (p *Proxy) track(pair *connPair, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.pairs[pair] = struct{}{}
		return
	}
	delete(p.pairs, pair)
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() model.Address { return model.Address(p.listener.Addr().String()) }
