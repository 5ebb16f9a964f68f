package peers

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"comfreytack/core/command/daemon"
	"comfreytack/core/command/gossip"
	"comfreytack/core/model"
)

// link is the outgoing connection to one peer. It is opened for the first message and closed after a failure or an
// idle timeout.
type link struct {
	network *Network
	to      model.Address
	queue   chan gossip.Message
}

func (l *link) run() {
	err := l.sendQueued()
	l.network.mu.Lock()
	delete(l.network.links, l.to)
	l.network.mu.Unlock()
	if err != nil && l.network.ctx.Err() == nil {
		l.network.settings.Log.Debug("peer lost", "peer", l.to, "error", err.Error())
		l.network.settings.Post(daemon.PeerLost{Address: l.to})
	}
}

// sendQueued sends messages from the queue until the connection fails or is idle, or the network closes.
func (l *link) sendQueued() error {
	rpc, err := l.dial()
	if err != nil {
		return err
	}
	defer rpc.Close()
	idle := time.NewTimer(idleOutgoing)
	defer idle.Stop()
	for {
		select {
		case message := <-l.queue:
			if err := l.send(rpc, message); err != nil {
				return err
			}
			idle.Reset(idleOutgoing)
		case <-rpc.DisconnectNotify():
			return errors.New("closed by peer")
		case <-idle.C:
			return nil
		case <-l.network.ctx.Done():
			return nil
		}
	}
}

func (l *link) dial() (*jsonrpc2.Conn, error) {
	if l.network.settings.Allow != nil && !l.network.settings.Allow(l.to) {
		return nil, errors.New("connection refused by settings")
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(l.network.ctx, "tcp", string(l.to))
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	timed := &timedConn{Conn: conn, traffic: &l.network.Traffic}
	return newRPC(l.network.ctx, timed, &codec{conn: timed}, jsonrpc2.HandlerWithError(l.network.handle)), nil
}

func (l *link) send(rpc *jsonrpc2.Conn, message gossip.Message) error {
	params, err := encode(message)
	if err != nil {
		return err
	}
	if err := rpc.Notify(context.Background(), methodGossip, params); err != nil {
		return errors.Wrap(err, "send message")
	}
	l.network.Traffic.MessagesOut.Add(1)
	return nil
}
