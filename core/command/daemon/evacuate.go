package daemon

import (
	"maps"
	"slices"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/command/config"
	"comfreytack/core/model"
)

// evacuate returns the evacuated failure domains and, by service, the upstreams outside of them; nil for both when no
// domain is evacuated.
func evacuate(
	evacuations *config.Table[model.FailureDomain, model.Evacuation], services map[model.ServiceName]model.Service,
) (mapset.Set[model.FailureDomain], map[model.ServiceName][]model.Upstream) {
	if len(evacuations.Entries) == 0 {
		return nil, nil
	}
	evacuated := mapset.NewThreadUnsafeSet(slices.Collect(maps.Keys(evacuations.Entries))...)
	open := make(map[model.ServiceName][]model.Upstream, len(services))
	for name, service := range services {
		open[name] = slices.DeleteFunc(slices.Clone(service.Upstreams), func(upstream model.Upstream) bool {
			return evacuated.Contains(upstream.FailureDomain)
		})
	}
	return evacuated, open
}
