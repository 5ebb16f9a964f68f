// Package daemon is the control state of one daemon: it dispatches each event to the command package
// that handles it and builds the snapshot that traffic reads.
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
	"comfreytack/core/query/tree"
)

// Settings has the explicit dependencies of a daemon's control state.
type Settings struct {
	// Self is the upstream that the daemon runs beside. Its incarnation is the daemon's own: a later daemon of
	// the same name has a greater one.
	Self model.Upstream
	// Seeds are peer addresses to ask first; Self may be among them.
	Seeds []model.Address
	// Calls names the services that callers of this daemon use; empty means all.
	Calls []model.ServiceName
	// Poison is the detector that the gate writes to; nil creates one.
	Poison *poison.Detector
	// Random randomizes the daemon's timers and choices.
	Random *rand.Rand
	// Leased makes a daemon read the platform when its knowledge gets old (package lease), for fleets in which
	// a daemon can send to most others. Otherwise only a few daemons read at all (package reader). A platform
	// that is read by lease always answers with its newest state.
	Leased bool
}

// State is the control state. Only the control goroutine touches it.
type State struct {
	// Settings never change.
	Settings Settings
	// Config is the configuration in force.
	Config *config.Store
	// Members has the daemons to exchange messages with.
	Members *member.PeerSet
	// Reader decides when to read the platform, or Lease if Settings.Leased is set.
	Reader *reader.State
	Lease  *lease.State
	// Reported is the newest revision that peers have reported.
	Reported Reported
	// Gossip decides when to send messages to peers.
	Gossip *gossip.State
	// Expired has the upstreams whose entries vanished during an outage of the platform.
	Expired Expired
	// Leaves has the notices of upstreams that leave.
	Leaves *leave.Set
	// Pause detects that the daemon did not run for a while.
	Pause *pause.State
	// Start tracks how the daemon learns its first configuration.
	Start Start
	// Stopping is true once a stop was requested; it never becomes false.
	Stopping bool
	// Draining is the upstream's answer to the last probe. The upstream starts to leave when this turns true;
	// that it turns false again does not revoke the leaving.
	Draining bool

	self     model.Peer
	snapshot model.Snapshot
	inputs   inputs
	// listed has the upstreams of the kept services, and notLive the names of those that are listed as leaving
	// or gone.
	listed  map[model.UpstreamName]model.Upstream
	notLive []model.UpstreamName
	// listedMembers has the daemons beside listed upstreams, without this one, in the order of package tree.
	listedMembers []tree.Member
	// earlierReaders has the addresses of those that rank before this daemon for reads.
	earlierReaders []model.Address
}

// Reported is a revision that a peer has and this daemon may lack.
type Reported struct {
	// Revision is the newest one that a peer has reported to be in force there.
	Revision model.Revision
	// Since is when this daemon fell behind: the first report of a revision above its own since it last had
	// all that peers had reported.
	Since time.Time
	// ByReader is the newest one in a report of a read. A daemon that lacks changes after such a report reads them. Of a
	// revision in a digest only, the report is still on its way, or this daemon's knowledge is about to get old.
	ByReader model.Revision
	// ArrivingSince is when the read in flight has shown that it brings a large change; zero when it has not.
	ArrivingSince time.Time
}

// New returns the state of a daemon without any configuration.
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
		Lease:    lease.New(settings.Random),
		Leaves:   leave.New(),
		Expired:  Expired{Kept: map[model.InstanceID]model.Upstream{}, Evacuations: map[model.FailureDomain]model.Revision{}},
		Pause:    pause.New(now),
		Start:    newStart(now, settings.Self.Peer, settings.Seeds),
		self:     self,
	}
	s.Start.PlatformCurrent = settings.Leased
	s.Reader = reader.New(self, now, now.Add(firstReadDelay(self.Address, s.Members.Seeds, settings.Random)))
	s.rebuild()
	return s
}

// Apply implements loop.Machine.
func (s *State) Apply(now time.Time, event Event) []Effect {
	effects := s.checkPause(now, 0)
	switch e := event.(type) {
	case ChangesRead:
		effects = append(effects, s.changesRead(now, e)...)
	case LargeChange:
		s.Reported.ArrivingSince = now
		effects = append(effects, s.reportLargeChange(now, e.After)...)
	case MessageReceived:
		effects = append(effects, s.messageReceived(now, e.Message)...)
	case PeerLost:
		s.Members.Lost(now, e.Address)
		s.Start.Unheard.Remove(e.Address)
		s.Gossip.Lost(e.Address)
	case CrashSeen:
		s.Gossip.QueueAnnouncement(gossip.UrgentFanOut)
	case UpstreamProbed:
		s.upstreamProbed(e.Draining)
	case StopRequested:
		s.Stopping = true
		s.startLeaving()
		s.rebuild()
	}
	effects = append(effects, s.updateReady(now)...)
	return append(effects, s.announce(now)...)
}

// updateReady notes when the daemon becomes ready. It announces itself, so that others that knew its predecessor to be
// stopping learn at once that its upstream takes work again. One that the platform alone has made ready asks for the
// notices and the evidence that its predecessor knew.
func (s *State) updateReady(now time.Time) []Effect {
	if s.awaitsDocument() || !s.Start.updateReady(now, s.Config.Complete) {
		return nil
	}
	s.Gossip.QueueAnnouncement(gossip.UrgentFanOut)
	if !s.Settings.Leased {
		return nil
	}
	return s.askDigests(now, s.Members.Choose(now, readyAsks, false, s.Settings.Random))
}

// Tick implements loop.Machine.
func (s *State) Tick(now time.Time, suspended time.Duration) []Effect {
	effects := s.checkPause(now, suspended)
	effects = append(effects, s.updateReady(now)...)
	if s.Expired.endGrace(now) {
		s.rebuild()
	}
	s.snapshot.Quarantine = s.Settings.Poison.Quarantined(now)
	effects = append(effects, s.askPeers(now)...)
	effects = append(effects, s.announce(now)...)
	if s.Gossip.DigestDue(now) {
		effects = append(effects, s.sendDigest(now, s.Members.Choose(now, 1, s.Settings.Random.IntN(2) == 0, s.Settings.Random))...)
	}
	if s.readDue(now) {
		effects = append(effects, ReadPlatform{After: s.Config.Complete, Wait: s.readWait(now)})
	}
	return effects
}

// Snapshot implements loop.Machine.
func (s *State) Snapshot(now time.Time) *model.Snapshot {
	snapshot := s.snapshot
	snapshot.Revision = s.Config.Complete
	snapshot.Ready = s.Start.Ready
	snapshot.Stopping = s.Stopping
	snapshot.Suspect = s.Pause.SuspectAt(now)
	snapshot.PublishedAt = now
	return &snapshot
}

// checkPause notes that the control goroutine runs. After a pause it asks peers at once for what has changed.
func (s *State) checkPause(now time.Time, suspended time.Duration) []Effect {
	s.Lease.AddSuspension(suspended)
	if !s.Pause.Ran(now, suspended) {
		return nil
	}
	s.Start.AskAt = now
	return s.askPeers(now)
}

// changesRead handles the end of a read of the platform. A read counts as successful only if the replica that
// answered is not behind this daemon.
func (s *State) changesRead(now time.Time, e ChangesRead) []Effect {
	current := !e.Failed && e.Delta.Revision >= s.Config.Complete
	before := s.Config.Complete
	reports := s.Settings.Leased && current && s.Lease.Renewing && !s.Lease.Alone
	s.readEnded(now, current)
	if e.Failed {
		return nil
	}
	s.applyConfig(now, func() config.Outcome { return s.applyRead(e) })
	// If a peer has more than this read showed, its next message says so.
	s.Reported.Revision = s.Config.Complete
	s.Reported.ByReader = s.Config.Complete
	s.Start.platformRead(s.Members.Addresses())
	if !reports {
		return nil
	}
	return s.reportRead(now, before)
}

// applyConfig applies a change of the configuration, and keeps the upstreams that it removed if their entries may
// only have expired, and what the platform may have lost.
func (s *State) applyConfig(now time.Time, change func() config.Outcome) {
	before := values(s.Config.Instances)
	evacuated := s.Expired.evacuated(s.Config.Evacuations)
	revision := s.Config.Complete
	outcome := change()
	if revision > 0 && revision.IsBeforeEraOf(s.Config.Complete) {
		s.Expired.enterEra(now, evacuated, s.Config)
	}
	s.Expired.keepVanished(now, before, values(s.Config.Instances))
	s.outcome(outcome)
}

// applyRead applies the result of a read: a delta, or everything that is published.
func (s *State) applyRead(e ChangesRead) config.Outcome {
	if e.Whole {
		return s.Config.Merge(config.Copy{Revision: e.Delta.Revision, Changes: e.Delta.Changes})
	}
	return s.Config.Apply(e.Delta)
}

// outcome acts on the outcome of a delta or a full copy. If anything changed, it announces the new revision, unless
// peers get reports of reads, and rebuilds the snapshot.
func (s *State) outcome(outcome config.Outcome) {
	if outcome != config.Applied && outcome != config.Healed {
		return
	}
	if !s.Settings.Leased {
		s.Gossip.QueueAnnouncement(gossip.FanOut)
	}
	s.rebuild()
	s.refreshOwnNotice()
}

// upstreamsOf returns the upstreams of all kept services, ordered by service name.
func upstreamsOf(services map[model.ServiceName]model.Service) []model.Upstream {
	var upstreams []model.Upstream
	for _, name := range slices.Sorted(maps.Keys(services)) {
		upstreams = append(upstreams, services[name].Upstreams...)
	}
	return upstreams
}
