package peers_test

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/peers"
	"comfreytack/core/command/daemon"
	"comfreytack/core/command/gossip"
	"comfreytack/core/model"
)

// TestServeRefuses sends invalid data and expects the connection to be closed without an event.
func TestServeRefuses(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{"not a frame", []byte("GET / HTTP/1.1\r\n\r\n" + strings.Repeat("x", 200))},
		{"length above the limit", binary.AppendUvarint(nil, peers.MaxMessageBytes+1)},
		{"not JSON", append(binary.AppendUvarint(nil, 4), "nope"...)},
	}
	events := make(chan daemon.Event, 10)
	network := peers.New(peers.Settings{Post: func(e daemon.Event) bool { events <- e; return true }, Log: slog.New(slog.DiscardHandler)})
	defer network.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = network.Serve(context.Background(), listener) }()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			_, err = conn.Write(test.data)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
			_, err = conn.Read(make([]byte, 1))
			timeout, isNet := err.(net.Error)
			qt.Assert(t, isNet && timeout.Timeout(), qt.IsFalse, qt.Commentf("connection stayed open: %v", err))
			qt.Assert(t, len(events), qt.Equals, 0)
		})
	}
}

// TestSend covers messages to a peer that is reachable, that is not, and that may not be used.
func TestSend(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	unreachable := model.Address(closed.Addr().String())
	qt.Assert(t, closed.Close(), qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	reachable := model.Address(listener.Addr().String())
	events := make(chan daemon.Event, 10)
	post := func(e daemon.Event) bool { events <- e; return true }
	log := slog.New(slog.DiscardHandler)
	receiver := peers.New(peers.Settings{Post: post, Log: log})
	defer receiver.Close()
	go func() { _ = receiver.Serve(context.Background(), listener) }()
	message := gossip.Message{From: model.Peer{Name: "a", Address: "10.0.0.1:2"}, Digest: gossip.Digest{Revision: 7, Contracts: 1 << 63}}
	tests := []struct {
		name  string
		to    model.Address
		allow func(model.Address) bool
		want  daemon.Event
	}{
		{"reachable", reachable, nil, daemon.MessageReceived{Message: message}},
		{"unreachable", unreachable, nil, daemon.PeerLost{Address: unreachable}},
		{"not allowed", reachable, func(model.Address) bool { return false }, daemon.PeerLost{Address: reachable}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sender := peers.New(peers.Settings{Post: post, Log: log, Allow: test.allow})
			defer sender.Close()
			sender.Send(daemon.SendPeer{To: test.to, Message: message})
			qt.Assert(t, <-events, qt.DeepEquals, test.want)
		})
	}
}

// TestSendToAll checks that a daemon can send to 100 peers at once without dropping a message, as it does when it
// reports its reads to the whole fleet.
func TestSendToAll(t *testing.T) {
	const fleet = 100
	events := make(chan daemon.Event, fleet)
	post := func(e daemon.Event) bool { events <- e; return true }
	log := slog.New(slog.DiscardHandler)
	receiver := peers.New(peers.Settings{Post: post, Log: log})
	defer receiver.Close()
	sender := peers.New(peers.Settings{Post: post, Log: log})
	defer sender.Close()
	for range fleet {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		go func() { _ = receiver.Serve(context.Background(), listener) }()
		message := gossip.Message{From: model.Peer{Name: "a", Address: "10.0.0.1:2"}}
		sender.Send(daemon.SendPeer{To: model.Address(listener.Addr().String()), Message: message})
	}
	for range fleet {
		_, received := (<-events).(daemon.MessageReceived)
		qt.Assert(t, received, qt.IsTrue)
	}
	qt.Assert(t, sender.Traffic.Dropped.Load(), qt.Equals, uint64(0))
}
