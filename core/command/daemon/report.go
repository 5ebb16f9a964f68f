package daemon

import (
	"slices"
	"time"

	"comfreytack/core/command/gossip"
	"comfreytack/core/command/lease"
	"comfreytack/core/model"
	"comfreytack/core/query/tree"
)

// maxPushBytes bounds the changes that a report carries. Each daemon that passes it on sends up to tree.FanOut copies
// over its own link; above this a read by each daemon costs less.
const maxPushBytes = 16 << 10

// reportRead reports a read by this daemon to all others, with the changes since the given revision if they are small.
func (s *State) reportRead(now time.Time, since model.Revision) []Effect {
	report := gossip.Report{Fresh: lease.Freshness{Reader: s.self.Name}, Revision: s.Config.Complete}
	return s.sendReport(now, report, tree.Everyone(), s.smallDeltaSince(since))
}

// reportLargeChange reports to all others, before a read by this daemon ends, that there are changes after a revision, so
// that they start their own reads at the same time. Over a slow link the transfer takes a second.
func (s *State) reportLargeChange(now time.Time, after model.Revision) []Effect {
	fresh := s.Lease.Report(now, "")
	if !s.Settings.Leased || !s.Lease.Renewing || s.Lease.Alone || after != s.Config.Complete || fresh == nil {
		return nil
	}
	return s.sendReport(now, gossip.Report{Fresh: *fresh, Revision: after + 1}, tree.Everyone(), nil)
}

// passOn passes a received report on to the rest of its range. A daemon that has just woken from a pause does not,
// because the report may have waited for it and be older than it says.
func (s *State) passOn(now time.Time, message gossip.Message) []Effect {
	if message.Report == nil || message.Report.Rest == nil || s.Pause.SuspectAt(now) {
		return nil
	}
	return s.sendReport(now, *message.Report, *message.Report.Rest, message.Delta)
}

// sendReport sends a report to the heads of the branches of a range.
func (s *State) sendReport(now time.Time, report gossip.Report, within tree.Range, delta *model.Delta) []Effect {
	var effects []Effect
	for _, branch := range tree.Split(s.reachable(now, tree.Within(s.listedMembers, within)), within, s.Settings.Random.IntN) {
		report.Rest = branch.Rest
		copied := report
		message := s.message(now, branch.Head.Address)
		message.Report = &copied
		message.Delta = delta
		effects = append(effects, SendPeer{To: branch.Head.Address, Message: message})
	}
	return effects
}

// reachable returns the members without those that could not be reached lately.
func (s *State) reachable(now time.Time, members []tree.Member) []tree.Member {
	avoided := func(m tree.Member) bool { return s.Members.Avoided(now, m.Peer.Address) }
	if !slices.ContainsFunc(members, avoided) {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), avoided)
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

// detectOutageEnd starts the grace period for expired entries if a message shows that the platform answers again. It is
// called before the values in that message are applied, since they may remove such entries.
func (s *State) detectOutageEnd(now time.Time, message gossip.Message) {
	for _, fresh := range freshnessIn(message) {
		if s.Lease.ReportEndsOutage(now, fresh) {
			s.Expired.startGrace(now)
		}
	}
}

// mergeFreshness adopts the age of the knowledge that a message reports, if this daemon has all of that knowledge.
func (s *State) mergeFreshness(now time.Time, message gossip.Message) {
	if message.Fresh != nil && s.Config.Complete >= message.Digest.Revision {
		s.Lease.Heard(now, *message.Fresh, s.readsBefore(message.Fresh.Reader))
	}
	if message.Report == nil {
		return
	}
	s.recordReported(now, message.Report.Revision)
	s.Reported.ByReader = max(s.Reported.ByReader, message.Report.Revision)
	if s.Config.Complete >= message.Report.Revision {
		s.Lease.Heard(now, message.Report.Fresh, s.readsBefore(message.Report.Fresh.Reader))
	}
}

// freshnessIn returns what a message says of the age of its sender's and of a reader's knowledge.
func freshnessIn(message gossip.Message) []lease.Freshness {
	var all []lease.Freshness
	if message.Fresh != nil {
		all = append(all, *message.Fresh)
	}
	if message.Report != nil {
		all = append(all, message.Report.Fresh)
	}
	return all
}
