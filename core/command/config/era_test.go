package config_test

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	mapset "github.com/deckarep/golang-set/v2"
	"github.com/go-json-experiment/json"
	"pgregory.net/rapid"

	"comfreytack/core/command/config"
	"comfreytack/core/model"
	"comfreytack/core/query/check"
)

// TestMain sets a fixed seed, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// archive is a platform that loses what was written since its last copy when it comes back from that.
type archive struct {
	era, number uint64
	items       map[string]model.Change
	// history has the changes of this era since the copy.
	history []model.Change
	// savedItems and savedNumber are the copy.
	savedItems  map[string]model.Change
	savedNumber uint64
	// lost has what is to be written again, by key.
	lost map[string]model.Change
}

func (a *archive) revision(number uint64) model.Revision {
	revision, _ := model.RevisionOf(a.era, number)
	return revision
}

func (a *archive) write(key, value string) {
	a.number++
	change := model.Change{Key: key, Revision: a.revision(a.number), Deleted: value == ""}
	if value != "" {
		change.Value = []byte(value)
	}
	a.items[key] = change
	a.history = append(a.history, change)
	delete(a.lost, key)
}

func (a *archive) save() { a.savedItems, a.savedNumber = maps.Clone(a.items), a.number }

func (a *archive) restore() {
	for key, change := range a.items {
		if change.Revision.Number() > a.savedNumber {
			a.lost[key] = change
		}
	}
	a.era++
	a.number, a.history, a.items = a.savedNumber, nil, maps.Clone(a.savedItems)
	for key, change := range a.items {
		change.Revision = a.revision(change.Revision.Number())
		a.items[key] = change
	}
}

// rewrite writes again what was lost of one key.
func (a *archive) rewrite(key string) { a.write(key, string(a.lost[key].Value)) }

// read lets a store read the changes that it lacks, or the whole list.
func (a *archive) read(store *config.Store) {
	if after := store.Complete; after.Era() == a.era && after > a.revision(a.savedNumber) {
		changes := slices.DeleteFunc(slices.Clone(a.history), func(change model.Change) bool { return change.Revision <= after })
		store.Apply(model.Delta{After: after, Revision: a.revision(a.number), Changes: changes})
		return
	}
	whole := config.Copy{Revision: a.revision(a.number)}
	for _, change := range a.items {
		if !change.Deleted {
			whole.Changes = append(whole.Changes, change)
		}
	}
	slices.SortFunc(whole.Changes, func(x, y model.Change) int { return cmp.Compare(x.Revision, y.Revision) })
	store.Merge(whole)
}

// eras drives stores over several eras of an archive.
type eras struct {
	*archive
	stores []*config.Store
	// version is that of the newest document, and written has the newest entry of each instance.
	version int
	written map[model.InstanceID]model.Upstream
	// seen has what was in force at each store.
	seen map[*config.Store]inForce
}

// inForce is what must not fall back at a store.
type inForce struct {
	version  uint64
	revision model.Revision
	// instances has the sequence numbers of the instances, and departed those at which they were deleted.
	instances, departed map[model.InstanceID]uint64
}

func (e *eras) publishDocument() {
	e.version++
	e.write("document", strings.Replace(document, `"version":1`, fmt.Sprintf(`"version":%d`, e.version), 1))
}

// writeInstance lets an instance write its next entry.
func (e *eras) writeInstance(id model.InstanceID) {
	entry := e.written[id]
	if entry.Instance == "" {
		entry = model.Upstream{Name: model.UpstreamName(id), Incarnation: 7, Service: "reservas", FailureDomain: "quito", Gate: "10.1.0.1:1", Peer: "10.1.0.1:2", Instance: id, Slots: 9}
	}
	entry.Sequence++
	e.written[id] = entry
	encoded, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	e.write("instances/"+string(id), string(encoded))
}

// exchange lets a store get from another one what it lacks.
func (e *eras) exchange(to, from *config.Store) {
	if delta, known := from.Since(to.Complete, 1<<20); known && to.Complete > 0 {
		to.Apply(delta)
		return
	}
	if from.Complete > 0 {
		to.Merge(from.CopyFor(nil))
	}
}

// check checks that nothing falls back at any store, and that no instance comes back by an entry of before its deletion.
func (e *eras) check(t *rapid.T) {
	for i, store := range e.stores {
		before := e.seen[store]
		now := inForce{
			version: store.Documents.Entries["document"].Value.Version, revision: store.Complete,
			instances: map[model.InstanceID]uint64{}, departed: map[model.InstanceID]uint64{},
		}
		if now.version < before.version || now.revision < before.revision {
			t.Fatalf("store %d fell from %+v to %+v", i, before, now)
		}
		maps.Copy(now.departed, before.departed)
		for id, entry := range store.Instances.Entries {
			now.instances[id] = entry.Value.Sequence
			if departed, known := before.departed[id]; known && departed >= entry.Value.Sequence {
				t.Fatalf("store %d has %s of sequence %d in force, which was deleted at %d", i, id, entry.Value.Sequence, departed)
			}
		}
		for id, sequence := range before.instances {
			// An instance of a service that no document names counts for nothing.
			if _, listed := now.instances[id]; !listed && before.version > 0 && now.revision.Era() == before.revision.Era() {
				now.departed[id] = sequence
			}
		}
		e.seen[store] = now
	}
}

// settle writes all again that was lost, and checks that all stores then have what is published.
func (e *eras) settle(t *rapid.T) {
	for _, key := range slices.Sorted(maps.Keys(e.lost)) {
		e.rewrite(key)
	}
	for _, id := range slices.Sorted(maps.Keys(e.written)) {
		if !e.items["instances/"+string(id)].Deleted {
			e.writeInstance(id)
		}
	}
	e.publishDocument()
	for i, store := range e.stores {
		if i%2 == 0 {
			e.read(store)
		} else {
			e.exchange(store, e.stores[i-1])
			e.read(store)
		}
		got := map[string]model.Change{}
		for _, change := range store.CopyFor(nil).Changes {
			if !change.Deleted {
				got[change.Key] = change
			}
		}
		for key, change := range e.items {
			// An earlier value of an invalid one may be in force.
			if (change.Deleted || check.Value(key, change.Value) == nil) && !bytes.Equal(got[key].Value, change.Value) {
				t.Fatalf("store %d has %s = %s, published is %s", i, key, got[key].Value, change.Value)
			}
			delete(got, key)
		}
		if len(got) > 0 {
			t.Fatalf("store %d has what is not published: %v", i, got)
		}
		if first := e.stores[0]; store.Instances.Hash != first.Instances.Hash || store.Evacuations.Hash != first.Evacuations.Hash || store.Documents.Hash != first.Documents.Hash {
			t.Fatalf("stores 0 and %d have other revisions in force: %v and %v", i, revisions(first), revisions(store))
		}
	}
}

// revisions returns the revisions of what is in force at a store.
func revisions(store *config.Store) map[string]model.Revision {
	all := map[string]model.Revision{}
	for _, change := range store.CopyFor(nil).Changes {
		if !change.Deleted {
			all[change.Key] = change.Revision
		}
	}
	return all
}

// TestEras lets a platform come back from older copies of itself again and again while stores read it and each other. It
// guards against a lost value that stays in force, a version that falls back, and a change of the new history that is taken
// for an old one since it has a lower number.
func TestEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &eras{
			archive: &archive{items: map[string]model.Change{}, lost: map[string]model.Change{}},
			written: map[model.InstanceID]model.Upstream{}, seen: map[*config.Store]inForce{},
		}
		for range 4 {
			e.stores = append(e.stores, config.New(mapset.NewThreadUnsafeSet[model.ServiceName]()))
		}
		e.save()
		e.publishDocument()
		store := func(t *rapid.T) *config.Store { return rapid.SampledFrom(e.stores).Draw(t, "store") }
		id := func(t *rapid.T) model.InstanceID {
			return rapid.SampledFrom([]model.InstanceID{"i-1", "i-2", "i-3"}).Draw(t, "id")
		}
		customer := func(t *rapid.T) string {
			return "contracts/" + rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer")
		}
		t.Repeat(map[string]func(*rapid.T){
			"contract": func(t *rapid.T) {
				key := customer(t)
				e.write(key, fmt.Sprintf(`{"customer":%q,"weight":%d,"deadline_ms":500,"longest_ms":5000}`, strings.TrimPrefix(key, "contracts/"), rapid.IntRange(0, 9).Draw(t, "weight")))
			},
			"no contract": func(t *rapid.T) { e.write(customer(t), "") },
			"document":    func(*rapid.T) { e.publishDocument() },
			"evacuate":    func(*rapid.T) { e.write("evacuations/quito", "{}") },
			"take back":   func(*rapid.T) { e.write("evacuations/quito", "") },
			"instance":    func(t *rapid.T) { e.writeInstance(id(t)) },
			"left":        func(t *rapid.T) { e.write("instances/"+string(id(t)), "") },
			"save":        func(*rapid.T) { e.save() },
			"restore":     func(*rapid.T) { e.restore() },
			"write again": func(t *rapid.T) {
				if len(e.lost) > 0 {
					e.rewrite(rapid.SampledFrom(slices.Sorted(maps.Keys(e.lost))).Draw(t, "lost"))
				}
			},
			"read": func(t *rapid.T) { e.read(store(t)) },
			"report": func(t *rapid.T) {
				from, to, since := store(t), store(t), store(t)
				if delta, known := from.Since(since.Complete, 1<<20); known && to.Complete > 0 {
					to.Apply(delta)
				}
			},
			"exchange": func(t *rapid.T) { e.exchange(store(t), store(t)) },
			"":         e.check,
		})
		e.settle(t)
	})
}
