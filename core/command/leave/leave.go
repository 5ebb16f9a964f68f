// Package leave tracks which upstreams are leaving, and so take no new work.
//
// For each upstream the newest notice wins: a later incarnation of its daemon over an earlier one, and within one
// incarnation leaving over live. So no message revokes a leaving, except for a later incarnation of the daemon, a later
// entry in the instance list, or a newer mark of an operator:
//
//	s-1 leaving in incarnation 7, mark 12  list: incarnation 1              ->  leaving
//	the same                               message of s-1 in incarnation 8  ->  live
//	the same                               list: incarnation 2              ->  live
//	the same                               mark "joining" at revision 15    ->  live
//	the same, but it is stopping           mark "joining" at revision 15    ->  leaving
package leave

import (
	"cmp"
	"maps"
	"slices"

	"comfreytack/core/model"
)

const (
	// maxUnlisted bounds the notices of upstreams in services whose instance lists this daemon does not keep.
	maxUnlisted = 256
	// sendsPerNotice is in how many messages a daemon passes on a new notice.
	sendsPerNotice = 16
	// maxPerMessage bounds the notices in one message.
	maxPerMessage = 16
)

// Notice says whether an upstream takes new work, as announced by one incarnation of its daemon.
type Notice struct {
	// Upstream is the upstream, and Incarnation that of the daemon beside it.
	Upstream    model.UpstreamName `json:"upstream"`
	Incarnation model.Incarnation  `json:"incarnation"`
	// Leaving is false only in notices that replace the leaving of an earlier incarnation.
	Leaving bool `json:"leaving"`
	// Stopping says that the daemon itself stops, so that no mark can revoke the leaving. Comparing marks would not be
	// enough: the author may not know of a mark that was published before it was asked to stop.
	Stopping bool `json:"stopping,omitempty"`
	// Listed is the upstream's incarnation in the instance list as the author knew it; zero when unknown.
	Listed model.Incarnation `json:"listed,omitempty"`
	// Mark is the revision of the newest operator's mark that the author knew. Only a mark with a higher revision
	// can revoke the leaving.
	Mark model.Revision `json:"mark,omitempty"`
}

// Set has the notices that one daemon knows.
type Set struct {
	// Notices has the newest notice of each upstream. A notice is replaced only by a newer one.
	Notices map[model.UpstreamName]Notice
	// SendsLeft counts in how many more messages each notice is passed on as new; absent means none.
	SendsLeft map[model.UpstreamName]int
}

// New returns an empty Set.
func New() *Set {
	return &Set{Notices: map[model.UpstreamName]Notice{}, SendsLeft: map[model.UpstreamName]int{}}
}

// Merge adds notices and reports whether any of them was new.
func (s *Set) Merge(notices []Notice) bool {
	changed := false
	for _, notice := range notices {
		old, known := s.Notices[notice.Upstream]
		if known && compare(notice, old) <= 0 {
			continue
		}
		s.Notices[notice.Upstream] = notice
		s.SendsLeft[notice.Upstream] = sendsPerNotice
		changed = true
	}
	return changed
}

// Alive records a message from a daemon, which shows its current incarnation. It reports whether that changed anything,
// as it does only if an earlier incarnation has a notice.
func (s *Set) Alive(peer model.Peer) bool {
	old, known := s.Notices[peer.Name]
	if !known || old.Incarnation >= peer.Incarnation {
		return false
	}
	return s.Merge([]Notice{{Upstream: peer.Name, Incarnation: peer.Incarnation}})
}

// NextNotices returns the notices for the next message: the new ones, or one other if there are none. The
// caller chooses start at random.
func (s *Set) NextNotices(start int) []Notice {
	if len(s.Notices) == 0 {
		return nil
	}
	unsent := slices.Sorted(maps.Keys(s.SendsLeft))
	notices := make([]Notice, 0, min(len(unsent), maxPerMessage))
	for _, name := range unsent[:min(len(unsent), maxPerMessage)] {
		notices = append(notices, s.Notices[name])
		s.countSend(name)
	}
	if len(notices) > 0 {
		return notices
	}
	names := slices.Sorted(maps.Keys(s.Notices))
	return []Notice{s.Notices[names[start%len(names)]]}
}

// All returns all notices, sorted by the name of the upstream.
func (s *Set) All() []Notice {
	notices := slices.Collect(maps.Values(s.Notices))
	slices.SortFunc(notices, func(a, b Notice) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return notices
}

// Prune forgets the oldest notices of upstreams that are not listed, beyond maxUnlisted.
func (s *Set) Prune(listed map[model.UpstreamName]model.Upstream) {
	var unlisted []model.UpstreamName
	for name := range s.Notices {
		if _, known := listed[name]; !known {
			unlisted = append(unlisted, name)
		}
	}
	slices.SortFunc(unlisted, func(a, b model.UpstreamName) int { return compare(s.Notices[b], s.Notices[a]) })
	for _, name := range unlisted[min(len(unlisted), maxUnlisted):] {
		delete(s.Notices, name)
		delete(s.SendsLeft, name)
	}
}

func (s *Set) countSend(name model.UpstreamName) {
	s.SendsLeft[name]--
	if s.SendsLeft[name] <= 0 {
		delete(s.SendsLeft, name)
	}
}

// compare orders notices of one upstream from old to new: by incarnation, then leaving after live, then stopping after
// not stopping, then by what the author knew.
func compare(a, b Notice) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(boolToInt(a.Leaving), boolToInt(b.Leaving)),
		cmp.Compare(boolToInt(a.Stopping), boolToInt(b.Stopping)),
		cmp.Compare(a.Listed, b.Listed),
		cmp.Compare(a.Mark, b.Mark),
	)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Evidence is everything that is known about whether one upstream is leaving.
type Evidence struct {
	// Listed is the upstream's entry in the instance list.
	Listed model.Upstream
	// Mark is the operator's newest mark and MarkAt its revision; zero when there is none.
	Mark   model.Mark
	MarkAt model.Revision
	// Notice is the newest notice; zero when there is none.
	Notice Notice
}

// IsLeaving reports whether the upstream is leaving and so takes no new work: as soon as its state in the instance
// list, an operator's mark or a notice says so. A notice counts no more after a newer mark or a later incarnation in
// the list.
func IsLeaving(e Evidence) bool {
	if e.Listed.State != model.Live {
		return true
	}
	marked := e.MarkAt > 0 && e.Mark.Incarnation >= e.Listed.Incarnation
	if marked && e.Mark.State == model.Leave {
		return true
	}
	revoked := marked && !e.Notice.Stopping && e.MarkAt > e.Notice.Mark
	replaced := e.Notice.Listed > 0 && e.Listed.Incarnation > e.Notice.Listed
	return e.Notice.Leaving && !revoked && !replaced
}
