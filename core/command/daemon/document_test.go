package daemon_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/daemon"
	"comfreytack/core/command/gossip"
	"comfreytack/core/model"
)

const refusedDocument = `{"version":0,"routes":[],"services":[],"intake":{"max_body_bytes":0}}`

// TestRefusedDocument checks that a daemon which finds a document that it refuses, and has none in force, is not ready
// until a peer has sent it the one that is in force there. It guards against a restarted daemon that takes requests and
// answers all of them with 503.
func TestRefusedDocument(t *testing.T) {
	good, refused := published("document", fmt.Sprintf(listedDocument, 1)), published("document", refusedDocument)
	tests := []struct {
		name string
		// first and then are read in this order, each as a whole.
		first, then model.Change
		wantReady   bool
		wantRoutes  int
	}{
		{name: "no document is published", first: instance("i-2", 2, 10, 1, model.Live), wantReady: true},
		{name: "one is in force", first: good, wantReady: true, wantRoutes: 1},
		{name: "the first one is refused", first: refused},
		{name: "a later one is refused", first: good, then: refused, wantReady: true, wantRoutes: 1},
		{name: "a good one follows", first: refused, then: good, wantReady: true, wantRoutes: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := startLeased(t)
			for i, change := range []model.Change{test.first, test.then} {
				if change.Key != "" {
					l.readWhole(model.Revision(i+1), change)
				}
			}
			snapshot := l.state.Snapshot(l.now)
			qt.Assert(t, snapshot.Ready, qt.Equals, test.wantReady)
			qt.Assert(t, snapshot.Routes["beds.example"], qt.HasLen, test.wantRoutes)
		})
	}
}

// TestDocumentOfPeer checks that a daemon without a document gets the one in force at a ready peer.
func TestDocumentOfPeer(t *testing.T) {
	old, restarted := startLeased(t), startLeased(t)
	old.readWhole(1, published("document", fmt.Sprintf(listedDocument, 1)))
	old.readWhole(2, published("document", refusedDocument))
	restarted.readWhole(2, published("document", refusedDocument))
	qt.Assert(t, restarted.state.Snapshot(restarted.now).Ready, qt.IsFalse)

	// Each message of one is delivered to the other until there is none.
	message := gossip.Message{From: model.Peer{Name: "10.1.0.2", Incarnation: 1, Address: "10.1.0.2:7635"}, Digest: gossip.Digest{Revision: 2, Ready: true}}
	effects := restarted.state.Apply(restarted.now, daemon.MessageReceived{Message: message})
	for _, effect := range effects {
		send, ok := effect.(daemon.SendPeer)
		if !ok || send.Message.Want == nil {
			continue
		}
		send.Message.From = model.Peer{Name: "10.1.0.3", Incarnation: 1, Address: "10.1.0.3:7635"}
		for _, answer := range old.state.Apply(old.now, daemon.MessageReceived{Message: send.Message}) {
			if reply, ok := answer.(daemon.SendPeer); ok && reply.Message.Copy != nil {
				reply.Message.From = message.From
				restarted.state.Apply(restarted.now, daemon.MessageReceived{Message: reply.Message})
			}
		}
	}
	snapshot := restarted.state.Snapshot(restarted.now)
	qt.Assert(t, snapshot.Routes["beds.example"], qt.HasLen, 1)
	qt.Assert(t, snapshot.Ready, qt.IsTrue)
}

// startLeased returns a daemon that has read nothing.
func startLeased(t *testing.T) *leasedDaemon {
	l := &leasedDaemon{T: t, now: time.Unix(1000, 0), revision: 1}
	l.state = daemon.New(daemon.Settings{
		Self:   model.Upstream{Name: "10.1.0.1", Incarnation: 5, Service: "reservas", FailureDomain: "quito", Peer: "10.1.0.1:7635"},
		Random: rand.New(rand.NewPCG(1, 1)),
		Leased: true,
	}, l.now)
	return l
}

// readWhole lets the daemon read everything that is published: one change.
func (l *leasedDaemon) readWhole(revision model.Revision, change model.Change) {
	change.Revision = revision
	l.state.Apply(l.now, daemon.ChangesRead{Whole: true, Delta: model.Delta{Revision: revision, Changes: []model.Change{change}}})
}

// TestLargeChange checks that others read at once when the reader has begun to read a large change.
func TestLargeChange(t *testing.T) {
	reader, other := newLeasedDaemon(t), newLeasedDaemon(t)
	for _, l := range []*leasedDaemon{reader, other} {
		l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live))
		l.passStart()
	}
	reader.awaitRead()
	var reports []gossip.Message
	for _, effect := range reader.state.Apply(reader.now, daemon.LargeChange{After: reader.revision - 1}) {
		if send, ok := effect.(daemon.SendPeer); ok && send.Message.Report != nil {
			reports = append(reports, send.Message)
		}
	}
	qt.Assert(t, reports, qt.HasLen, 1)
	qt.Assert(t, reports[0].Delta, qt.IsNil)
	reports[0].From.Name, reports[0].From.Address = "10.1.0.3", "10.1.0.3:7635"
	freshAt := other.state.Lease.FreshAt
	other.state.Apply(other.now, daemon.MessageReceived{Message: reports[0]})
	qt.Assert(t, other.state.Lease.FreshAt, qt.Equals, freshAt)
	_, reads := requested(other.state.Tick(other.now.Add(100*time.Millisecond), 0))
	qt.Assert(t, reads, qt.IsTrue)
	qt.Assert(t, reader.state.Apply(reader.now, daemon.LargeChange{After: reader.revision - 2}), qt.HasLen, 0)
}

// TestLargeAnswersToPeers checks that a daemon sends a large change to few of the peers that ask for it at once, so that
// the copies fit into its memory; a small one goes to all.
func TestLargeAnswersToPeers(t *testing.T) {
	tests := []struct {
		name     string
		document string
		want     int
	}{
		{name: "small", document: fmt.Sprintf(listedDocument, 2), want: 60},
		{name: "large", document: fmt.Sprintf(listedDocument, 2) + strings.Repeat(" ", 900_000), want: 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeasedDaemon(t)
			l.read(published("document", test.document))
			answers := 0
			for peer := range 60 {
				message := gossip.Message{
					From: model.Peer{Name: model.UpstreamName(fmt.Sprint("p-", peer)), Incarnation: 1, Address: model.Address(fmt.Sprintf("10.2.0.%d:1", peer))},
					Want: &gossip.Want{After: 1, Nonce: 1},
				}
				for _, effect := range l.state.Apply(l.now, daemon.MessageReceived{Message: message}) {
					if send, ok := effect.(daemon.SendPeer); ok && send.Message.Delta != nil {
						answers++
					}
				}
			}
			qt.Assert(t, answers, qt.Equals, test.want)
		})
	}
}
