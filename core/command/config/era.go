package config

import (
	"bytes"

	"comfreytack/core/model"
)

// enterEra completes the change to the era of the revision in force: what is in force from the era before was published
// before the copy from which the new one began, or is kept although that copy lacks it.
func (s *Store) enterEra() {
	s.Contracts.enterEra(s.Complete, s.Refusals)
	s.Services.enterEra(s.Complete, s.Refusals)
	s.Marks.enterEra(s.Complete, s.Refusals)
	s.Instances.enterEra(s.Complete, s.Refusals)
	s.Documents.enterEra(s.Complete, s.Refusals)
	s.Evacuations.enterEra(s.Complete, s.Refusals)
}

// noteDeparted remembers the last entry of an instance that is deleted. A later era may begin with an older copy, in which
// the instance is still listed. A deletion of a later era than the entry's only says that the copy lacked it.
func (s *Store) noteDeparted(id model.InstanceID, last Entry[model.Upstream], deletion model.Change) {
	if last.Revision == 0 || last.Revision >= deletion.Revision || last.Revision.IsBeforeEraOf(deletion.Revision) || !s.isNamed(last.Value.Service) {
		return
	}
	s.Departed[id] = Entry[model.Upstream]{Key: deletion.Key, Revision: deletion.Revision, Value: last.Value}
	if len(s.Departed) > maxTombstones {
		s.forgetOldestDeparted()
	}
}

func (s *Store) forgetOldestDeparted() {
	var oldest model.InstanceID
	for id, entry := range s.Departed {
		if oldest == "" || entry.Revision < s.Departed[oldest].Revision {
			oldest = id
		}
	}
	delete(s.Departed, oldest)
}

// hasDeparted reports whether an entry of a later era is one that its instance had written before it was deleted. An instance
// that is alive writes newer ones. In the same era such an entry was published after the deletion, which says nothing then.
func (s *Store) hasDeparted(id model.InstanceID, entry Entry[model.Upstream]) bool {
	departed, known := s.Departed[id]
	if !known || olderEntry(departed.Value, entry.Value) {
		return false
	}
	if departed.Revision.IsBeforeEraOf(entry.Revision) {
		return true
	}
	delete(s.Departed, id)
	return false
}

// differences returns what a newer copy changes here, the deletion of what it lacks included. Where the copy begins another
// era all its changes have revisions of that era, but most of its values are those in force. Where a value was refused, other
// stores of this revision may have another one in force, so that the copy may change it there.
func (s *Store) differences(source Copy, keys map[string]bool) []model.Change {
	inForce := map[string]model.Change{}
	for _, change := range s.CopyFor(nil).Changes {
		inForce[change.Key] = change
	}
	for key := range s.Refusals {
		inForce[key] = model.Change{Key: key}
	}
	var differences []model.Change
	for _, change := range source.Changes {
		known, found := inForce[change.Key]
		same := found && known.Revision.Number() == change.Revision.Number() && known.Deleted == change.Deleted && bytes.Equal(known.Value, change.Value)
		if change.Revision > s.Complete && !same {
			differences = append(differences, change)
		}
	}
	for key, change := range inForce {
		if !keys[key] && !change.Deleted {
			differences = append(differences, model.Change{Key: key, Revision: source.Revision, Deleted: true})
		}
	}
	return differences
}

// retainInstances removes the instances that a newer copy lacks.
func (s *Store) retainInstances(source Copy, keys map[string]bool) {
	for id, entry := range s.Instances.Entries {
		if !keys[entry.Key] {
			s.noteDeparted(id, entry, model.Change{Key: entry.Key, Revision: source.Revision})
		}
	}
	s.Instances.retain(keys)
}
