// Package quota accounts for the memory and descriptors that the connections of a daemon hold together.
package quota

import (
	"maps"
	"time"

	"comfreytack/core/query/evict"
)

// Quota bounds what holders have together. K identifies a holder. It is not safe for concurrent use.
type Quota[K comparable] struct {
	bytes   int64
	count   int
	used    int64
	holders map[K]evict.Holder
}

// New returns a quota for the given number of bytes and of holders.
func New[K comparable](bytes int64, count int) *Quota[K] {
	return &Quota[K]{bytes: bytes, count: count, holders: map[K]evict.Holder{}}
}

// Used returns the bytes that all holders have, and the number of holders.
func (q *Quota[K]) Used() (int64, int) { return q.used, len(q.holders) }

// Open admits a holder with its first bytes. It returns the holders that were removed to make room; the caller has to
// close them. It returns false when there is no room.
func (q *Quota[K]) Open(now time.Time, key K, port string, bytes int64) ([]K, bool) {
	var removed []K
	for len(q.holders) >= q.count {
		victim, found := evict.ForDescriptor(maps.All(q.holders))
		if !found {
			return removed, false
		}
		removed = append(removed, victim)
		q.Close(victim)
	}
	newcomer := evict.Holder{Port: port, Phase: evict.Idle, Bytes: bytes, Since: now}
	more, granted := q.makeRoom(now, key, newcomer, bytes)
	if granted {
		q.used += bytes
		q.holders[key] = newcomer
	}
	return append(removed, more...), granted
}

// Reserve adds bytes to what a holder has. It returns the holders that were removed to make room; the caller has to
// close them. It returns false when the bytes were not granted, or when the holder was removed before.
func (q *Quota[K]) Reserve(now time.Time, key K, bytes int64) ([]K, bool) {
	holder, known := q.holders[key]
	if !known {
		return nil, false
	}
	holder.Bytes += bytes
	removed, granted := q.makeRoom(now, key, holder, bytes)
	if granted {
		q.used += bytes
		q.holders[key] = holder
	}
	return removed, granted
}

// TryReserve adds bytes to what a holder has, if they are free.
func (q *Quota[K]) TryReserve(key K, bytes int64) bool {
	holder, known := q.holders[key]
	if !known || q.used+bytes > q.bytes {
		return false
	}
	holder.Bytes += bytes
	q.used += bytes
	q.holders[key] = holder
	return true
}

// Release returns bytes of a holder. It does nothing when the holder was removed before.
func (q *Quota[K]) Release(key K, bytes int64) {
	holder, known := q.holders[key]
	if !known {
		return
	}
	holder.Bytes -= bytes
	q.used -= bytes
	q.holders[key] = holder
}

// SetPhase notes what a holder is doing.
func (q *Quota[K]) SetPhase(now time.Time, key K, phase evict.Phase) {
	holder, known := q.holders[key]
	if !known || holder.Phase == phase {
		return
	}
	holder.Phase, holder.Since = phase, now
	q.holders[key] = holder
}

// Close returns all that a holder has.
func (q *Quota[K]) Close(key K) {
	q.used -= q.holders[key].Bytes
	delete(q.holders, key)
}

// makeRoom removes holders until the bytes are free. It removes none when that is not possible.
func (q *Quota[K]) makeRoom(now time.Time, key K, newcomer evict.Holder, bytes int64) ([]K, bool) {
	if newcomer.Bytes > q.bytes {
		return nil, false
	}
	var removed []K
	restore := map[K]evict.Holder{}
	for q.used+bytes > q.bytes {
		victim, found := evict.ForMemory(now, q.others(key), newcomer)
		if !found {
			for other, holder := range restore {
				q.holders[other] = holder
				q.used += holder.Bytes
			}
			return nil, false
		}
		restore[victim] = q.holders[victim]
		removed = append(removed, victim)
		q.Close(victim)
	}
	return removed, true
}

func (q *Quota[K]) others(key K) func(func(K, evict.Holder) bool) {
	return func(yield func(K, evict.Holder) bool) {
		for other, holder := range q.holders {
			if other != key && !yield(other, holder) {
				return
			}
		}
	}
}
