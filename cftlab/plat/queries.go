package plat

import (
	"cmp"
	"slices"

	"comfreytack/core/model"
)

// Visible returns the content that readers see: the frozen one, if any.
func Visible(state State) Content {
	return state.Frozen.OrElse(Content{Revision: state.Revision, Keys: state.Keys})
}

// ChangesAfter returns the newest change of each key that changed after a revision. It calls shuffle on them when
// Faults.Reordered is on.
func ChangesAfter(state State, revision model.Revision, shuffle func([]Change)) Changes {
	content := Visible(state)
	found := []Change{}
	for _, change := range content.Keys {
		if change.Revision > revision {
			found = append(found, change)
		}
	}
	slices.SortFunc(found, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	if state.Faults.Reordered {
		shuffle(found)
	}
	return Changes{Revision: content.Revision, Changes: found}
}
