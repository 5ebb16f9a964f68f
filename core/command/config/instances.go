package config

import (
	"maps"
	"slices"
	"strings"

	"comfreytack/core/model"
	"comfreytack/core/query/check"
	"comfreytack/core/strict"
)

// setInstance sets the entry of one instance, unless it arrives late: a delayed publisher may write an entry after a
// later incarnation, or the same one with a higher sequence number, has published its own. In a later era it may also be the
// entry of an instance that has left since.
func (s *Store) setInstance(change model.Change) {
	id := model.InstanceID(strings.TrimPrefix(change.Key, check.InstancePrefix))
	if change.Deleted {
		delete(s.Late, id)
		s.noteDeparted(id, s.Instances.Entries[id], change)
	}
	fault := setEntry(s.Instances, id, change, func(id model.InstanceID, raw []byte) (model.Upstream, *strict.Fault) {
		upstream, fault := check.Instance(id, raw)
		entry := Entry[model.Upstream]{Revision: change.Revision, Value: upstream}
		switch {
		case fault != nil:
		case s.hasDeparted(id, entry):
			fault = &strict.Fault{File: change.Key, Line: 1, Found: "an entry of before its deletion", Allowed: "a newer entry"}
		case s.arrivesLate(id, entry):
			fault = &strict.Fault{File: change.Key, Line: 1, Found: "an entry older than the one in force", Allowed: "a newer entry"}
		}
		return upstream, fault
	})
	s.updateRefusal(change, fault)
}

// arrivesLate reports whether an entry is older than the one in force and comes alone. Two such entries in a row, the
// second with a higher sequence number, are no delayed ones: their publisher is at work. It may have started again after
// its clock was set back, or another writer had put a higher number in its place.
//
//	in force: born 20, sequence 7  ->  born 10, sequence 8: late
//	                               ->  born 10, sequence 9: in force
func (s *Store) arrivesLate(id model.InstanceID, entry Entry[model.Upstream]) bool {
	inForce, listed := s.Instances.Entries[id]
	if !s.isNamed(entry.Value.Service) {
		return false
	}
	if !listed || !s.isNamed(inForce.Value.Service) || !olderEntry(entry.Value, inForce.Value) {
		delete(s.Late, id)
		return false
	}
	earlier, seen := s.Late[id]
	if seen && entry.Revision <= earlier.Revision {
		return true
	}
	s.Late[id] = entry
	return !seen || entry.Value.Incarnation != earlier.Value.Incarnation || entry.Value.Sequence <= earlier.Value.Sequence
}

// olderEntry reports whether a is older than b: of an earlier incarnation, or of the same one with a lower sequence
// number.
func olderEntry(a, b model.Upstream) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence < b.Sequence
}

// isNamed reports whether anybody has named a service. An entry of another service is not of its instance, and the
// numbers in it say nothing about the entries that follow.
func (s *Store) isNamed(service model.ServiceName) bool {
	if _, published := s.Services.Entries[service]; published {
		return true
	}
	named := s.Documents.Entries[check.DocumentKey].Value.Services
	return slices.ContainsFunc(named, func(d model.DocumentService) bool { return d.Name == service })
}

// dropUnlistedLate forgets late entries of instances that are not listed.
func (s *Store) dropUnlistedLate() {
	maps.DeleteFunc(s.Late, func(id model.InstanceID, _ Entry[model.Upstream]) bool {
		_, listed := s.Instances.Entries[id]
		return !listed
	})
}
