package config

import (
	"sort"

	"comfreytack/core/model"
)

// Recent keeps the newest changes of all keys, so that other daemons can be sent what they lack.
type Recent struct {
	// Floor is the revision behind which every change up to the newest is present.
	Floor model.Revision
	// Changes are in rising order of revision, all above Floor.
	Changes []model.Change
	// Bytes is the size of all values in Changes; at most MaxBytes unless there is one change only.
	Bytes int
	// MaxBytes and MaxChanges bound what is kept.
	MaxBytes   int
	MaxChanges int
}

// Add keeps a change that is not older than any before and forgets the oldest beyond the bounds.
func (r *Recent) Add(change model.Change) {
	r.Changes = append(r.Changes, change)
	r.Bytes += len(change.Value)
	for len(r.Changes) > 1 && (r.Bytes > r.MaxBytes || len(r.Changes) > r.MaxChanges) {
		r.forgetOldest()
	}
}

// forgetOldest raises Floor over the oldest revision, with every change that shares it.
func (r *Recent) forgetOldest() {
	r.Floor = r.Changes[0].Revision
	for len(r.Changes) > 0 && r.Changes[0].Revision == r.Floor {
		r.Bytes -= len(r.Changes[0].Value)
		r.Changes[0] = model.Change{}
		r.Changes = r.Changes[1:]
	}
}

// Reset forgets all changes; those up to floor are no longer known one by one.
func (r *Recent) Reset(floor model.Revision) {
	r.Floor = floor
	r.Changes = nil
	r.Bytes = 0
}

// Since returns the run of changes after the given revision up to complete, cut off behind a whole
// revision when it would hold more than maxBytes. The second result is false when some were forgotten.
func (r *Recent) Since(after, complete model.Revision, maxBytes int) (model.Delta, bool) {
	if after < r.Floor {
		return model.Delta{}, false
	}
	from := sort.Search(len(r.Changes), func(i int) bool { return r.Changes[i].Revision > after })
	delta := model.Delta{After: after, Revision: complete}
	size := 0
	for _, change := range r.Changes[from:] {
		size += len(change.Value)
		if size > maxBytes && len(delta.Changes) > 0 && change.Revision > lastOf(delta.Changes) {
			delta.Revision = lastOf(delta.Changes)
			break
		}
		delta.Changes = append(delta.Changes, change)
	}
	return delta, true
}

func lastOf(changes []model.Change) model.Revision {
	return changes[len(changes)-1].Revision
}
