package config_test

import (
	"testing"

	mapset "github.com/deckarep/golang-set/v2"
	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/config"
	"comfreytack/core/model"
)

// TestDeletionsReachOtherStores guards against a value that stays in force at a store because the store from which it learns
// the rest never knew that value, or remembers an earlier deletion of it.
func TestDeletionsReachOtherStores(t *testing.T) {
	const key = "evacuations/quito"
	set := func(revision model.Revision) model.Change {
		return model.Change{Key: key, Revision: revision, Value: []byte("{}")}
	}
	deletion := func(revision model.Revision) model.Change {
		return model.Change{Key: key, Revision: revision, Deleted: true}
	}
	tests := []struct {
		name string
		// source has read up to revision 2, and then the whole list at revision 6, which lacks the key.
		source []model.Change
		// other has the key in force.
		other []model.Change
	}{
		{name: "published and deleted in between", other: []model.Change{set(3)}},
		{name: "deleted before as well", source: []model.Change{deletion(2)}, other: []model.Change{deletion(2), set(3)}},
		{name: "deleted by the list", source: []model.Change{set(2)}, other: []model.Change{set(2)}},
	}
	const before, after = 2, 6
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			source := config.New(mapset.NewThreadUnsafeSet[model.ServiceName]())
			source.Apply(model.Delta{Revision: before, Changes: test.source})
			source.Merge(config.Copy{Revision: after})
			for _, asks := range []bool{true, false} {
				other := config.New(mapset.NewThreadUnsafeSet[model.ServiceName]())
				last := test.other[len(test.other)-1].Revision
				other.Apply(model.Delta{Revision: last, Changes: test.other})
				since := last
				if !asks {
					// A report has the changes that its sender has learnt, whatever the receiver has.
					since = before
				}
				if delta, known := source.Since(since, 1<<20); !known || other.Apply(delta) == config.Gap {
					other.Merge(source.CopyFor(nil))
				}
				qt.Assert(t, other.Complete, qt.Equals, model.Revision(after))
				qt.Assert(t, other.Evacuations.Entries, qt.HasLen, 0)
			}
		})
	}
}
