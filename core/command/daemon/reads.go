package daemon

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"comfreytack/core/command/lease"
	"comfreytack/core/command/reader"
	"comfreytack/core/model"
)

const (
	// ownReadTimeout is how long a daemon that lacks changes waits for its own read before it asks a peer as well.
	ownReadTimeout = 700 * time.Millisecond
	// arrivalTimeout is how long it waits once that read has shown that it brings a large change.
	arrivalTimeout = 1500 * time.Millisecond
	// startPeriod is how long a daemon counts as starting. Others that start with it change the list all the time.
	startPeriod = 2 * time.Second
)

// readDue reports whether to start a read of the platform now.
func (s *State) readDue(now time.Time) bool {
	if s.Settings.Leased {
		return s.Lease.TryStart(now, s.readRank(now), s.Reported.ByReader > s.Config.Complete)
	}
	return s.Reader.TryStart(now, s.Settings.Random)
}

// readEnded records the end of a read.
func (s *State) readEnded(now time.Time, succeeded bool) {
	s.Reported.ArrivingSince = time.Time{}
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
// answer at once.
func (s *State) readWait(now time.Time) time.Duration {
	switch {
	case s.Settings.Leased && s.Config.Complete > 0 && s.Lease.LongPoll(now):
		return lease.Wait
	case s.Settings.Leased, !s.Start.Ready:
		return 0
	}
	return reader.Wait
}

// starting reports whether the daemon has just started. It then reads less often, and reads what it lacks rather than
// ask peers, which may be starting too.
func (s *State) starting(now time.Time) bool { return now.Sub(s.Start.At) < startPeriod }

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
	arriving := !s.Reported.ArrivingSince.IsZero() && now.Sub(s.Reported.ArrivingSince) < arrivalTimeout
	return arriving || s.starting(now) || now.Sub(s.Reported.Since) < ownReadTimeout
}

// readRank returns how many daemons read before this one. Those that could not be reached lately don't count.
func (s *State) readRank(now time.Time) int {
	rank := 0
	for _, address := range s.earlierReaders {
		if !s.Members.Avoided(now, address) {
			rank++
		}
	}
	return rank
}

// readsBefore reports whether another daemon ranks before this one for reads. The order, by the hash of the name,
// is the same on all daemons.
func (s *State) readsBefore(other model.UpstreamName) bool {
	return xxhash.Sum64String(string(other)) < xxhash.Sum64String(string(s.self.Name))
}
