// Package peers exchanges control messages between daemons, as JSON-RPC 2.0 notifications over TCP.
//
// Each daemon listens on its peer port and opens at most one connection to each peer that it sends to.
// Messages are one-way; an answer is sent on the answering daemon's own connection. Usage:
//
//	network := peers.New(peers.Settings{Post: control.Post, Log: log})
//	go network.Serve(ctx, listener)        // the listener of the peer port
//	perform := func(effect daemon.Effect) { // given to loop.New
//		if send, ok := effect.(daemon.SendPeer); ok {
//			network.Send(send)
//		}
//	}
package peers

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"log/slog"
	"math"
	"net"
	"sync"
	"time"

	json2 "github.com/go-json-experiment/json"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"comfreytack/cftd/intake"
	"comfreytack/core/command/daemon"
	"comfreytack/core/command/gossip"
	"comfreytack/core/model"
)

// The limits of connections and messages.
const (
	// MaxMessageBytes is the largest message that is sent or accepted.
	MaxMessageBytes = 16 << 20
	// The limits of connections leave room for the heads of the reports that a daemon sends, for its sample, and for
	// daemons that start.
	maxOutgoing  = 256
	maxIncoming  = 256
	queueLength  = 16
	dialTimeout  = time.Second
	writeTimeout = 5 * time.Second
	idleOutgoing = 30 * time.Second
	idleIncoming = 90 * time.Second
	// portName names the peer port in metrics and in the log.
	portName = "peers"
	// connBytes is the estimated memory of an idle connection.
	connBytes = 24 << 10
	// acceptBackoff is the delay after a failed accept, for example when file descriptors have run out.
	acceptBackoff = 50 * time.Millisecond
	methodGossip  = "gossip"
)

// Settings has the explicit dependencies of a network.
type Settings struct {
	// Post queues an event for the control goroutine and returns false when the backlog is full; it does not block.
	Post func(daemon.Event) bool
	// Log receives connection failures.
	Log *slog.Logger
	// Budget bounds the memory and descriptors of connections that are accepted. When it is nil, only their number is
	// bounded.
	Budget *intake.Budget
	// Allow reports whether a connection to or from an address may be used; nil allows all. Tests partition
	// the network with it.
	Allow func(model.Address) bool
}

// Network sends and receives control messages.
type Network struct {
	// Traffic counts messages and bytes.
	Traffic Traffic

	settings Settings
	ctx      context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup

	mu    sync.Mutex
	links map[model.Address]*link
}

// New returns a network without connections. Close releases it.
func New(settings Settings) *Network {
	ctx, stop := context.WithCancel(context.Background())
	if settings.Budget == nil {
		settings.Budget = intake.NewBudget(intake.BudgetSettings{
			Bytes: math.MaxInt64, Conns: maxIncoming, Now: time.Now, Count: func(string, string) {}, Log: settings.Log,
		})
	}
	return &Network{
		settings: settings,
		ctx:      ctx,
		stop:     stop,
		links:    map[model.Address]*link{},
	}
}

// Close ends all connections and waits for their goroutines.
func (n *Network) Close() {
	n.mu.Lock()
	n.stop()
	n.mu.Unlock()
	n.running.Wait()
}

// Serve accepts connections until ctx ends or the network is closed. It closes the listener.
func (n *Network) Serve(ctx context.Context, listener net.Listener) error {
	stopOnDone := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stopOnDone()
	stopOnClose := context.AfterFunc(n.ctx, func() { _ = listener.Close() })
	defer stopOnClose()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil || n.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			n.settings.Log.Warn("accept peer", "error", err)
			if !n.pause(ctx, acceptBackoff) {
				return nil
			}
			continue
		}
		account := n.settings.Budget.Open(portName, conn.RemoteAddr().String(), connBytes, func() { _ = conn.Close() })
		if account == nil {
			_ = conn.Close()
			continue
		}
		n.serveConn(ctx, conn, account)
	}
}

// pause waits for the delay, and returns false when ctx ends or the network is closed first.
func (n *Network) pause(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	return false
}

func (n *Network) serveConn(ctx context.Context, conn net.Conn, account *intake.Account) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// Close waits for all goroutines, so none may be added once that wait has begun.
	if n.ctx.Err() != nil {
		account.Close()
		_ = conn.Close()
		return
	}
	timed := &timedConn{Conn: conn, traffic: &n.Traffic, idle: idleIncoming}
	rpc := newRPC(n.ctx, timed, &codec{conn: timed, account: account}, jsonrpc2.HandlerWithError(n.handle))
	n.running.Go(func() {
		defer account.Close()
		select {
		case <-rpc.DisconnectNotify():
		case <-ctx.Done():
		case <-n.ctx.Done():
		}
		_ = rpc.Close()
	})
}

// handle processes one JSON-RPC request of a peer.
func (n *Network) handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	if request.Method != methodGossip || request.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
	var message gossip.Message
	if err := json2.Unmarshal(*request.Params, &message); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	n.Traffic.MessagesIn.Add(1)
	if n.settings.Allow != nil && !n.settings.Allow(message.From.Address) {
		return nil, nil
	}
	if !n.settings.Post(daemon.MessageReceived{Message: message}) {
		n.Traffic.Dropped.Add(1)
	}
	return nil, nil
}

// Send queues a message. It does not block; when the queue is full, the message is dropped, and the digests that
// follow at regular intervals repair the loss.
func (n *Network) Send(send daemon.SendPeer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	l, known := n.links[send.To]
	if !known {
		if len(n.links) >= maxOutgoing {
			n.Traffic.Dropped.Add(1)
			return
		}
		l = &link{network: n, to: send.To, queue: make(chan gossip.Message, queueLength)}
		n.links[send.To] = l
		n.running.Go(l.run)
	}
	select {
	case l.queue <- send.Message:
	default:
		n.Traffic.Dropped.Add(1)
	}
}

// newRPC starts JSON-RPC on a connection. Its own log output is discarded.
func newRPC(ctx context.Context, conn *timedConn, codec *codec, handler jsonrpc2.Handler) *jsonrpc2.Conn {
	discardLog := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	return jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, codec), handler, discardLog)
}

// encode encodes a message as the parameters of a request.
func encode(message gossip.Message) (*json.RawMessage, error) {
	data, err := json2.Marshal(message)
	raw := json.RawMessage(data)
	return &raw, errors.Wrap(err, "encode message")
}
