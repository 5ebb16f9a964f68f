package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"comfreytack/core/command/config"
	"comfreytack/core/model"
)

const (
	// expiredGrace is how long an upstream whose entry vanished during an outage of the platform is still called
	// after the outage: one that still runs is listed again by then.
	expiredGrace = 2 * time.Second
	// rewriteGrace is how long an evacuation stays in force that the platform has lost: its operator writes it again.
	rewriteGrace = 10 * time.Second
)

// Expired has the upstreams whose entries vanished during an outage of the platform, and the evacuations that it lost when it
// came back from an older copy of itself.
type Expired struct {
	// Kept has the vanished upstreams, which are still called until Until.
	Kept map[model.InstanceID]model.Upstream
	// Until is the end of the grace period after the last outage; zero before the first.
	Until time.Time
	// Evacuations has the lost evacuations, which are still in force until EvacuatedUntil, with the revision at which each was
	// found to be lost.
	Evacuations    map[model.FailureDomain]model.Revision
	EvacuatedUntil time.Time
}

// startGrace starts the grace period when the platform answers again.
func (e *Expired) startGrace(now time.Time) {
	e.Until = now.Add(expiredGrace)
}

// enterEra starts the grace periods when the platform has come back from an older copy of itself, and keeps the evacuations
// that it lacks.
func (e *Expired) enterEra(now time.Time, before []model.FailureDomain, after *config.Store) {
	e.startGrace(now)
	e.EvacuatedUntil = now.Add(rewriteGrace)
	for _, domain := range before {
		if _, evacuated := after.Evacuations.Entries[domain]; !evacuated {
			e.Evacuations[domain] = after.Complete
		}
	}
}

// evacuated returns the evacuated failure domains, the lost evacuations included unless they were taken back since.
func (e *Expired) evacuated(listed *config.Table[model.FailureDomain, model.Evacuation]) []model.FailureDomain {
	domains := slices.Collect(maps.Keys(listed.Entries))
	for domain, lostAt := range e.Evacuations {
		if _, again := listed.Entries[domain]; !again && listed.Deleted[domain].Revision <= lostAt {
			domains = append(domains, domain)
		}
	}
	return domains
}

// keepVanished keeps the upstreams that are in before and not in after, if that happens in the grace period.
// Upstreams that had announced that they leave are not kept.
func (e *Expired) keepVanished(now time.Time, before, after map[model.InstanceID]model.Upstream) {
	if !now.Before(e.Until) {
		return
	}
	for id, upstream := range before {
		if _, listed := after[id]; !listed && upstream.State == model.Live {
			e.Kept[id] = upstream
		}
	}
}

// endGrace drops what is kept once its grace period is over, and reports whether there was anything.
func (e *Expired) endGrace(now time.Time) bool {
	ended := false
	if len(e.Kept) > 0 && !now.Before(e.Until) {
		clear(e.Kept)
		ended = true
	}
	if len(e.Evacuations) > 0 && !now.Before(e.EvacuatedUntil) {
		clear(e.Evacuations)
		ended = true
	}
	return ended
}

// addTo returns the listed upstreams together with those that are kept; a listed one replaces a kept one.
func (e *Expired) addTo(listed map[model.InstanceID]model.Upstream) map[model.InstanceID]model.Upstream {
	if len(e.Kept) == 0 {
		return listed
	}
	all := maps.Clone(e.Kept)
	maps.Copy(all, listed)
	return all
}

// withInstances adds two things to the services that are published with their upstreams: the services of the
// document, and the upstreams that are published one by one. Of several instances of one name the newest counts. An
// instance of a service that nobody has named counts for nothing: another writer may have left it.
func withInstances(
	services map[model.ServiceName]model.Service, document model.Document, instances map[model.InstanceID]model.Upstream,
) map[model.ServiceName]model.Service {
	for _, named := range document.Services {
		service := services[named.Name]
		service.Name = named.Name
		service.Connections = named.Connections
		service.HealthPath = named.HealthPath
		service.WarmupPerS = named.WarmupPerS
		service.WarmupMs = named.WarmupMs
		services[named.Name] = service
	}
	known := func(upstream model.Upstream) bool {
		_, named := services[upstream.Service]
		return named
	}
	for _, upstream := range newestInstances(instances, known) {
		service := services[upstream.Service]
		service.Slots = max(service.Slots, upstream.Slots)
		service.Upstreams = append(slices.Clip(service.Upstreams), upstream)
		services[upstream.Service] = service
	}
	return services
}

// newestInstances returns the newest instance of each upstream name among those that count, ordered by name.
func newestInstances(instances map[model.InstanceID]model.Upstream, counts func(model.Upstream) bool) []model.Upstream {
	latest := map[model.UpstreamName]model.Upstream{}
	for _, upstream := range instances {
		if !counts(upstream) {
			continue
		}
		known, found := latest[upstream.Name]
		if !found || newerInstance(upstream, known) {
			latest[upstream.Name] = upstream
		}
	}
	newest := slices.Collect(maps.Values(latest))
	slices.SortFunc(newest, func(a, b model.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return newest
}

func newerInstance(a, b model.Upstream) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Instance > b.Instance
}
