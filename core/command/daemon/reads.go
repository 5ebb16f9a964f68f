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
	// maxPushBytes bounds the changes that a daemon sends along with the report of its read. All copies of a larger
	// delta would have to leave over the reader's one link, which costs more than a read by each of the others.
	maxPushBytes = 16 << 10
	// ownReadTimeout is how long a daemon that lacks changes waits for its own read before it asks a peer as well.
	ownReadTimeout = 700 * time.Millisecond
	// startPeriod is how long a daemon counts as starting, and startPeriodStep how much longer for each daemon that
	// reads before it: in a fleet that starts as a whole, the first one reports its reads before the others would.
	startPeriod     = 2 * time.Second
	startPeriodStep = 150 * time.Millisecond
	// MaxBroadcastFleet is the largest fleet in which a daemon reports its reads to all others. In a larger one it
	// reports them to its sample, and more daemons read.
	MaxBroadcastFleet = 256
	// maxReadRank bounds the rank of a daemon, so that none waits long for its turn to read when many that rank
	// before it are gone.
	maxReadRank = 10
)

// readDue reports whether to start a read of the platform now.
func (s *State) readDue(now time.Time) bool {
	if s.Settings.Leased {
		return s.Lease.TryStart(now, s.readRank(now), s.lacksChanges())
	}
	return s.Reader.TryStart(now, s.Settings.Random)
}

// readEnded records the end of a read.
func (s *State) readEnded(now time.Time, succeeded bool) {
	if !s.Settings.Leased {
		s.Reader.Ended(now, succeeded, s.Settings.Random)
		return
	}
	if succeeded && s.Lease.EndsOutage(now) {
		s.Expired.startGrace(now)
	}
	s.Lease.Ended(now, succeeded, s.starting(now), s.Settings.Random)
}

// readWait returns how long the platform may hold a read until there is a change. A daemon that is not ready needs the
// answer at once; one that reads by lease, only until it has a first configuration.
func (s *State) readWait() time.Duration {
	switch {
	case s.Settings.Leased && s.Config.Complete > 0:
		return lease.Wait
	case !s.Start.Ready:
		return 0
	}
	return reader.Wait
}

// starting reports whether the daemon has just started. It then relies on its own reads and does not report them:
// while a whole fleet starts, a report of every upstream that registers would go to daemons that read it anyway.
func (s *State) starting(now time.Time) bool {
	age := now.Sub(s.Start.At)
	if age >= startPeriod+maxReadRank*startPeriodStep {
		return false
	}
	return age < startPeriod+time.Duration(s.readRank(now))*startPeriodStep
}

// lacksChanges reports whether a peer has a revision above that of this daemon.
func (s *State) lacksChanges() bool { return s.Reported.Revision > s.Config.Complete }

// recordReported records the revision that a peer has reported.
func (s *State) recordReported(now time.Time, revision model.Revision) {
	if revision <= s.Config.Complete || revision <= s.Reported.Revision {
		return
	}
	if !s.lacksChanges() {
		s.Reported.Since = now
	}
	s.Reported.Revision = revision
}

// expectsOwnRead reports whether a read by this daemon is likely to bring soon what it could request from a peer.
func (s *State) expectsOwnRead(now time.Time) bool {
	if !s.Settings.Leased || s.Lease.Failures > 0 {
		return false
	}
	return s.starting(now) || now.Sub(s.Reported.Since) < ownReadTimeout
}

// readRank returns how many daemons read before this one, at most maxReadRank. Those that could not be reached
// lately don't count.
func (s *State) readRank(now time.Time) int {
	rank := 0
	for _, peer := range s.reportPeers(now) {
		if s.readsBefore(peer.Name) {
			rank++
		}
	}
	return min(rank, maxReadRank)
}

// reportPeers returns the daemons that get reports of reads, without those that could not be reached lately.
func (s *State) reportPeers(now time.Time) []model.Peer {
	peers := s.Members.Sample
	if len(s.listed) <= MaxBroadcastFleet {
		peers = s.listedPeers
	}
	return slices.DeleteFunc(slices.Clone(peers), func(peer model.Peer) bool {
		return s.Members.Avoided(now, peer.Address)
	})
}

// readsBefore reports whether another daemon ranks before this one for reads. The order, by the hash of the name,
// is the same on all daemons.
func (s *State) readsBefore(other model.UpstreamName) bool {
	return xxhash.Sum64String(string(other)) < xxhash.Sum64String(string(s.self.Name))
}

// reportRead reports a read by this daemon to others, with the changes since the given revision if they are small.
func (s *State) reportRead(now time.Time, since model.Revision) []Effect {
	if s.starting(now) {
		return nil
	}
	delta := s.smallDeltaSince(since)
	var effects []Effect
	for _, peer := range s.reportPeers(now) {
		message := s.message(now, peer.Address)
		message.Delta = delta
		effects = append(effects, SendPeer{To: peer.Address, Message: message})
	}
	return effects
}

// smallDeltaSince returns the changes since a revision, or nil if there are none, they exceed maxPushBytes, or the
// daemon had no configuration before.
func (s *State) smallDeltaSince(since model.Revision) *model.Delta {
	if since == 0 || since == s.Config.Complete {
		return nil
	}
	delta, known := s.Config.Since(since, maxPushBytes)
	if !known || delta.Revision != s.Config.Complete || delta.Bytes() > maxPushBytes {
		return nil
	}
	return &delta
}

// detectOutageEnd starts the grace period for expired entries if a peer's message shows that the platform answers
// again. It is called before the values in that message are applied, since they may remove such entries.
func (s *State) detectOutageEnd(now time.Time, message gossip.Message) {
	if message.Fresh != nil && s.Lease.ReportEndsOutage(now, *message.Fresh) {
		s.Expired.startGrace(now)
	}
}

// mergeFreshness adopts the age of a peer's knowledge if this daemon has all that the peer has.
func (s *State) mergeFreshness(now time.Time, message gossip.Message) {
	if message.Fresh == nil || s.Config.Complete < message.Digest.Revision {
		return
	}
	s.Lease.Heard(now, *message.Fresh, s.readsBefore(message.From.Name))
}
