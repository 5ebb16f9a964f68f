package plat

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/samber/mo"
)

// Put returns the state after a key was set to a value.
func Put(old State, key string, value json.RawMessage) State {
	return withChange(old, Change{Key: key, Value: value})
}

// Delete returns the state after a key was deleted.
func Delete(old State, key string) State {
	return withChange(old, Change{Key: key, Deleted: true})
}

// withChange returns the state after a change, which gets the next revision.
func withChange(old State, change Change) State {
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

// SetFaults returns the state after faults were switched on or off. Switching Stale on freezes the content that readers
// see.
func SetFaults(old State, change FaultChange) State {
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
