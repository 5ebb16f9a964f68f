package daemon

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreytack/core/command/gossip"
	"comfreytack/core/command/lease"
	"comfreytack/core/command/reader"
	"comfreytack/core/model"
)

const (
	// maxPushBytes bounds the changes that a daemon sends along with word of its read. Larger ones cost the others
	// less when they read them themselves than they would cost the one link that all copies had to leave by.
	maxPushBytes = 16 << 10
	// ownReadTime is how long a daemon that lacks changes waits for its own read before it asks a peer as well.
	ownReadTime = 700 * time.Millisecond
	// startingFor is how long a daemon counts as having just started, and startingStep how much longer for each that
	// reads before it: in a fleet that starts as a whole, the first one speaks before the others would.
	startingFor  = 2 * time.Second
	startingStep = 150 * time.Millisecond
	// MostTold is the largest fleet in which a daemon tells all others of its reads. In a larger one it tells its
	// sample, and more daemons read.
	MostTold = 256
	// lastRank is the rank of all daemons behind it, so that knowledge stays fresh when many of them are gone.
	lastRank = 10
)

// readDue tells whether to start a read of the platform now.
func (s *State) readDue(now time.Time) bool {
	if s.Settings.Leased {
		return s.Lease.TryStart(now, s.readRank(now), s.lacks())
	}
	return s.Reader.TryStart(now, s.Settings.Random)
}

// readEnded takes the end of a read.
func (s *State) readEnded(now time.Time, succeeded bool) {
	if !s.Settings.Leased {
		s.Reader.Ended(now, succeeded, s.Settings.Random)
		return
	}
	if succeeded && s.Lease.EndsOutage(now) {
		s.Lapses.returned(now)
	}
	s.Lease.Ended(now, succeeded, s.starting(now), s.Settings.Random)
}

// readWait returns how long a read may wait for news. A daemon that is not ready wants an answer at once.
func (s *State) readWait() time.Duration {
	switch {
	case s.Settings.Leased && s.Config.Complete > 0:
		return lease.Wait
	case !s.Start.Ready:
		return 0
	}
	return reader.Wait
}

// starting tells whether the daemon has just started. Then its own reads tell it all, and others that start with
// it need not be told of every upstream that registers.
func (s *State) starting(now time.Time) bool {
	age := now.Sub(s.Start.At)
	if age >= startingFor+lastRank*startingStep {
		return false
	}
	return age < startingFor+time.Duration(s.readRank(now))*startingStep
}

// lacks tells whether a peer has told of changes that this daemon does not have.
func (s *State) lacks() bool { return s.Told.Revision > s.Config.Complete }

// told notes the revision that a peer has in force.
func (s *State) told(now time.Time, revision model.Revision) {
	if revision <= s.Config.Complete || revision <= s.Told.Revision {
		return
	}
	if !s.lacks() {
		s.Told.Since = now
	}
	s.Told.Revision = revision
}

// readsForItself tells whether the daemon's own reads are about to tell it what a peer could.
func (s *State) readsForItself(now time.Time) bool {
	if !s.Settings.Leased || s.Lease.Failures > 0 {
		return false
	}
	return s.starting(now) || now.Sub(s.Told.Since) < ownReadTime
}

// readRank counts the daemons that read before this one, without those that could not be reached lately.
func (s *State) readRank(now time.Time) int {
	rank := 0
	for _, peer := range s.toldOfReads(now) {
		if s.goesBefore(peer.Name) {
			rank++
		}
	}
	return min(rank, lastRank)
}

// toldOfReads returns the daemons that are told of reads, in order of their names.
func (s *State) toldOfReads(now time.Time) []model.Peer {
	peers := s.Members.Sample
	if len(s.listed) <= MostTold {
		peers = s.others
	}
	return slices.DeleteFunc(slices.Clone(peers), func(peer model.Peer) bool {
		return s.Members.Avoided(now, peer.Address)
	})
}

// goesBefore tells whether a daemon reads before this one. The order is the same on all daemons.
func (s *State) goesBefore(other model.UpstreamName) bool {
	return xxhash.Sum64String(string(other)) < xxhash.Sum64String(string(s.self.Name))
}

// tellRead tells the other daemons of an own read, with the changes since the given revision.
func (s *State) tellRead(now time.Time, since model.Revision) []Effect {
	if s.starting(now) {
		return nil
	}
	news := s.newsSince(since)
	var effects []Effect
	for _, peer := range s.toldOfReads(now) {
		message := s.message(now, peer.Address)
		message.Delta = news
		effects = append(effects, SendPeer{To: peer.Address, Message: message})
	}
	return effects
}

// newsSince returns the changes since a revision if they are few, else nil.
func (s *State) newsSince(since model.Revision) *model.Delta {
	if since == 0 || since == s.Config.Complete {
		return nil
	}
	delta, known := s.Config.Since(since, maxPushBytes)
	if !known || delta.Revision != s.Config.Complete || delta.Bytes() > maxPushBytes {
		return nil
	}
	return &delta
}

// endOutage notes that the platform is back if a peer's word shows it, before the values that come with it
// are applied.
func (s *State) endOutage(now time.Time, message gossip.Message) {
	if message.Fresh != nil && s.Lease.ReportEndsOutage(now, *message.Fresh) {
		s.Lapses.returned(now)
	}
}

// heardFresh takes what a peer says of its knowledge, if this daemon has all of it.
func (s *State) heardFresh(now time.Time, message gossip.Message) {
	if message.Fresh == nil || s.Config.Complete < message.Digest.Revision {
		return
	}
	s.Lease.Heard(now, *message.Fresh, s.goesBefore(message.From.Name))
}
