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
)

// built says what the maps of the snapshot were made from.
type built struct {
	contracts, services uint64
	slots               int
	document            uint64
}

// rebuild makes the parts of the snapshot that follow from configuration and notices. Published ones
// are never changed: what differs is made anew, and what does not is shared with the last snapshot.
func (s *State) rebuild() {
	view := s.view
	view.Self = s.Settings.Self
	view.Refusals = maps.Clone(s.Config.Refusals)
	document := s.document()
	instances := s.Lapses.add(values(s.Config.Instances))
	now := built{
		contracts: s.Config.Contracts.Hash ^ s.Config.Documents.Hash,
		services:  s.Config.Services.Hash ^ s.Config.Instances.Hash ^ s.Config.Documents.Hash ^ uint64(len(s.Lapses.Kept)),
		document:  s.Config.Documents.Hash,
	}
	if view.Contracts == nil || now.contracts != s.built.contracts {
		view.Contracts = values(s.Config.Contracts)
		maps.Copy(view.Contracts, limits.RankContracts(document.Routes))
	}
	if view.Routes == nil || now.document != s.built.document {
		view.Routes = match.Table(document.Routes)
		view.Document = document.Version
		view.Intake = document.Intake
	}
	if view.Services == nil || now.services != s.built.services {
		view.Services = withInstances(values(s.Config.Services), document, instances)
		s.instancesChanged(view.Services)
	}
	view.Self = s.selfAsListed()
	view.Slots = s.slots(view.Services)
	now.slots = view.Slots
	if view.Limits == nil || now.contracts != s.built.contracts || now.slots != s.built.slots {
		view.Limits = limits.Of(view.Contracts, now.slots)
	}
	s.Leaves.Prune(s.listed)
	view.Leaving = s.leaving()
	s.built = now
	s.view = view
}

// document returns the document in force; its zero value when there is none.
func (s *State) document() model.Document {
	return s.Config.Documents.Entries[check.DocumentKey].Value
}

// selfAsListed returns the upstream beside this daemon with what its entry says of it alone. Its life is
// then that of the upstream, which may have started before or after the daemon.
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
	return self
}

// slots returns how many slots the upstream beside this daemon has; zero when it is not known.
func (s *State) slots(services map[model.ServiceName]model.Service) int {
	if own := s.listed[s.self.Name].Slots; own > 0 {
		return own
	}
	return services[s.self.Service].Slots
}

// values returns the values in force of one kind.
func values[K comparable, T any](table *config.Table[K, T]) map[K]T {
	result := make(map[K]T, len(table.Entries))
	for name, entry := range table.Entries {
		result[name] = entry.Value
	}
	return result
}

// instancesChanged takes note of new instance lists.
func (s *State) instancesChanged(services map[model.ServiceName]model.Service) {
	upstreams := upstreamsOf(services)
	s.Members.Published(upstreams)
	if s.Config.Wanted.Cardinality() == 0 {
		s.Reader.Fleet = len(upstreams)
	}
	s.listed = make(map[model.UpstreamName]model.Upstream, len(upstreams))
	s.notLive = nil
	s.others = nil
	for _, upstream := range upstreams {
		s.listed[upstream.Name] = upstream
		if upstream.Name != s.self.Name {
			s.others = append(s.others, member.PeerOf(upstream))
		}
		if upstream.State != model.Live {
			s.notLive = append(s.notLive, upstream.Name)
		}
	}
}

// leaving returns the upstreams that take no new work. Only those that something speaks against are
// looked at.
func (s *State) leaving() mapset.Set[model.UpstreamName] {
	leaving := mapset.NewThreadUnsafeSet(s.notLive...)
	for name := range s.Leaves.Notices {
		if s.leaves(name) {
			leaving.Add(name)
		}
	}
	for name := range s.Config.Marks.Entries {
		if s.leaves(name) {
			leaving.Add(name)
		}
	}
	if s.Stopping {
		leaving.Add(s.self.Name)
	}
	return leaving
}

// leaves tells whether a listed upstream, or the own one, takes no new work.
func (s *State) leaves(name model.UpstreamName) bool {
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
