package config_test

import (
	"fmt"
	"testing"

	mapset "github.com/deckarep/golang-set/v2"
	"github.com/go-json-experiment/json"
	"pgregory.net/rapid"

	"comfreytack/core/command/config"
	"comfreytack/core/model"
)

const document = `{"version":1,"routes":[],"services":[{"name":"reservas","connections":9,"health_path":"/health"}],"intake":{"max_body_bytes":1}}`

// publisher writes the entries of one instance, and those of others at its key, into a store.
type publisher struct {
	store    *config.Store
	revision model.Revision
	own      model.Upstream
	// earlier is the last entry of the incarnation before.
	earlier model.Upstream
	// disturbed is how many of its own entries may still be taken for late ones.
	disturbed int
}

func (p *publisher) write(key, value string) {
	p.revision++
	change := model.Change{Key: key, Revision: p.revision, Value: []byte(value), Deleted: value == ""}
	p.store.Apply(model.Delta{After: p.revision - 1, Revision: p.revision, Changes: []model.Change{change}})
}

func (p *publisher) writeEntry(entry model.Upstream) {
	encoded, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	p.write("instances/i-1", string(encoded))
}

// writeOwn writes the next entry of the instance.
func (p *publisher) writeOwn() {
	p.own.Sequence++
	p.writeEntry(p.own)
	p.disturbed--
}

// TestOrderOfEntries checks that the last entry which an instance has written is in force: at once after an entry of
// another writer that names no usable instance, and else after a second one. An entry of an earlier incarnation that is
// written late replaces nothing. It guards against a publisher that is ignored for as long as it runs.
func TestOrderOfEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &publisher{store: config.New(mapset.NewThreadUnsafeSet[model.ServiceName]())}
		p.write("document", document)
		p.own = model.Upstream{Name: "10.1.0.1", Incarnation: 1000, Service: "reservas", FailureDomain: "quito",
			Gate: "10.1.0.1:1", Peer: "10.1.0.1:2", Instance: "i-1", Slots: 9}
		p.writeOwn()
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch what := rapid.SampledFrom([]string{"own", "leaving", "restart", "odd", "unnamed", "high", "late"}).Draw(t, fmt.Sprint("step ", step)); what {
			case "leaving":
				p.own.State = model.Leaving
			case "restart":
				p.earlier = p.own
				p.own.Incarnation = model.Incarnation(rapid.IntRange(1, 2000).Draw(t, "born"))
				p.own.Sequence, p.own.State = 0, model.Live
				p.disturbed = 2
			case "odd":
				p.write("instances/i-1", "")
				p.disturbed = 0
			case "unnamed":
				odd := p.own
				odd.Service, odd.Incarnation, odd.Sequence = "colours", rapid.SampledFrom([]model.Incarnation{1, 1 << 60}).Draw(t, "odd born"), 1<<60
				p.writeEntry(odd)
				p.disturbed = 0
			case "high":
				odd := p.own
				odd.Sequence += 1 << 40
				p.writeEntry(odd)
				p.disturbed = 2
			case "late":
				if p.earlier.Incarnation == 0 || p.earlier.Incarnation >= p.own.Incarnation || p.disturbed > 0 {
					continue
				}
				p.writeEntry(p.earlier)
				p.earlier.Sequence++
			}
			if what := p.store.Instances.Entries["i-1"]; p.disturbed <= 0 && what.Value.Service == "reservas" && what.Value.Incarnation < p.own.Incarnation {
				t.Fatalf("an entry of an earlier incarnation is in force: %+v", what.Value)
			}
			p.writeOwn()
			if inForce := p.store.Instances.Entries["i-1"].Value; p.disturbed <= 0 && inForce != p.own {
				t.Fatalf("in force is %+v, published was %+v", inForce, p.own)
			}
		}
	})
}
