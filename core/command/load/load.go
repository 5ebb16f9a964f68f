// Package load tracks the load and health of each upstream that this daemon calls.
//
// A Tracker is safe for concurrent use by traffic goroutines. Look-ups read an immutable table, and each upstream has a
// lock of its own, so that calls to different upstreams do not contend.
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

// Settings has the bounds of a Tracker.
type Settings struct {
	// SubsetSize is the maximum number of upstreams of one service that this daemon calls; at least 1.
	SubsetSize int
	// Ramp is how long the slow start of a new incarnation lasts, until it takes a full load.
	Ramp time.Duration
	// FailuresInRow is how many failures in a row eject an upstream; at least 1.
	FailuresInRow int
	// FirstEjection is how long the first ejection lasts; each further one lasts twice as long.
	FirstEjection time.Duration
	// LongestEjection bounds the length of an ejection.
	LongestEjection time.Duration
	// SilenceAfter is how long a gate with calls in flight may give no sign of life before it is checked, if its calls do
	// not take longer anyway. CheckInterval is the time between two checks of one gate.
	SilenceAfter  time.Duration
	CheckInterval time.Duration
}

// DefaultSettings returns the settings that a daemon uses.
func DefaultSettings() Settings {
	return Settings{
		SubsetSize:      20,
		Ramp:            5 * time.Second,
		FailuresInRow:   5,
		FirstEjection:   500 * time.Millisecond,
		LongestEjection: 20 * time.Second,
		SilenceAfter:    200 * time.Millisecond,
		CheckInterval:   250 * time.Millisecond,
	}
}

// Tracker counts the calls in flight to each upstream, and keeps the newest report of its gate and what this daemon's
// own calls show about it.
type Tracker struct {
	settings Settings
	self     model.Upstream
	writers  sync.Mutex
	table    atomic.Pointer[table]
}

// table is immutable once it is published.
type table struct {
	// byName has the members of all groups, and removed upstreams that still have calls in flight.
	byName map[model.UpstreamName]*stats
	groups map[model.ServiceName]*group
}

// group is the subset of one service.
type group struct {
	// source is the instance list that the subset was computed from. A list at another address means a change.
	source  []model.Upstream
	members []member
}

type member struct {
	upstream model.Upstream
	near     bool
	stats    *stats
}

// Call is a call counted by Began. It must be passed to Ended exactly once.
type Call struct {
	// Upstream is the upstream that was called.
	Upstream model.UpstreamName

	stats *stats
}

// New returns an empty Tracker for the daemon that runs beside the upstream self.
func New(self model.Upstream, settings Settings) *Tracker {
	t := &Tracker{settings: settings, self: self}
	t.table.Store(&table{})
	return t
}

// Began counts a call that is about to be sent.
func (t *Tracker) Began(now time.Time, upstream model.UpstreamName) Call {
	s, known := t.table.Load().byName[upstream]
	if known {
		s.began(now)
	}
	return Call{Upstream: upstream, stats: s}
}

// Ended counts a call that is over, whatever its outcome.
func (t *Tracker) Ended(now time.Time, call Call, outcome Outcome) {
	if call.stats != nil {
		call.stats.ended(now, outcome, &t.settings)
	}
}

// Reported stores a gate's report that was made at the given time. Reports from upstreams that this daemon does not
// call and from earlier incarnations are dropped; one from a later incarnation resets what is known.
func (t *Tracker) Reported(madeAt time.Time, report model.GateReport) {
	s, known := t.table.Load().byName[report.Upstream]
	if !known || report.Incarnation < s.incarnation {
		return
	}
	if report.Incarnation > s.incarnation {
		s = t.replaceStats(madeAt, report.Upstream, report.Incarnation)
	}
	s.reported(madeAt, report)
}

// Candidates appends the upstreams of a service that this daemon calls to into[:0], with what is known about each.
// Upstreams that are leaving are left out. The slice upstreams must not be modified later: the subset is computed
// again only when another slice is passed.
func (t *Tracker) Candidates(
	now time.Time, service model.ServiceName, upstreams []model.Upstream, into []route.Candidate,
) []route.Candidate {
	g, known := t.table.Load().groups[service]
	if !known || !sameSlice(g.source, upstreams) {
		g = t.updateSubset(now, service, upstreams)
	}
	into = into[:0]
	for i := range g.members {
		m := &g.members[i]
		candidate, takesWork := m.stats.candidate(now, &t.settings)
		if !takesWork {
			continue
		}
		candidate.Upstream = m.upstream
		candidate.Near = m.near
		into = append(into, candidate)
	}
	return route.WithoutSilent(into)
}

// GatesToCheck returns the upstreams whose gates are to be checked now: those with calls in flight that have given no sign
// of life for longer than usual, and those that are silent. A frozen or cut off machine keeps its connections open, so
// that only such a check tells it from slow work.
func (t *Tracker) GatesToCheck(now time.Time) []model.Upstream {
	var due []model.Upstream
	for _, g := range t.table.Load().groups {
		for _, m := range g.members {
			if m.upstream.Name != t.self.Name && m.stats.checkDue(now, &t.settings) {
				due = append(due, m.upstream)
			}
		}
	}
	return due
}

// CheckFailed records that the gate of an upstream did not answer a check that was sent at the given time. It gets no
// calls until it is heard again, as long as another upstream does. What runs there goes on.
func (t *Tracker) CheckFailed(sentAt time.Time, upstream model.UpstreamName) {
	if s, known := t.table.Load().byName[upstream]; known {
		s.checkFailed(sentAt)
	}
}

// Retain keeps only the services for which keep returns true.
func (t *Tracker) Retain(keep func(model.ServiceName) bool) {
	t.writers.Lock()
	defer t.writers.Unlock()
	groups := maps.Clone(t.table.Load().groups)
	maps.DeleteFunc(groups, func(service model.ServiceName, _ *group) bool { return !keep(service) })
	t.publish(groups)
}

// Upstreams returns the upstreams of all subsets.
func (t *Tracker) Upstreams() []model.Upstream {
	var upstreams []model.Upstream
	for _, g := range t.table.Load().groups {
		for _, m := range g.members {
			upstreams = append(upstreams, m.upstream)
		}
	}
	return upstreams
}

// Size returns how many upstreams are tracked.
func (t *Tracker) Size() int {
	return len(t.table.Load().byName)
}

// updateSubset recomputes the subset of a service whose instance list has changed.
func (t *Tracker) updateSubset(now time.Time, service model.ServiceName, upstreams []model.Upstream) *group {
	t.writers.Lock()
	defer t.writers.Unlock()
	old := t.table.Load()
	if g, known := old.groups[service]; known && sameSlice(g.source, upstreams) {
		return g
	}
	live := make([]model.Upstream, 0, len(upstreams))
	for _, upstream := range upstreams {
		if upstream.State == model.Live {
			live = append(live, upstream)
		}
	}
	g := &group{source: upstreams}
	for _, upstream := range subset.Near(t.self, live, t.settings.SubsetSize) {
		s, known := old.byName[upstream.Name]
		if !known || s.incarnation < upstream.Incarnation {
			s = &stats{incarnation: upstream.Incarnation, firstSeen: now}
		}
		near := upstream.FailureDomain == t.self.FailureDomain
		g.members = append(g.members, member{upstream: upstream, near: near, stats: s})
	}
	groups := maps.Clone(old.groups)
	if groups == nil {
		groups = map[model.ServiceName]*group{}
	}
	groups[service] = g
	t.publish(groups)
	return g
}

// replaceStats starts new stats for an upstream that came back as a later incarnation.
func (t *Tracker) replaceStats(now time.Time, upstream model.UpstreamName, incarnation model.Incarnation) *stats {
	t.writers.Lock()
	defer t.writers.Unlock()
	old := t.table.Load()
	if s, known := old.byName[upstream]; known && s.incarnation >= incarnation {
		return s
	}
	renewed := &stats{incarnation: incarnation, firstSeen: now}
	groups := maps.Clone(old.groups)
	for service, g := range groups {
		groups[service] = g.withStats(upstream, renewed)
	}
	t.publish(groups)
	return renewed
}

// withStats returns a copy of the group with other stats for one upstream.
func (g *group) withStats(upstream model.UpstreamName, renewed *stats) *group {
	changed := &group{source: g.source, members: make([]member, 0, len(g.members))}
	for _, m := range g.members {
		if m.upstream.Name == upstream {
			m.stats = renewed
		}
		changed.members = append(changed.members, m)
	}
	return changed
}

// publish stores a new table of the groups. It keeps removed upstreams while calls to them are in flight, so that the
// count is exact if they return.
func (t *Tracker) publish(groups map[model.ServiceName]*group) {
	byName := map[model.UpstreamName]*stats{}
	for _, g := range groups {
		for _, m := range g.members {
			byName[m.upstream.Name] = m.stats
		}
	}
	for name, s := range t.table.Load().byName {
		if _, kept := byName[name]; !kept && s.busy() {
			byName[name] = s
		}
	}
	t.table.Store(&table{byName: byName, groups: groups})
}

// sameSlice reports whether two slices share their memory and length.
func sameSlice(a, b []model.Upstream) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}
