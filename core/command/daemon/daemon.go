// Package daemon is the control state of one daemon: it hands each event to the command package
// that it concerns and builds the snapshot that traffic reads.
package daemon

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/command/config"
	"comfreytack/core/command/gossip"
	"comfreytack/core/command/lease"
	"comfreytack/core/command/leave"
	"comfreytack/core/command/member"
	"comfreytack/core/command/pause"
	"comfreytack/core/command/poison"
	"comfreytack/core/command/reader"
	"comfreytack/core/model"
)

// Settings has the explicit dependencies of a daemon's control state.
type Settings struct {
	// Self is the upstream that the daemon stands beside. Its incarnation is that of the daemon's own
	// life: later lives at the same name compare greater.
	Self model.Upstream
	// Seeds are peer addresses to ask first; Self may be among them.
	Seeds []model.Address
	// Calls names the services that callers of this daemon use; empty means all.
	Calls []model.ServiceName
	// Poison is the book that the gate writes to; nil makes an own one.
	Poison *poison.Book
	// Random spreads the daemon's timers and choices.
	Random *rand.Rand
	// Leased says that daemons read the platform by the freshness of their knowledge (package lease), for
	// fleets in which each can tell most others; else few of them read (package reader). Such a platform answers
	// with its newest state.
	Leased bool
}

// State is the control state. Only the control goroutine touches it.
type State struct {
	// Settings do not change.
	Settings Settings
	// Config is the configuration in force.
	Config *config.Store
	// Members has the daemons to exchange messages with.
	Members *member.Book
	// Reader decides when to read the platform, or Lease if the settings say so.
	Reader *reader.State
	Lease  *lease.State
	// Told is the newest revision that peers were heard to have.
	Told Told
	// Gossip decides when to speak.
	Gossip *gossip.State
	// Lapses has the upstreams whose entries vanished during an outage of the platform.
	Lapses Lapses
	// Leaves has the upstreams that were said to leave.
	Leaves *leave.Set
	// Pause tells whether the daemon has just woken.
	Pause *pause.State
	// Start tells how far the daemon is with learning its first configuration.
	Start Start
	// Stopping is true once the daemon was told to stop; it never becomes false.
	Stopping bool
	// Draining is what the upstream last answered. Its leaving begins when this turns true and does not
	// end when it turns false again.
	Draining bool

	self  model.Peer
	view  model.Snapshot
	built built
	// listed has the instance lists of the kept services, and notLive those that they call leaving or gone.
	listed map[model.UpstreamName]model.Upstream
	// others has the daemons beside listed upstreams, without this one, in order of their names.
	others  []model.Peer
	notLive []model.UpstreamName
}

// Told is what peers have and this daemon may lack.
type Told struct {
	// Revision is the newest one that a peer has in force.
	Revision model.Revision
	// Since is when this daemon first heard of changes that it lacked, without a moment in between at which it
	// had all that it had heard of.
	Since time.Time
}

// New returns the state of a daemon that has learnt nothing yet.
func New(settings Settings, now time.Time) *State {
	if settings.Poison == nil {
		settings.Poison = poison.New(poison.DefaultSettings())
	}
	self := member.PeerOf(settings.Self)
	self.Incarnation = settings.Self.Incarnation
	wanted := mapset.NewThreadUnsafeSet(settings.Calls...)
	if len(settings.Calls) > 0 {
		wanted.Add(settings.Self.Service)
	}
	s := &State{
		Settings: settings,
		Config:   config.New(wanted),
		Members:  member.New(self, settings.Seeds),
		Gossip:   gossip.New(now, settings.Random),
		Lease:    lease.New(),
		Leaves:   leave.New(),
		Lapses:   Lapses{Kept: map[model.InstanceID]model.Upstream{}},
		Pause:    pause.New(now),
		Start:    newStart(now, settings.Self.Peer, settings.Seeds),
		self:     self,
	}
	s.Start.PlatformCurrent = settings.Leased
	s.Reader = reader.New(self, now, now.Add(firstRead(self.Address, s.Members.Seeds, settings.Random)))
	s.rebuild()
	return s
}

// Apply implements loop.Machine.
func (s *State) Apply(now time.Time, event Event) []Effect {
	effects := s.ran(now, 0)
	switch e := event.(type) {
	case ChangesRead:
		effects = append(effects, s.changesRead(now, e)...)
	case PeerSaid:
		effects = append(effects, s.peerSaid(now, e.Message)...)
	case PeerLost:
		s.Members.Lost(now, e.Address)
		s.Start.Silent.Remove(e.Address)
		s.Gossip.Lost(e.Address)
	case CrashSeen:
		s.Gossip.Learnt(gossip.UrgentFanOut)
	case CallFailed:
		s.callFailed(now, e.Upstream)
	case UpstreamProbed:
		s.probed(e.Draining)
	case StopAsked:
		s.Stopping = true
		s.leaveSelf()
		s.rebuild()
	}
	s.Start.judge(now, s.Config.Complete)
	return append(effects, s.announce(now)...)
}

// Beat implements loop.Machine.
func (s *State) Beat(now time.Time, slept time.Duration) []Effect {
	effects := s.ran(now, slept)
	s.Start.judge(now, s.Config.Complete)
	if s.Lapses.expired(now) {
		s.rebuild()
	}
	s.view.Quarantine = s.Settings.Poison.Quarantined(now)
	effects = append(effects, s.askPeers(now)...)
	effects = append(effects, s.announce(now)...)
	if s.Gossip.DigestDue(now) {
		effects = append(effects, s.tell(now, s.Members.Choose(now, 1, s.Settings.Random.IntN(2) == 0, s.Settings.Random))...)
	}
	if s.readDue(now) {
		effects = append(effects, ReadPlatform{After: s.Config.Complete, Wait: s.readWait()})
	}
	return effects
}

// Snapshot implements loop.Machine.
func (s *State) Snapshot(now time.Time) *model.Snapshot {
	view := s.view
	view.Revision = s.Config.Complete
	view.Ready = s.Start.Ready
	view.Stopping = s.Stopping
	view.Suspect = s.Pause.SuspectAt(now)
	view.PublishedAt = now
	return &view
}

// ran notes that the control goroutine runs. After a pause it asks peers at once what happened meanwhile.
func (s *State) ran(now time.Time, slept time.Duration) []Effect {
	s.Lease.Slept(slept)
	if !s.Pause.Ran(now, slept) {
		return nil
	}
	s.Start.AskAt = now
	return s.askPeers(now)
}

// changesRead takes the end of a read of the platform. A replica that is behind this daemon proves nothing.
func (s *State) changesRead(now time.Time, e ChangesRead) []Effect {
	current := !e.Failed && e.Delta.Revision >= s.Config.Complete
	known := s.Config.Complete
	s.readEnded(now, current)
	if e.Failed {
		return nil
	}
	s.apply(now, func() config.Outcome { return s.take(e) })
	// Whatever a peer has beyond a read that shows the newest state will show in its next word.
	s.Told.Revision = s.Config.Complete
	s.Start.platformRead(s.Members.Everyone())
	if !s.Settings.Leased || !current {
		return nil
	}
	return s.tellRead(now, known)
}

// apply brings what was read or told into force, and notes which upstreams vanished by it.
func (s *State) apply(now time.Time, change func() config.Outcome) {
	before := values(s.Config.Instances)
	outcome := change()
	s.Lapses.compare(now, before, values(s.Config.Instances))
	s.outcome(outcome)
}

// take applies what was read: a run of changes, or everything that is published.
func (s *State) take(e ChangesRead) config.Outcome {
	if e.Whole {
		return s.Config.Merge(config.Copy{Revision: e.Delta.Revision, Changes: e.Delta.Changes})
	}
	return s.Config.Apply(e.Delta)
}

// outcome follows up a run of changes or a copy.
func (s *State) outcome(outcome config.Outcome) {
	if outcome != config.Applied && outcome != config.Healed {
		return
	}
	if !s.Settings.Leased {
		s.Gossip.Learnt(gossip.FanOut)
	}
	s.rebuild()
	s.renewNotice()
}

func (s *State) callFailed(now time.Time, upstream model.UpstreamName) {
	for _, peer := range s.Members.Sample {
		if peer.Name == upstream {
			s.Members.Lost(now, peer.Address)
		}
	}
}

// probed takes the answer of the upstream. Until the daemon knows the operators' marks it could not tell
// whether one of them has already taken this leaving back; it serves nothing until then.
func (s *State) probed(draining bool) {
	if !s.Start.Ready {
		return
	}
	if draining && !s.Draining {
		s.leaveSelf()
	}
	s.Draining = draining
}

// leaveSelf says that the upstream beside this daemon takes no new work.
func (s *State) leaveSelf() {
	s.giveNotice(leave.Notice{
		Upstream:    s.self.Name,
		Incarnation: s.self.Incarnation,
		Leaving:     true,
		Stopping:    s.Stopping,
		Listed:      s.listed[s.self.Name].Incarnation,
		Mark:        s.Config.Marks.Entries[s.self.Name].Revision,
	})
}

// renewNotice keeps an own notice in step with the instance list: the list lags, so an entry that
// appears after the notice may still speak of this life.
func (s *State) renewNotice() {
	notice := s.Leaves.Notices[s.self.Name]
	if !notice.Leaving || notice.Incarnation != s.self.Incarnation {
		return
	}
	notice.Listed = max(notice.Listed, s.listed[s.self.Name].Incarnation)
	s.giveNotice(notice)
}

func (s *State) giveNotice(notice leave.Notice) {
	if s.Leaves.Merge([]leave.Notice{notice}) {
		s.Gossip.Learnt(gossip.UrgentFanOut)
		s.rebuild()
	}
}

// upstreamsOf returns the entries of all kept services in a stable order.
func upstreamsOf(services map[model.ServiceName]model.Service) []model.Upstream {
	var upstreams []model.Upstream
	for _, name := range slices.Sorted(maps.Keys(services)) {
		upstreams = append(upstreams, services[name].Upstreams...)
	}
	return upstreams
}
