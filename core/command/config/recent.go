package config

import (
	"sort"

	"comfreytack/core/model"
)

// Recent is a log of the newest changes of all keys, from which other daemons get what they lack.
type Recent struct {
	// Floor is the revision after which no change is missing.
	Floor model.Revision
	// Changes are in rising order of revision, all above Floor.
	Changes []model.Change
	// GapFrom and GapTo are the revisions in force before and after the last copy was merged. This log has the differences
	// between them, but not what leads to GapTo from any revision in between. Zero before the first copy.
	GapFrom, GapTo model.Revision
	// Bytes is the size of all values in Changes; at most MaxBytes unless there is only one change.
	Bytes int
	// MaxBytes and MaxChanges bound Changes.
	MaxBytes   int
	MaxChanges int
}

// Add appends a change, whose revision is not below any before, and drops the oldest beyond the bounds.
func (r *Recent) Add(change model.Change) {
	r.Changes = append(r.Changes, change)
	r.Bytes += len(change.Value)
	for len(r.Changes) > 1 && (r.Bytes > r.MaxBytes || len(r.Changes) > r.MaxChanges) {
		r.forgetOldest()
	}
}

// forgetOldest drops all changes of the oldest revision and raises Floor to it.
func (r *Recent) forgetOldest() {
	r.Floor = r.Changes[0].Revision
	for len(r.Changes) > 0 && r.Changes[0].Revision == r.Floor {
		r.Bytes -= len(r.Changes[0].Value)
		r.Changes[0] = model.Change{}
		r.Changes = r.Changes[1:]
	}
}

// pass records that all changes from one revision to another are differences only. What led over an earlier gap is dropped.
func (r *Recent) pass(from, to model.Revision) {
	for len(r.Changes) > 0 && r.Changes[0].Revision <= r.GapTo {
		r.forgetOldest()
	}
	r.Floor = max(r.Floor, r.GapTo)
	r.GapFrom, r.GapTo = from, to
}

// Reset drops all changes. Deltas can then start only at floor or later.
func (r *Recent) Reset(floor model.Revision) {
	r.Floor = floor
	r.Changes = nil
	r.Bytes = 0
}

// Since returns the delta from the given revision up to complete. A delta above maxBytes ends early, but never within
// the changes of one revision, nor in the gap. The second result is false if some of the changes have been dropped, or if
// the log has none that lead there from the given revision.
func (r *Recent) Since(after, complete model.Revision, maxBytes int) (model.Delta, bool) {
	if after < r.Floor || after > r.GapFrom && after < r.GapTo {
		return model.Delta{}, false
	}
	from := sort.Search(len(r.Changes), func(i int) bool { return r.Changes[i].Revision > after })
	delta := model.Delta{After: after, Revision: complete, Exact: after < r.GapTo}
	size := 0
	for _, change := range r.Changes[from:] {
		size += len(change.Value)
		if size > maxBytes && len(delta.Changes) > 0 && change.Revision > lastRevision(delta.Changes) && lastRevision(delta.Changes) >= r.GapTo {
			delta.Revision = lastRevision(delta.Changes)
			break
		}
		delta.Changes = append(delta.Changes, change)
	}
	return delta, true
}

func lastRevision(changes []model.Change) model.Revision {
	return changes[len(changes)-1].Revision
}
