package daemon

import (
	"maps"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/command/leave"
	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

// rebuild makes the parts of the snapshot that follow from configuration and notices. Published ones
// are never changed: every map and set is made anew.
func (s *State) rebuild() {
	contracts := make(map[model.Customer]model.Contract, len(s.Config.Contracts.Entries))
	for customer, entry := range s.Config.Contracts.Entries {
		contracts[customer] = entry.Value
	}
	services := make(map[model.ServiceName]model.Service, len(s.Config.Services.Entries))
	listed := map[model.UpstreamName]model.Upstream{}
	leaving := mapset.NewThreadUnsafeSet[model.UpstreamName]()
	for name, entry := range s.Config.Services.Entries {
		services[name] = entry.Value
		for _, upstream := range entry.Value.Upstreams {
			listed[upstream.Name] = upstream
			if s.leaves(upstream) {
				leaving.Add(upstream.Name)
			}
		}
	}
	s.Leaves.Prune(listed)
	if s.Stopping || s.leavesUnlisted(listed) {
		leaving.Add(s.self.Name)
	}
	s.view = model.Snapshot{
		Self:       s.Settings.Self,
		Contracts:  contracts,
		Limits:     limits.Of(contracts, services[s.self.Service].Slots),
		Services:   services,
		Leaving:    leaving,
		Quarantine: s.view.Quarantine,
		Refusals:   maps.Clone(s.Config.Refusals),
	}
}

// leaves tells whether an upstream of the instance list takes no new work.
func (s *State) leaves(upstream model.Upstream) bool {
	mark := s.Config.Marks.Entries[upstream.Name]
	return leave.Holds(leave.Evidence{
		Listed: upstream,
		Mark:   mark.Value,
		MarkAt: mark.Revision,
		Notice: s.Leaves.Notices[upstream.Name],
	})
}

// leavesUnlisted tells whether the own upstream leaves although the instance list does not have it.
func (s *State) leavesUnlisted(listed map[model.UpstreamName]model.Upstream) bool {
	if _, known := listed[s.self.Name]; known {
		return false
	}
	return s.leaves(model.Upstream{Name: s.self.Name})
}
