package daemon

import (
	"maps"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/command/config"
	"comfreytack/core/command/leave"
	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

// built says what the maps of the snapshot were made from.
type built struct {
	contracts, services uint64
	slots               int
}

// rebuild makes the parts of the snapshot that follow from configuration and notices. Published ones
// are never changed: what differs is made anew, and what does not is shared with the last snapshot.
func (s *State) rebuild() {
	view := s.view
	view.Self = s.Settings.Self
	view.Refusals = maps.Clone(s.Config.Refusals)
	now := built{contracts: s.Config.Contracts.Hash, services: s.Config.Services.Hash, slots: s.slots()}
	if view.Contracts == nil || now.contracts != s.built.contracts {
		view.Contracts = values(s.Config.Contracts)
	}
	if view.Services == nil || now.services != s.built.services {
		view.Services = values(s.Config.Services)
		s.instancesChanged()
	}
	if view.Limits == nil || now.contracts != s.built.contracts || now.slots != s.built.slots {
		view.Limits = limits.Of(view.Contracts, now.slots)
	}
	s.Leaves.Prune(s.listed)
	view.Leaving = s.leaving()
	s.built = now
	s.view = view
}

// slots returns how many slots the own service gives each gate; zero when it is not known.
func (s *State) slots() int {
	return s.Config.Services.Entries[s.self.Service].Value.Slots
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
func (s *State) instancesChanged() {
	upstreams := s.upstreams()
	s.Members.Published(upstreams)
	if s.Config.Wanted.Cardinality() == 0 {
		s.Reader.Fleet = len(upstreams)
	}
	s.listed = make(map[model.UpstreamName]model.Upstream, len(upstreams))
	s.notLive = nil
	for _, upstream := range upstreams {
		s.listed[upstream.Name] = upstream
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
	return leave.Holds(leave.Evidence{
		Listed: upstream,
		Mark:   mark.Value,
		MarkAt: mark.Revision,
		Notice: s.Leaves.Notices[name],
	})
}
