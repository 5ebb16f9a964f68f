package daemon

import (
	"maps"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/command/config"
	"comfreytack/core/command/leave"
	"comfreytack/core/command/member"
	"comfreytack/core/model"
	"comfreytack/core/query/check"
	"comfreytack/core/query/limits"
	"comfreytack/core/query/match"
	"comfreytack/core/query/tree"
)

// inputs identifies what the maps of a snapshot were built from: hashes of the configuration, and the number
// of slots.
type inputs struct {
	contracts, services uint64
	slots               int
	document            uint64
	evacuations         uint64
}

// rebuild updates the parts of the snapshot that follow from configuration and notices. Traffic may still read
// earlier snapshots, so their maps are never changed: a part that differs is built anew, and the rest is shared.
func (s *State) rebuild() {
	snapshot := s.snapshot
	snapshot.Self = s.Settings.Self
	snapshot.Refusals = maps.Clone(s.Config.Refusals)
	document := s.document()
	instances := s.Expired.addTo(values(s.Config.Instances))
	evacuated := s.Expired.evacuated(s.Config.Evacuations)
	current := inputs{
		contracts: s.Config.Contracts.Hash ^ s.Config.Documents.Hash,
		services:  s.Config.Services.Hash ^ s.Config.Instances.Hash ^ s.Config.Documents.Hash ^ uint64(len(s.Expired.Kept)),
		document:  s.Config.Documents.Hash,

		evacuations: s.Config.Evacuations.Hash ^ uint64(len(evacuated)),
	}
	if snapshot.Contracts == nil || current.contracts != s.inputs.contracts {
		snapshot.Contracts = values(s.Config.Contracts)
		maps.Copy(snapshot.Contracts, limits.RankContracts(document.Routes))
	}
	if snapshot.Routes == nil || current.document != s.inputs.document {
		snapshot.Routes = match.Table(document.Routes)
		snapshot.Document = document.Version
		snapshot.Intake = document.Intake
	}
	if snapshot.Services == nil || current.services != s.inputs.services {
		snapshot.Services = withInstances(values(s.Config.Services), document, instances)
		s.instancesChanged(snapshot.Services)
	}
	if current.services != s.inputs.services || current.evacuations != s.inputs.evacuations {
		snapshot.Evacuated, snapshot.Open = evacuate(evacuated, snapshot.Services)
	}
	snapshot.Self = s.selfAsListed()
	snapshot.Slots = s.slots(snapshot.Services)
	current.slots = snapshot.Slots
	if snapshot.Limits == nil || current.contracts != s.inputs.contracts || current.slots != s.inputs.slots {
		snapshot.Limits = limits.Of(snapshot.Contracts, current.slots)
	}
	s.Leaves.Prune(s.listed)
	snapshot.Leaving = s.leaving()
	s.inputs = current
	s.snapshot = snapshot
}

// document returns the document in force, or its zero value when there is none.
func (s *State) document() model.Document {
	return s.Config.Documents.Entries[check.DocumentKey].Value
}

// selfAsListed returns the upstream beside this daemon, completed from its own instance entry if there is one. Its
// incarnation is then that of the upstream, which may have started before or after the daemon.
func (s *State) selfAsListed() model.Upstream {
	self := s.Settings.Self
	listed := s.listed[self.Name]
	if listed.Instance == "" || listed.Service != self.Service {
		return self
	}
	self.Instance = listed.Instance
	self.Incarnation = listed.Incarnation
	self.Slots = listed.Slots
	self.State = listed.State
	self.WarmupLeftMs = listed.WarmupLeftMs
	self.Sequence = listed.Sequence
	return self
}

// slots returns how many slots the upstream beside this daemon has; zero when unknown.
func (s *State) slots(services map[model.ServiceName]model.Service) int {
	if own := s.listed[s.self.Name].Slots; own > 0 {
		return own
	}
	return services[s.self.Service].Slots
}

// values returns the values in a table.
func values[K comparable, T any](table *config.Table[K, T]) map[K]T {
	result := make(map[K]T, len(table.Entries))
	for name, entry := range table.Entries {
		result[name] = entry.Value
	}
	return result
}

// instancesChanged updates all that is derived from the instance lists.
func (s *State) instancesChanged(services map[model.ServiceName]model.Service) {
	upstreams := upstreamsOf(services)
	s.Members.Published(upstreams)
	if s.Config.Wanted.Cardinality() == 0 {
		s.Reader.Fleet = len(upstreams)
	}
	s.listed = make(map[model.UpstreamName]model.Upstream, len(upstreams))
	s.notLive = nil
	s.earlierReaders = nil
	var peers []model.Peer
	for _, upstream := range upstreams {
		s.listed[upstream.Name] = upstream
		if upstream.Name != s.self.Name {
			peers = append(peers, member.PeerOf(upstream))
		}
		if s.readsBefore(upstream.Name) {
			s.earlierReaders = append(s.earlierReaders, upstream.Peer)
		}
		if upstream.State != model.Live {
			s.notLive = append(s.notLive, upstream.Name)
		}
	}
	s.listedMembers = tree.Members(peers)
	_, listed := s.listed[s.self.Name]
	s.Lease.Alone = !listed
}

// leaving returns the upstreams that take no new work. Only those with a notice, a mark or a listed state
// other than live can be among them, so no others are checked.
func (s *State) leaving() mapset.Set[model.UpstreamName] {
	leaving := mapset.NewThreadUnsafeSet(s.notLive...)
	for name := range s.Leaves.Notices {
		if s.isLeaving(name) {
			leaving.Add(name)
		}
	}
	for name := range s.Config.Marks.Entries {
		if s.isLeaving(name) {
			leaving.Add(name)
		}
	}
	if s.Stopping {
		leaving.Add(s.self.Name)
	}
	return leaving
}

// isLeaving reports whether a listed upstream, or the one beside this daemon, takes no new work.
func (s *State) isLeaving(name model.UpstreamName) bool {
	upstream, known := s.listed[name]
	if !known && name != s.self.Name {
		return false
	}
	mark := s.Config.Marks.Entries[name]
	return leave.IsLeaving(leave.Evidence{
		Listed: upstream,
		Mark:   mark.Value,
		MarkAt: mark.Revision,
		Notice: s.Leaves.Notices[name],
	})
}
