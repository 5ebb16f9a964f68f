package plat

import (
	"cmp"
	"slices"

	"comfreytack/core/model"
)

// Visible returns the content that readers see.
func Visible(state State) Content {
	return state.Frozen.OrElse(Content{Revision: state.Revision, Keys: state.Keys})
}

// After returns the newest change of each key above a revision. The function shuffle is used when
// the platform is switched to reordering.
func After(state State, revision model.Revision, shuffle func([]Change)) Changes {
	visible := Visible(state)
	found := []Change{}
	for _, change := range visible.Keys {
		if change.Revision > revision {
			found = append(found, change)
		}
	}
	slices.SortFunc(found, func(a, b Change) int { return cmp.Compare(a.Revision, b.Revision) })
	if state.Faults.Reordered {
		shuffle(found)
	}
	return Changes{Revision: visible.Revision, Changes: found}
}
