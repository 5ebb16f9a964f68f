package daemon

import (
	"time"

	"comfreytack/core/command/gossip"
	"comfreytack/core/model"
)

// Event is an input of the control goroutine.
type Event interface{ event() }

// ChangesRead is the result of a read of the platform.
type ChangesRead struct {
	// Delta has the changes; its zero value when Failed.
	Delta model.Delta
	// Whole says that Delta has everything that is published at its revision, not only the changes after another.
	Whole bool
	// Failed is true when the platform gave no usable answer.
	Failed bool
}

// LargeChange says that the read in flight has found changes after a revision, which take long to arrive.
type LargeChange struct {
	After model.Revision
}

// MessageReceived is a message from another daemon.
type MessageReceived struct {
	Message gossip.Message
}

// PeerLost says that another daemon could not be reached, or that the connection with it broke.
type PeerLost struct {
	Address model.Address
}

// UpstreamProbed is the answer of the upstream beside this daemon to a probe.
type UpstreamProbed struct {
	// Draining says that the upstream wants no new work.
	Draining bool
}

// CrashSeen says that the poison detector has new evidence for peers.
type CrashSeen struct{}

// StopRequested says that the daemon has to stop.
type StopRequested struct{}

func (ChangesRead) event()     {}
func (LargeChange) event()     {}
func (MessageReceived) event() {}
func (PeerLost) event()        {}
func (UpstreamProbed) event()  {}
func (CrashSeen) event()       {}
func (StopRequested) event()   {}

// Effect is an action that the daemon has to carry out outside the control goroutine.
type Effect interface{ effect() }

// SendPeer sends a message to another daemon. If the connection fails or ends, a PeerLost event follows.
type SendPeer struct {
	To      model.Address
	Message gossip.Message
}

// ReadPlatform reads the changes after a revision. Exactly one ChangesRead event follows.
type ReadPlatform struct {
	After model.Revision
	// Wait is how long the platform may wait for a change.
	Wait time.Duration
}

func (SendPeer) effect()     {}
func (ReadPlatform) effect() {}
