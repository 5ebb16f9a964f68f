// Package load keeps what this daemon knows of the load of each upstream that it calls.
//
// A Book is shared by traffic goroutines and guards itself. Look-ups read an immutable table, and each
// upstream has a lock of its own, so that calls to different upstreams do not wait for each other.
package load

//go:generate go tool stringer -type=Result -linecomment -output=enums_string.go

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"comfreytack/core/model"
	"comfreytack/core/query/route"
	"comfreytack/core/query/subset"
)

// Settings has the bounds of a book.
type Settings struct {
	// SubsetSize bounds the upstreams of one service that this daemon calls; at least 1.
	SubsetSize int
	// Ramp is how long a new incarnation takes to reach a full load.
	Ramp time.Duration
	// FailuresInRow is how many failures in a row eject an upstream; at least 1.
	FailuresInRow int
	// FirstEjection is how long the first ejection lasts; each further one lasts twice as long.
	FirstEjection time.Duration
	// LongestEjection bounds an ejection.
	LongestEjection time.Duration
}

// DefaultSettings returns the settings that a daemon uses.
func DefaultSettings() Settings {
	return Settings{
		SubsetSize:      20,
		Ramp:            5 * time.Second,
		FailuresInRow:   5,
		FirstEjection:   500 * time.Millisecond,
		LongestEjection: 20 * time.Second,
	}
}

// Book counts calls in flight and keeps the newest report and the own evidence of each upstream.
type Book struct {
	settings Settings
	self     model.Upstream
	writers  sync.Mutex
	table    atomic.Pointer[table]
}

// table is immutable once it is published.
type table struct {
	// lives has the members of all groups, and upstreams that left with calls in flight.
	lives  map[model.UpstreamName]*life
	groups map[model.ServiceName]*group
}

// group is the subset of one service.
type group struct {
	// source is the instance list that the subset was computed from; its identity shows a change.
	source  []model.Upstream
	members []member
}

type member struct {
	upstream model.Upstream
	near     bool
	life     *life
}

// Call is a call that Began counted. It goes to Ended once.
type Call struct {
	// Upstream is the upstream that was called.
	Upstream model.UpstreamName

	life *life
}

// New returns an empty book of the daemon beside self.
func New(self model.Upstream, settings Settings) *Book {
	b := &Book{settings: settings, self: self}
	b.table.Store(&table{})
	return b
}

// Began counts a call that is about to be sent.
func (b *Book) Began(upstream model.UpstreamName) Call {
	l, known := b.table.Load().lives[upstream]
	if known {
		l.began()
	}
	return Call{Upstream: upstream, life: l}
}

// Ended counts a call that is over, whatever its outcome.
func (b *Book) Ended(now time.Time, call Call, outcome Outcome) {
	if call.life != nil {
		call.life.ended(now, outcome, &b.settings)
	}
}

// Reported keeps a gate's report that was made at the given time. Reports of upstreams that this
// daemon does not call and of earlier incarnations are dropped; a later incarnation starts anew.
func (b *Book) Reported(madeAt time.Time, report model.GateReport) {
	l, known := b.table.Load().lives[report.Upstream]
	if !known || report.Incarnation < l.incarnation {
		return
	}
	if report.Incarnation > l.incarnation {
		l = b.renew(madeAt, report.Upstream, report.Incarnation)
	}
	l.reported(madeAt, report)
}

// Candidates appends the upstreams of a service that this daemon calls to into[:0], with what is known
// of each. Upstreams that are leaving are left out. The slice upstreams must not be changed later: the
// subset is computed again when another slice is passed.
func (b *Book) Candidates(
	now time.Time, service model.ServiceName, upstreams []model.Upstream, into []route.Candidate,
) []route.Candidate {
	g, known := b.table.Load().groups[service]
	if !known || !same(g.source, upstreams) {
		g = b.follow(now, service, upstreams)
	}
	into = into[:0]
	for i := range g.members {
		m := &g.members[i]
		candidate, takesWork := m.life.candidate(now, &b.settings)
		if !takesWork {
			continue
		}
		candidate.Upstream = m.upstream
		candidate.Near = m.near
		into = append(into, candidate)
	}
	return into
}

// Forget drops the services for which called returns false.
func (b *Book) Forget(called func(model.ServiceName) bool) {
	b.writers.Lock()
	defer b.writers.Unlock()
	groups := maps.Clone(b.table.Load().groups)
	maps.DeleteFunc(groups, func(service model.ServiceName, _ *group) bool { return !called(service) })
	b.publish(groups)
}

// Upstreams returns the upstreams of all subsets.
func (b *Book) Upstreams() []model.Upstream {
	var upstreams []model.Upstream
	for _, g := range b.table.Load().groups {
		for _, m := range g.members {
			upstreams = append(upstreams, m.upstream)
		}
	}
	return upstreams
}

// Size returns how many upstreams the book knows.
func (b *Book) Size() int {
	return len(b.table.Load().lives)
}

// follow computes the subset of a service whose instance list has changed.
func (b *Book) follow(now time.Time, service model.ServiceName, upstreams []model.Upstream) *group {
	b.writers.Lock()
	defer b.writers.Unlock()
	old := b.table.Load()
	if g, known := old.groups[service]; known && same(g.source, upstreams) {
		return g
	}
	live := make([]model.Upstream, 0, len(upstreams))
	for _, upstream := range upstreams {
		if upstream.State == model.Live {
			live = append(live, upstream)
		}
	}
	g := &group{source: upstreams}
	for _, upstream := range subset.Near(b.self, live, b.settings.SubsetSize) {
		l, known := old.lives[upstream.Name]
		if !known || l.incarnation < upstream.Incarnation {
			l = &life{incarnation: upstream.Incarnation, firstSeen: now}
		}
		near := upstream.FailureDomain == b.self.FailureDomain
		g.members = append(g.members, member{upstream: upstream, near: near, life: l})
	}
	groups := maps.Clone(old.groups)
	if groups == nil {
		groups = map[model.ServiceName]*group{}
	}
	groups[service] = g
	b.publish(groups)
	return g
}

// renew replaces the life of an upstream that came back as a later incarnation.
func (b *Book) renew(now time.Time, upstream model.UpstreamName, incarnation model.Incarnation) *life {
	b.writers.Lock()
	defer b.writers.Unlock()
	old := b.table.Load()
	if l, known := old.lives[upstream]; known && l.incarnation >= incarnation {
		return l
	}
	renewed := &life{incarnation: incarnation, firstSeen: now}
	groups := maps.Clone(old.groups)
	for service, g := range groups {
		groups[service] = g.with(upstream, renewed)
	}
	b.publish(groups)
	return renewed
}

// with returns the group with another life for one upstream.
func (g *group) with(upstream model.UpstreamName, renewed *life) *group {
	changed := &group{source: g.source, members: make([]member, 0, len(g.members))}
	for _, m := range g.members {
		if m.upstream.Name == upstream {
			m.life = renewed
		}
		changed.members = append(changed.members, m)
	}
	return changed
}

// publish builds the table of the groups. It keeps upstreams that left while calls to them are in
// flight, so that the count stays exact if they return.
func (b *Book) publish(groups map[model.ServiceName]*group) {
	lives := map[model.UpstreamName]*life{}
	for _, g := range groups {
		for _, m := range g.members {
			lives[m.upstream.Name] = m.life
		}
	}
	for name, l := range b.table.Load().lives {
		if _, kept := lives[name]; !kept && l.busy() {
			lives[name] = l
		}
	}
	b.table.Store(&table{lives: lives, groups: groups})
}

// same says whether two slices are the same piece of memory.
func same(a, b []model.Upstream) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}
