package plat

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/samber/mo"
)

// Put returns the state after a key got a new value.
func Put(old State, key string, value json.RawMessage) State {
	return record(old, Change{Key: key, Value: value})
}

// Delete returns the state after a key lost its value.
func Delete(old State, key string) State {
	return record(old, Change{Key: key, Deleted: true})
}

func record(old State, change Change) State {
	next := old
	next.Revision++
	change.Revision = next.Revision
	next.Keys = maps.Clone(old.Keys)
	if next.Keys == nil {
		next.Keys = map[string]Change{}
	}
	next.Keys[change.Key] = change
	return next
}

// Fail returns the state after faults were switched.
func Fail(old State, change FaultChange) State {
	next := old
	next.Faults.Down = change.Down.OrElse(old.Faults.Down)
	next.Faults.Reordered = change.Reordered.OrElse(old.Faults.Reordered)
	next.Faults.Stale = change.Stale.OrElse(old.Faults.Stale)
	if slow, ok := change.SlowMs.Get(); ok {
		next.Faults.Slow = time.Duration(slow) * time.Millisecond
	}
	if next.Faults.Stale == old.Faults.Stale {
		return next
	}
	next.Frozen = mo.None[Content]()
	if next.Faults.Stale {
		next.Frozen = mo.Some(Content{Revision: old.Revision, Keys: old.Keys})
	}
	return next
}
