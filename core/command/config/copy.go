package config

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/model"
	"comfreytack/core/query/check"
)

// Copy is a full copy of a configuration, as one daemon sends it to another.
type Copy struct {
	// Revision is what the copy is complete up to.
	Revision model.Revision `json:"revision"`
	// Wanted names the services that the copy covers; empty covers all.
	Wanted []model.ServiceName `json:"wanted,omitempty"`
	// Changes has each value in force and each remembered deletion, in rising order of revision.
	Changes []model.Change `json:"changes,omitempty"`
	// Refusals has each newer value that is not in force.
	Refusals []model.Refusal `json:"refusals,omitempty"`
}

// Merge replaces the configuration with a newer full copy from another daemon or from the platform. Entries that the copy
// names neither as a value nor as a refusal are removed.
func (s *Store) Merge(source Copy) Outcome {
	if source.Revision < s.Complete {
		return Old
	}
	if !covers(source.Wanted, s.Wanted) {
		return NotCovered
	}
	if source.Revision == s.Complete {
		return s.heal(source)
	}
	keys := make(map[string]bool, len(source.Changes)+len(source.Refusals))
	for _, change := range source.Changes {
		if !change.Deleted {
			keys[change.Key] = true
		}
	}
	for _, refusal := range source.Refusals {
		keys[refusal.Key] = true
	}
	if source.Revision.Era() > 0 {
		// The platform may have lost the document; whoever publishes it writes it again.
		keys[check.DocumentKey] = true
	}
	before := s.Complete
	s.recordCopy(source, keys)
	s.Contracts.retain(keys)
	s.Services.retain(keys)
	s.Marks.retain(keys)
	s.retainInstances(source, keys)
	s.Evacuations.retain(keys)
	s.Documents.retain(keys)
	clear(s.Refusals)
	s.setAll(source)
	s.Complete = source.Revision
	if before.IsBeforeEraOf(s.Complete) {
		s.enterEra()
	}
	if before >= s.Recent.Floor {
		s.Recent.pass(before, s.Complete)
	}
	s.dropUnlistedMarks()
	s.dropUnlistedLate()
	return Applied
}

// recordCopy records in Recent how a copy that names the given keys differs from what is in force, so that others still
// get small deltas after it. A copy of some services only shows nothing of the others, and the first one is no change.
func (s *Store) recordCopy(source Copy, keys map[string]bool) {
	if len(source.Wanted) > 0 || s.Complete == 0 {
		s.Recent.Reset(source.Revision)
		return
	}
	differences := s.differences(source, keys)
	sortChanges(differences)
	for _, change := range differences {
		s.Recent.Add(change)
	}
}

// heal merges a copy of the same revision, the newer of each value winning. Two stores at one revision differ only
// where one of them applied a value, and the other saw only the later value of that key, which was refused.
func (s *Store) heal(source Copy) Outcome {
	before := s.hash()
	s.setAll(source)
	s.dropUnlistedMarks()
	if before == s.hash() {
		return Old
	}
	return Healed
}

// setAll applies all changes and refusals of a copy.
func (s *Store) setAll(source Copy) {
	for _, change := range source.Changes {
		s.set(change)
	}
	for _, refusal := range source.Refusals {
		s.refuse(refusal)
	}
}

// CopyFor returns a copy with all that a store of the given services needs, or of everything if none are given.
func (s *Store) CopyFor(services []model.ServiceName) Copy {
	changes := slices.Concat(s.Contracts.changes(), s.Services.changes(), s.Marks.changes(), s.Instances.changes(), s.Documents.changes(), s.Evacuations.changes())
	if len(services) > 0 {
		wanted := mapset.NewThreadUnsafeSet(services...)
		changes = slices.DeleteFunc(changes, func(change model.Change) bool {
			name, isService := strings.CutPrefix(change.Key, check.ServicePrefix)
			return isService && !wanted.Contains(model.ServiceName(name))
		})
	}
	sortChanges(changes)
	refusals := slices.SortedFunc(maps.Values(s.Refusals), func(a, b model.Refusal) int { return cmp.Compare(a.Key, b.Key) })
	return Copy{Revision: s.Complete, Wanted: services, Changes: changes, Refusals: refusals}
}

// Covers reports whether this store has all that a store of the given services needs.
func (s *Store) Covers(services []model.ServiceName) bool {
	return covers(s.Wanted.ToSlice(), mapset.NewThreadUnsafeSet(services...))
}

// covers reports whether a store of the services source has all that a store of the services wanted needs.
func covers(source []model.ServiceName, wanted mapset.Set[model.ServiceName]) bool {
	if len(source) == 0 {
		return true
	}
	return wanted.Cardinality() > 0 && wanted.IsSubset(mapset.NewThreadUnsafeSet(source...))
}
