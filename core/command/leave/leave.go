// Package leave keeps which upstreams have been said to take no new work.
//
// For each upstream the newest notice wins: a newer life of its daemon before an older one, and within
// one life leaving before live. So nothing that a daemon hears can undo a leaving, but for a newer
// life, a newer entry of the instance list or a newer operator's mark:
//
//	s-1 leaving in life 7, mark 12   list: incarnation 1              ->  leaving
//	the same                         s-1 heard in life 8              ->  live
//	the same                         list: incarnation 2              ->  live
//	the same                         mark "joining" at revision 15    ->  live
//	the same, but it is stopping     mark "joining" at revision 15    ->  leaving
package leave

import (
	"cmp"
	"maps"
	"slices"

	"comfreytack/core/model"
)

const (
	// maxForeign bounds the notices of upstreams in services that are not kept.
	maxForeign = 256
	// sendsPerNotice is how often a daemon passes a notice on while it is news.
	sendsPerNotice = 16
	// maxPerMessage bounds the notices in one message.
	maxPerMessage = 16
)

// Notice says whether one life of an upstream takes new work.
type Notice struct {
	// Upstream is the upstream and Incarnation the life of the daemon beside it.
	Upstream    model.UpstreamName `json:"upstream"`
	Incarnation model.Incarnation  `json:"incarnation"`
	// Leaving is false only in notices that replace the leaving of an earlier life.
	Leaving bool `json:"leaving"`
	// Stopping says that the daemon itself ends, so that no mark can take the leaving back. The author
	// may not know of a mark that was published before it was told to stop.
	Stopping bool `json:"stopping,omitempty"`
	// Listed is the upstream's incarnation in the instance list as the author knew it; zero when unknown.
	Listed model.Incarnation `json:"listed,omitempty"`
	// Mark is the revision of the newest operator's mark that the author knew. Only a mark behind it
	// can take the leaving back.
	Mark model.Revision `json:"mark,omitempty"`
}

// Set has the notices that one daemon knows.
type Set struct {
	// Notices has the newest notice of each upstream; it is only ever replaced by a newer one.
	Notices map[model.UpstreamName]Notice
	// Sends counts how often each notice is still to be passed on; absent means never.
	Sends map[model.UpstreamName]int
}

// New returns a set without notices.
func New() *Set {
	return &Set{Notices: map[model.UpstreamName]Notice{}, Sends: map[model.UpstreamName]int{}}
}

// Merge takes notices and tells whether any was news.
func (s *Set) Merge(notices []Notice) bool {
	news := false
	for _, notice := range notices {
		old, known := s.Notices[notice.Upstream]
		if known && compare(notice, old) <= 0 {
			continue
		}
		s.Notices[notice.Upstream] = notice
		s.Sends[notice.Upstream] = sendsPerNotice
		news = true
	}
	return news
}

// Alive takes word from a daemon itself. It is news only when an earlier life was leaving.
func (s *Set) Alive(peer model.Peer) bool {
	old, known := s.Notices[peer.Name]
	if !known || old.Incarnation >= peer.Incarnation {
		return false
	}
	return s.Merge([]Notice{{Upstream: peer.Name, Incarnation: peer.Incarnation}})
}

// Pass returns the notices to put into the next message: those that are news, or one other. The
// caller chooses start at random.
func (s *Set) Pass(start int) []Notice {
	if len(s.Notices) == 0 {
		return nil
	}
	news := slices.Sorted(maps.Keys(s.Sends))
	notices := make([]Notice, 0, min(len(news), maxPerMessage))
	for _, name := range news[:min(len(news), maxPerMessage)] {
		notices = append(notices, s.Notices[name])
		s.sent(name)
	}
	if len(notices) > 0 {
		return notices
	}
	names := slices.Sorted(maps.Keys(s.Notices))
	return []Notice{s.Notices[names[start%len(names)]]}
}

// All returns every notice in order of the upstream's name.
func (s *Set) All() []Notice {
	notices := slices.Collect(maps.Values(s.Notices))
	slices.SortFunc(notices, func(a, b Notice) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return notices
}

// Prune forgets the notices of upstreams that are not listed in a kept service, beyond a bound.
func (s *Set) Prune(listed map[model.UpstreamName]model.Upstream) {
	var foreign []model.UpstreamName
	for name := range s.Notices {
		if _, known := listed[name]; !known {
			foreign = append(foreign, name)
		}
	}
	slices.SortFunc(foreign, func(a, b model.UpstreamName) int { return compare(s.Notices[b], s.Notices[a]) })
	for _, name := range foreign[min(len(foreign), maxForeign):] {
		delete(s.Notices, name)
		delete(s.Sends, name)
	}
}

func (s *Set) sent(name model.UpstreamName) {
	s.Sends[name]--
	if s.Sends[name] <= 0 {
		delete(s.Sends, name)
	}
}

// compare orders notices of one upstream: by life, then leaving behind live, then by what the author knew.
func compare(a, b Notice) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(truth(a.Leaving), truth(b.Leaving)),
		cmp.Compare(truth(a.Stopping), truth(b.Stopping)),
		cmp.Compare(a.Listed, b.Listed),
		cmp.Compare(a.Mark, b.Mark),
	)
}

func truth(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Evidence is all that is known of whether one upstream leaves.
type Evidence struct {
	// Listed is the upstream's entry in the instance list.
	Listed model.Upstream
	// Mark is the operator's newest mark and MarkAt its revision; zero when there is none.
	Mark   model.Mark
	MarkAt model.Revision
	// Notice is the newest notice; its zero value when there is none.
	Notice Notice
}

// Holds tells whether the upstream takes no new work. The earliest of the sources wins.
func Holds(e Evidence) bool {
	if e.Listed.State != model.Live {
		return true
	}
	marked := e.MarkAt > 0 && e.Mark.Incarnation >= e.Listed.Incarnation
	if marked && e.Mark.State == model.Leave {
		return true
	}
	takenBack := marked && !e.Notice.Stopping && e.MarkAt > e.Notice.Mark
	replaced := e.Notice.Listed > 0 && e.Listed.Incarnation > e.Notice.Listed
	return e.Notice.Leaving && !takenBack && !replaced
}
