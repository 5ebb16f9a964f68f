package daemon

import (
	"slices"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/model"
)

// evacuate returns the given failure domains as a set and, by service, the upstreams outside of them; nil for both when there
// are none.
func evacuate(
	domains []model.FailureDomain, services map[model.ServiceName]model.Service,
) (mapset.Set[model.FailureDomain], map[model.ServiceName][]model.Upstream) {
	if len(domains) == 0 {
		return nil, nil
	}
	evacuated := mapset.NewThreadUnsafeSet(domains...)
	open := make(map[model.ServiceName][]model.Upstream, len(services))
	for name, service := range services {
		open[name] = slices.DeleteFunc(slices.Clone(service.Upstreams), func(upstream model.Upstream) bool {
			return evacuated.Contains(upstream.FailureDomain)
		})
	}
	return evacuated, open
}
