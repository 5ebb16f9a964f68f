package daemon

import (
	"time"

	"comfreytack/core/command/gossip"
	"comfreytack/core/model"
)

// Event is something that the control goroutine is told.
type Event interface{ event() }

// ChangesRead tells how a read of the platform ended.
type ChangesRead struct {
	// Delta has the changes; its zero value when Failed.
	Delta model.Delta
	// Whole says that the delta has everything that is published at its revision, not a run of changes.
	Whole bool
	// Failed is true when the platform gave no usable answer.
	Failed bool
}

// MessageReceived tells of a message from another daemon.
type MessageReceived struct {
	Message gossip.Message
}

// PeerLost tells that a daemon could not be reached, or that its connection broke.
type PeerLost struct {
	Address model.Address
}

// UpstreamProbed tells how the upstream beside this daemon answered a probe.
type UpstreamProbed struct {
	// Draining says that the upstream wants no new work.
	Draining bool
}

// CallFailed tells that a call to another daemon's gate could not be delivered.
type CallFailed struct {
	Upstream model.UpstreamName
}

// CrashSeen tells that the poison book has new evidence to pass on.
type CrashSeen struct{}

// StopRequested tells that the daemon has to stop.
type StopRequested struct{}

func (ChangesRead) event()    {}
func (MessageReceived) event()       {}
func (PeerLost) event()       {}
func (UpstreamProbed) event() {}
func (CallFailed) event()     {}
func (CrashSeen) event()      {}
func (StopRequested) event()      {}

// Effect is something that the daemon has to do outside its control state.
type Effect interface{ effect() }

// SendPeer sends a message to another daemon. The end of its connection comes back as PeerLost.
type SendPeer struct {
	To      model.Address
	Message gossip.Message
}

// ReadPlatform reads the changes after a revision. Its end comes back as exactly one ChangesRead.
type ReadPlatform struct {
	After model.Revision
	// Wait is how long the platform may wait for a change.
	Wait time.Duration
}

func (SendPeer) effect()     {}
func (ReadPlatform) effect() {}
