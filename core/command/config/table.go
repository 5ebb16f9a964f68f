package config

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json/jsontext"

	"comfreytack/core/model"
)

// Entry is one value in force.
type Entry[T any] struct {
	// Key is the published key, with its prefix.
	Key string
	// Revision is the change that set the value; never zero.
	Revision model.Revision
	// Raw is the value as published, which other daemons get unchanged.
	Raw jsontext.Value
	// Value is Raw, decoded and validated.
	Value T
}

// Tombstone remembers the deletion of a value.
type Tombstone struct {
	// Key is the published key, with its prefix.
	Key string
	// Revision is the change that deleted the value; never zero.
	Revision model.Revision
}

// maxTombstones bounds the deletions that a table remembers.
const maxTombstones = 1024

// Table holds the values in force of one kind. T is their type and K the type of their names.
// For each name the change with the highest revision wins, in whatever order the changes arrive.
type Table[K comparable, T any] struct {
	// Entries has one entry for each name.
	Entries map[K]Entry[T]
	// Deleted has the newest deletions, of names that are not in Entries; at most maxTombstones.
	Deleted map[K]Tombstone
	// Hash is the XOR of the hashes of all entries' keys and revisions, so that two tables with the same
	// entries have the same hash.
	Hash uint64
}

// NewTable returns an empty table.
func NewTable[K comparable, T any]() *Table[K, T] {
	return &Table[K, T]{Entries: map[K]Entry[T]{}, Deleted: map[K]Tombstone{}}
}

// Put sets an entry, unless a change of its name with the same or a higher revision has been applied.
func (t *Table[K, T]) Put(name K, entry Entry[T]) {
	if t.revision(name) >= entry.Revision {
		return
	}
	t.remove(name)
	delete(t.Deleted, name)
	t.Hash ^= hash(entry.Key, entry.Revision)
	t.Entries[name] = entry
}

// Delete removes an entry, unless a change of its name with the same or a higher revision has been applied.
func (t *Table[K, T]) Delete(name K, tombstone Tombstone) {
	if t.revision(name) >= tombstone.Revision {
		return
	}
	t.remove(name)
	t.Deleted[name] = tombstone
	if len(t.Deleted) > maxTombstones {
		t.forgetOldestTombstone()
	}
}

// revision returns the revision of the newest change of a name, or zero.
func (t *Table[K, T]) revision(name K) model.Revision {
	return max(t.Entries[name].Revision, t.Deleted[name].Revision)
}

func (t *Table[K, T]) remove(name K) {
	old, known := t.Entries[name]
	if !known {
		return
	}
	t.Hash ^= hash(old.Key, old.Revision)
	delete(t.Entries, name)
}

func (t *Table[K, T]) forgetOldestTombstone() {
	var oldest K
	lowest := model.Revision(math.MaxUint64)
	for name, tombstone := range t.Deleted {
		if tombstone.Revision < lowest {
			oldest, lowest = name, tombstone.Revision
		}
	}
	delete(t.Deleted, oldest)
}

// restamp gives an entry of an earlier era a revision of a later one without another value: what was published at that
// revision is not newer.
func (t *Table[K, T]) restamp(name K, revision model.Revision) {
	entry, known := t.Entries[name]
	if !known || !entry.Revision.IsBeforeEraOf(revision) {
		return
	}
	t.Hash ^= hash(entry.Key, entry.Revision) ^ hash(entry.Key, revision)
	entry.Revision = revision
	t.Entries[name] = entry
}

// enterEra gives all entries of earlier eras the revisions that their numbers have in the era of complete, at most complete,
// or that of the refused value that they stand for. It is called when all that differs there has been applied: what remains
// was published before the copy from which that era began, or is kept although it is not in that copy.
func (t *Table[K, T]) enterEra(complete model.Revision, refusals map[string]model.Refusal) {
	for name, entry := range t.Entries {
		revision, _ := model.RevisionOf(complete.Era(), entry.Revision.Number())
		if refusal, refused := refusals[entry.Key]; refused && refusal.Revision.Era() == complete.Era() {
			revision = refusal.Revision
		}
		t.restamp(name, min(revision, complete))
	}
}

// changes returns the entries and tombstones as changes, in no particular order.
func (t *Table[K, T]) changes() []model.Change {
	changes := make([]model.Change, 0, len(t.Entries)+len(t.Deleted))
	for _, entry := range t.Entries {
		changes = append(changes, model.Change{Key: entry.Key, Revision: entry.Revision, Value: entry.Raw})
	}
	for _, tombstone := range t.Deleted {
		changes = append(changes, model.Change{Key: tombstone.Key, Revision: tombstone.Revision, Deleted: true})
	}
	return changes
}

// retain removes the entries whose key is not in keys.
func (t *Table[K, T]) retain(keys map[string]bool) {
	for name, entry := range t.Entries {
		if !keys[entry.Key] {
			t.remove(name)
		}
	}
}

func hash(key string, revision model.Revision) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(key), uint64(revision)))
}
