// Package status describes a daemon to its operators.
package status

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"comfreytack/core/model"
)

// View is what /status shows.
type View struct {
	// Version is the program's version.
	Version string `json:"version"`
	// Self is the upstream beside the daemon.
	Self model.Upstream `json:"self"`
	// Ready is whether the daemon accepts calls, and Why is the reason.
	Ready bool   `json:"ready"`
	Why   string `json:"why"`
	// Revision is the revision of the newest configuration in force.
	Revision model.Revision `json:"revision"`
	// Contracts counts the contracts in force.
	Contracts int `json:"contracts"`
	// Gate is the load of the daemon's gate.
	Gate model.GateReport `json:"gate"`
	// Services lists the services that the daemon knows, sorted by name.
	Services []ServiceView `json:"services"`
	// Leaving lists the upstreams that take no new work, sorted by name.
	Leaving []model.UpstreamName `json:"leaving"`
	// Evacuated lists the failure domains whose upstreams take no new work, sorted by name.
	Evacuated []model.FailureDomain `json:"evacuated,omitempty"`
	// Refusals lists the published values that are not in force, sorted by key.
	Refusals []model.Refusal `json:"refusals"`
	// Quarantined counts the quarantined fingerprints.
	Quarantined int `json:"quarantined"`
}

// ServiceView is one service in a View.
type ServiceView struct {
	// Name is the service's name.
	Name model.ServiceName `json:"name"`
	// Upstreams counts its instances; Live those that are listed as live and are not leaving.
	Upstreams int `json:"upstreams"`
	Live      int `json:"live"`
}

// Of returns the view of a snapshot.
func Of(snapshot *model.Snapshot, gate model.GateReport, version string) View {
	ready, why := Ready(snapshot)
	view := View{
		Version:     version,
		Self:        snapshot.Self,
		Ready:       ready,
		Why:         why,
		Revision:    snapshot.Revision,
		Contracts:   len(snapshot.Contracts),
		Gate:        gate,
		Services:    []ServiceView{},
		Leaving:     snapshot.Leaving.ToSlice(),
		Refusals:    slices.AppendSeq([]model.Refusal{}, maps.Values(snapshot.Refusals)),
		Quarantined: len(snapshot.Quarantine),
	}
	for _, service := range snapshot.Services {
		view.Services = append(view.Services, serviceView(snapshot, service))
	}
	slices.SortFunc(view.Services, func(a, b ServiceView) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(view.Leaving)
	if snapshot.Evacuated != nil {
		view.Evacuated = snapshot.Evacuated.ToSlice()
		slices.Sort(view.Evacuated)
	}
	slices.SortFunc(view.Refusals, func(a, b model.Refusal) int { return cmp.Compare(a.Key, b.Key) })
	return view
}

// State describes in one line what the daemon and its upstream take: why the daemon is ready or not, whether its failure
// domain is evacuated, how much longer its upstream is cold, and which other domains are evacuated.
func (v *View) State() string {
	parts := []string{v.Why}
	for _, domain := range v.Evacuated {
		if domain == v.Self.FailureDomain {
			parts = append(parts, "evacuated")
		} else {
			parts = append(parts, "evacuated: "+string(domain))
		}
	}
	if v.Gate.ColdMs > 0 {
		parts = append(parts, fmt.Sprintf("cold for %d ms, room for %d", v.Gate.ColdMs, v.Gate.ColdRoom))
	}
	return strings.Join(parts, "; ")
}

// Ready reports whether the daemon accepts calls, and why or why not.
func Ready(snapshot *model.Snapshot) (bool, string) {
	switch {
	case snapshot.Stopping:
		return false, "stopping"
	case !snapshot.Ready:
		return false, "no configuration learnt yet"
	case snapshot.Suspect:
		return false, "woke from a pause; re-reading marks"
	}
	return true, "ready"
}

func serviceView(snapshot *model.Snapshot, service model.Service) ServiceView {
	view := ServiceView{Name: service.Name, Upstreams: len(service.Upstreams)}
	for _, upstream := range service.Upstreams {
		if upstream.State == model.Live && !snapshot.Leaving.Contains(upstream.Name) {
			view.Live++
		}
	}
	return view
}
