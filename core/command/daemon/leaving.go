package daemon

import (
	"comfreytack/core/command/gossip"
	"comfreytack/core/command/leave"
)

// upstreamProbed handles the upstream's answer to a probe. Before the daemon is ready it may lack an operator's
// mark that has already revoked this leaving, so it ignores the answer; it serves nothing until then.
func (s *State) upstreamProbed(draining bool) {
	if !s.Start.Ready {
		return
	}
	if draining && !s.Draining {
		s.startLeaving()
	}
	s.Draining = draining
}

// startLeaving publishes that the upstream beside this daemon takes no new work.
func (s *State) startLeaving() {
	s.publishNotice(leave.Notice{
		Upstream:    s.self.Name,
		Incarnation: s.self.Incarnation,
		Leaving:     true,
		Stopping:    s.Stopping,
		Listed:      s.listed[s.self.Name].Incarnation,
		Mark:        s.Config.Marks.Entries[s.self.Name].Revision,
	})
}

// refreshOwnNotice raises the listed incarnation in this daemon's own notice after the instance list has changed.
// The list lags, so an entry that appears after the notice may still be of the incarnation that leaves.
func (s *State) refreshOwnNotice() {
	notice := s.Leaves.Notices[s.self.Name]
	if !notice.Leaving || notice.Incarnation != s.self.Incarnation {
		return
	}
	notice.Listed = max(notice.Listed, s.listed[s.self.Name].Incarnation)
	s.publishNotice(notice)
}

// publishNotice merges a notice of this daemon, and announces it if it is new.
func (s *State) publishNotice(notice leave.Notice) {
	if s.Leaves.Merge([]leave.Notice{notice}) {
		s.Gossip.QueueAnnouncement(gossip.UrgentFanOut)
		s.rebuild()
	}
}
