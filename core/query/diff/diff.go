// Package diff lists the changes between two snapshots of the control state, for the log.
package diff

//go:generate go tool stringer -type=Kind -linecomment -output=enums_string.go

import (
	"cmp"
	"iter"
	"slices"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/model"
)

// Kind is the kind of a change.
type Kind int

// The kinds of changes.
const (
	// DocumentInForce means that another version of the document came into force.
	DocumentInForce Kind = iota // document_in_force
	// Ready means that the daemon accepts calls from now on.
	Ready // ready
	// Suspect means that the daemon resumed after a pause and may hold outdated state.
	Suspect // suspect
	// Trusted means that the daemon trusts its state again after a pause.
	Trusted // trusted
	// Stopping means that the daemon is shutting down.
	Stopping // stopping
	// The remaining kinds are about one upstream: it is newly listed, it takes no new work, it is no longer
	// listed.
	UpstreamJoined  // upstream_joined
	UpstreamLeaving // upstream_leaving
	UpstreamGone    // upstream_gone
	// DomainEvacuated means that the upstreams of a failure domain take no new work, and DomainRestored that they do again.
	DomainEvacuated // domain_evacuated
	DomainRestored  // domain_restored
)

// Change is one thing that changed.
type Change struct {
	Kind Kind
	// Upstream is the subject of the kinds that are about one upstream; empty for the others.
	Upstream model.Upstream
	// FailureDomain is the subject of DomainEvacuated and DomainRestored; empty for the other kinds.
	FailureDomain model.FailureDomain
}

// Between returns the changes from before to after; those of upstreams are sorted by name.
func Between(before, after *model.Snapshot) []Change {
	var changes []Change
	for _, flag := range []struct {
		kind Kind
		set  bool
	}{
		{DocumentInForce, before.Document != after.Document},
		{Ready, !before.Ready && after.Ready},
		{Suspect, !before.Suspect && after.Suspect},
		{Trusted, before.Suspect && !after.Suspect},
		{Stopping, !before.Stopping && after.Stopping},
	} {
		if flag.set {
			changes = append(changes, Change{Kind: flag.kind})
		}
	}
	changes = append(changes, domainChanges(before, after)...)
	if sameUpstreams(before, after) {
		return changes
	}
	return append(changes, upstreamChanges(before, after)...)
}

// domainChanges returns which failure domains were evacuated or restored, sorted by name.
func domainChanges(before, after *model.Snapshot) []Change {
	if before.Evacuated == nil && after.Evacuated == nil {
		return nil
	}
	var changes []Change
	for domain := range domainsOf(after) {
		if !before.IsEvacuated(domain) {
			changes = append(changes, Change{Kind: DomainEvacuated, FailureDomain: domain})
		}
	}
	for domain := range domainsOf(before) {
		if !after.IsEvacuated(domain) {
			changes = append(changes, Change{Kind: DomainRestored, FailureDomain: domain})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return changes
}

func domainsOf(snapshot *model.Snapshot) iter.Seq[model.FailureDomain] {
	if snapshot.Evacuated == nil {
		return func(func(model.FailureDomain) bool) {}
	}
	return mapset.Elements(snapshot.Evacuated)
}

// sameUpstreams reports whether both snapshots list the same upstreams. It compares revisions first: every change
// of the list has a new revision, except for expired entries, which change the number of upstreams.
func sameUpstreams(before, after *model.Snapshot) bool {
	if before.Revision != after.Revision || before.Leaving.Cardinality() != after.Leaving.Cardinality() {
		return false
	}
	return countUpstreams(before) == countUpstreams(after)
}

func countUpstreams(snapshot *model.Snapshot) int {
	total := 0
	for _, service := range snapshot.Services {
		total += len(service.Upstreams)
	}
	return total
}

// incarnationKey identifies one incarnation of an upstream.
type incarnationKey struct {
	name        model.UpstreamName
	incarnation model.Incarnation
}

func upstreamChanges(before, after *model.Snapshot) []Change {
	previous, current := upstreamsByIncarnation(before), upstreamsByIncarnation(after)
	var changes []Change
	for key, upstream := range current {
		if _, known := previous[key]; !known {
			changes = append(changes, Change{Kind: UpstreamJoined, Upstream: upstream})
		}
		if after.Leaving.Contains(key.name) && !before.Leaving.Contains(key.name) {
			changes = append(changes, Change{Kind: UpstreamLeaving, Upstream: upstream})
		}
	}
	for key, upstream := range previous {
		if _, listed := current[key]; !listed {
			changes = append(changes, Change{Kind: UpstreamGone, Upstream: upstream})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Upstream.Name, b.Upstream.Name), cmp.Compare(a.Upstream.Incarnation, b.Upstream.Incarnation), cmp.Compare(a.Kind, b.Kind))
	})
	return changes
}

func upstreamsByIncarnation(snapshot *model.Snapshot) map[incarnationKey]model.Upstream {
	all := map[incarnationKey]model.Upstream{}
	for _, service := range snapshot.Services {
		for _, upstream := range service.Upstreams {
			all[incarnationKey{upstream.Name, upstream.Incarnation}] = upstream
		}
	}
	return all
}
