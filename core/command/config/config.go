// Package config keeps the published values in force at one daemon.
//
// Changes arrive in deltas: contiguous ranges of the published order (model.Delta). A delta is applied only if it
// starts at or below the revision that the store is complete up to, so completeness is one number that only rises:
//
//	complete 10, delta 8..14  ->  complete 14, changes 11 to 14 applied
//	complete 10, delta 12..14 ->  Gap: request the delta after 10
//	complete 10, delta 3..9   ->  Old: nothing happens
//	complete 10, an exact delta 8..14 (model.Delta)  ->  Gap
//
// When the platform comes back from an older copy of itself, a new era of revisions begins (model.Revision), and what it has
// lost is not in force any more, but for what era.go keeps.
package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/model"
	"comfreytack/core/query/check"
	"comfreytack/core/strict"
)

//go:generate go tool stringer -type=Outcome -linecomment -output=enums_string.go

// Outcome is the result of applying a delta or merging a full copy.
type Outcome int

// The outcomes.
const (
	// Old means that there was nothing new.
	Old Outcome = iota // old
	// Gap means that changes between the store and the delta are missing.
	Gap // gap
	// Applied means that the revision in force has risen.
	Applied // applied
	// NotCovered means that the copy lacks services that this daemon calls.
	NotCovered // not_covered
	// Healed means that the copy changed values at the same revision.
	Healed // healed
)

const (
	maxRecentBytes   = 2 << 20
	maxRecentChanges = 4096
	maxRefusals      = 256
	maxUnlistedMarks = 1024
)

// Store is the configuration in force at one daemon.
type Store struct {
	// Complete is the revision in force: every change up to it has been applied or refused. It never falls.
	Complete model.Revision
	// Wanted names the services whose values are kept; empty keeps all.
	Wanted mapset.Set[model.ServiceName]
	// Contracts, Services and Marks are the values in force.
	Contracts *Table[model.Customer, model.Contract]
	Services  *Table[model.ServiceName, model.Service]
	Marks     *Table[model.UpstreamName, model.Mark]
	// Instances has the upstreams that are published one by one, and Documents the document, if there is one.
	Instances *Table[model.InstanceID, model.Upstream]
	Documents *Table[string, model.Document]
	// Evacuations has the failure domains that are evacuated.
	Evacuations *Table[model.FailureDomain, model.Evacuation]
	// Late has the newest entry of an instance that is older than the one in force, and not in force for that reason.
	Late map[model.InstanceID]Entry[model.Upstream]
	// Departed has the last entry of instances that were deleted, with the revision of the deletion; at most maxTombstones.
	Departed map[model.InstanceID]Entry[model.Upstream]
	// Refusals says by key why the newest value is not in force; at most maxRefusals.
	Refusals map[string]model.Refusal
	// Recent has the newest changes, including those of services that are not kept.
	Recent Recent
}

// New returns an empty store that keeps the given services, or all services if wanted is empty.
func New(wanted mapset.Set[model.ServiceName]) *Store {
	return &Store{
		Wanted:    wanted,
		Contracts: NewTable[model.Customer, model.Contract](),
		Services:  NewTable[model.ServiceName, model.Service](),
		Marks:     NewTable[model.UpstreamName, model.Mark](),
		Instances: NewTable[model.InstanceID, model.Upstream](),
		Documents: NewTable[string, model.Document](),
		Late:      map[model.InstanceID]Entry[model.Upstream]{},
		Departed:  map[model.InstanceID]Entry[model.Upstream]{},
		Refusals:  map[string]model.Refusal{},

		Evacuations: NewTable[model.FailureDomain, model.Evacuation](),
		Recent:      Recent{MaxBytes: maxRecentBytes, MaxChanges: maxRecentChanges},
	}
}

// Apply applies a delta. Changes at or below the revision in force are skipped.
func (s *Store) Apply(delta model.Delta) Outcome {
	if delta.Revision <= s.Complete {
		return Old
	}
	if delta.After > s.Complete || delta.Exact && delta.After != s.Complete {
		return Gap
	}
	before := s.Complete
	changes := slices.Clone(delta.Changes)
	sortChanges(changes)
	for _, change := range changes {
		if change.Revision <= s.Complete || change.Revision > delta.Revision {
			continue
		}
		s.set(change)
		s.Recent.Add(change)
	}
	s.Complete = delta.Revision
	if delta.Exact {
		s.Recent.pass(before, s.Complete)
	}
	if before.IsBeforeEraOf(s.Complete) {
		s.enterEra()
	}
	s.dropUnlistedMarks()
	return Applied
}

// hash changes with every value in force.
func (s *Store) hash() uint64 {
	return s.Contracts.Hash ^ s.Services.Hash ^ s.Marks.Hash ^ s.Instances.Hash ^ s.Documents.Hash ^ s.Evacuations.Hash
}

// Since returns the changes after a revision, or false if they are no longer known and a full copy is needed.
func (s *Store) Since(after model.Revision, maxBytes int) (model.Delta, bool) {
	return s.Recent.Since(after, s.Complete, maxBytes)
}

// Scope is a hash of the names of the kept services. Hashes of values are comparable between stores of equal scope.
func (s *Store) Scope() uint64 {
	scope := uint64(0)
	for name := range s.Wanted.Iter() {
		scope ^= hash(string(name), 0)
	}
	return scope
}

// set applies a change, or refuses it.
func (s *Store) set(change model.Change) {
	switch {
	case strings.HasPrefix(change.Key, check.ContractPrefix):
		name := model.Customer(strings.TrimPrefix(change.Key, check.ContractPrefix))
		s.updateRefusal(change, setEntry(s.Contracts, name, change, check.Contract))
	case strings.HasPrefix(change.Key, check.ServicePrefix):
		name := model.ServiceName(strings.TrimPrefix(change.Key, check.ServicePrefix))
		if s.keeps(name) {
			s.updateRefusal(change, setEntry(s.Services, name, change, check.Service))
		}
	case strings.HasPrefix(change.Key, check.MarkPrefix):
		name := model.UpstreamName(strings.TrimPrefix(change.Key, check.MarkPrefix))
		s.updateRefusal(change, setEntry(s.Marks, name, change, check.Mark))
	case strings.HasPrefix(change.Key, check.InstancePrefix):
		s.setInstance(change)
	case strings.HasPrefix(change.Key, check.EvacuationPrefix):
		domain := model.FailureDomain(strings.TrimPrefix(change.Key, check.EvacuationPrefix))
		s.updateRefusal(change, setEntry(s.Evacuations, domain, change, check.Evacuation))
	case change.Key == check.DocumentKey:
		s.setDocument(change)
	default:
		s.updateRefusal(change, check.UnknownKey(change.Key))
	}
}

// setDocument sets the document, unless its version is below the one in force.
func (s *Store) setDocument(change model.Change) {
	inForce := s.Documents.Entries[change.Key].Value.Version
	s.updateRefusal(change, setEntry(s.Documents, change.Key, change, func(key string, raw []byte) (model.Document, *strict.Fault) {
		document, fault := check.Document(key, raw)
		if fault == nil && document.Version < inForce {
			fault = strict.FaultAt(key, raw, "version", fmt.Sprint(document.Version), fmt.Sprintf("at least %d, the one in force", inForce))
		}
		return document, fault
	}))
}

// setEntry applies a change to a table. It returns a fault if the value is not valid. The value in force then stands, but it
// is not newer than what it stands for.
func setEntry[K comparable, T any](table *Table[K, T], name K, change model.Change, decode func(K, []byte) (T, *strict.Fault)) *strict.Fault {
	if change.Deleted {
		table.Delete(name, Tombstone{Key: change.Key, Revision: change.Revision})
		return nil
	}
	value, fault := decode(name, change.Value)
	if fault != nil {
		table.restamp(name, change.Revision)
		return fault
	}
	table.Put(name, Entry[T]{Key: change.Key, Revision: change.Revision, Raw: change.Value, Value: value})
	return nil
}

// updateRefusal records a refusal if there is a fault. Otherwise it deletes an older refusal of the same key.
func (s *Store) updateRefusal(change model.Change, fault *strict.Fault) {
	if fault != nil {
		s.refuse(model.Refusal{Key: change.Key, Revision: change.Revision, Line: fault.Line, Field: fault.Field, Found: fault.Found, Allowed: fault.Allowed})
		return
	}
	if old, refused := s.Refusals[change.Key]; refused && old.Revision <= change.Revision {
		delete(s.Refusals, change.Key)
	}
}

func (s *Store) refuse(refusal model.Refusal) {
	old, refused := s.Refusals[refusal.Key]
	if refused && old.Revision >= refusal.Revision {
		return
	}
	if !refused && len(s.Refusals) >= maxRefusals {
		s.forgetOldestRefusal()
	}
	s.Refusals[refusal.Key] = refusal
}

func (s *Store) forgetOldestRefusal() {
	oldest := ""
	for key, refusal := range s.Refusals {
		if oldest == "" || refusal.Revision < s.Refusals[oldest].Revision {
			oldest = key
		}
	}
	delete(s.Refusals, oldest)
}

// dropUnlistedMarks deletes the oldest marks of upstreams that no kept service lists, so that at most
// maxUnlistedMarks remain. Some are kept because a mark may be published before its upstream.
func (s *Store) dropUnlistedMarks() {
	if len(s.Marks.Entries) <= maxUnlistedMarks {
		return
	}
	listed := map[model.UpstreamName]bool{}
	for _, entry := range s.Services.Entries {
		for _, upstream := range entry.Value.Upstreams {
			listed[upstream.Name] = true
		}
	}
	var unlisted []model.UpstreamName
	for name := range s.Marks.Entries {
		if !listed[name] {
			unlisted = append(unlisted, name)
		}
	}
	slices.SortFunc(unlisted, func(a, b model.UpstreamName) int {
		return cmp.Compare(s.Marks.Entries[b].Revision, s.Marks.Entries[a].Revision)
	})
	for _, name := range unlisted[min(len(unlisted), maxUnlistedMarks):] {
		s.Marks.remove(name)
	}
}

func (s *Store) keeps(name model.ServiceName) bool {
	return s.Wanted.Cardinality() == 0 || s.Wanted.Contains(name)
}

func sortChanges(changes []model.Change) {
	slices.SortStableFunc(changes, func(a, b model.Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
}
