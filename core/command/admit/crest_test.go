package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/admit"
	"comfreytack/core/command/class"
	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

const (
	crestSpan     = 2 * time.Second
	crestService  = 5 * ms
	crestDeadline = 100 * ms
)

// offered returns short work of a customer at the given share of the gate's capacity.
func offered(random *rand.Rand, customer model.Customer, load float64) []*job {
	gap := time.Duration(float64(crestService) / slots / load)
	like := job{customer: customer, path: "/stock", service: crestService, deadline: crestDeadline}
	return stream(random, 0, crestSpan, gap, like)
}

// settlements returns enough long work to fill the slots that it may have.
func settlements(random *rand.Rand, class model.Class, path string) []*job {
	like := job{customer: "d", class: class, path: path, service: 300 * ms, deadline: 10 * time.Second}
	return stream(random, 0, crestSpan, 50*ms, like)
}

// crest is one session with what is asked of it.
type crest struct {
	name string
	jobs func(random *rand.Rand) []*job
	// judged are the customers whose short work is looked at.
	judged []model.Customer
	// holds says whether the promise was kept, given what became of the judged work and of all short
	// work, and the share of the capacity that was spent on short work in time.
	holds func(judged outcome, used float64) bool
}

var crests = []crest{
	{
		name: "one customer at ten times its load",
		jobs: func(random *rand.Rand) []*job {
			return join(offered(random, "a", 0.15), offered(random, "b", 0.15), offered(random, "c", 0.15), offered(random, "d", 1.5))
		},
		judged: []model.Customer{"a", "b", "c"},
		holds:  func(judged outcome, used float64) bool { return judged.inTime >= 0.999 && used >= 0.95 },
	},
	{
		name: "all customers, twice the capacity",
		jobs: func(random *rand.Rand) []*job {
			return join(offered(random, "a", 0.5), offered(random, "b", 0.5), offered(random, "c", 0.5), offered(random, "d", 0.5))
		},
		judged: []model.Customer{"a", "b", "c", "d"},
		holds:  func(_ outcome, used float64) bool { return used >= 0.9 },
	},
	{
		name: "short work without long",
		jobs: func(random *rand.Rand) []*job {
			return join(offered(random, "a", 0.25), offered(random, "b", 0.25))
		},
		judged: []model.Customer{"a", "b"},
		holds:  func(judged outcome, _ float64) bool { return judged.p99 <= 2*crestService },
	},
	{
		name: "short work beside long",
		jobs: func(random *rand.Rand) []*job {
			return join(offered(random, "a", 0.25), offered(random, "b", 0.25), settlements(random, model.Long, ""))
		},
		judged: []model.Customer{"a", "b"},
		holds:  func(judged outcome, _ float64) bool { return judged.p99 <= 12*ms },
	},
	{
		name: "short work beside long, class learnt",
		jobs: func(random *rand.Rand) []*job {
			return join(offered(random, "a", 0.25), offered(random, "b", 0.25), settlements(random, model.Short, "/settle"))
		},
		judged: []model.Customer{"a", "b"},
		holds:  func(judged outcome, _ float64) bool { return judged.p99 <= 12*ms },
	},
}

// runCrest returns what became of the judged short work, and the share of the capacity that all short work
// in time took.
func runCrest[D admit.Discipline](c crest, seed uint64, discipline D, oneQueue bool) (outcome, float64) {
	jobs := c.jobs(rand.New(rand.NewPCG(seed, 0)))
	made := limits.Of(contracts(map[model.Customer]int{"a": 1, "b": 1, "c": 1, "d": 1}), slots)
	for customer, l := range made {
		if oneQueue {
			l.LongSlots = slots
			made[customer] = l
		}
	}
	gate := admit.New(slots, discipline)
	gate.SetLimits(epoch, slots, made)
	r := newReplay(gate, jobs)
	book := class.New(len(made))
	r.arriving = func(j *job) {
		if j.path != "" {
			j.class = book.Of(model.Service{}, "POST", j.path)
		}
	}
	r.overran = func(j *job) { book.Overran(model.Service{}, "POST", j.path) }
	r.finished = func(j *job) {
		if j.path != "" && !j.overrun {
			book.Ran(model.Service{}, "POST", j.path, j.ended-j.started, gate.ShortServiceTime())
		}
	}
	r.run()
	used := time.Duration(0)
	judged := jobs[:0:0]
	for _, j := range jobs {
		if j.class == model.Short && j.inTime() {
			used += j.service
		}
		if j.class == model.Short && slices.Contains(c.judged, j.customer) {
			judged = append(judged, j)
		}
	}
	return measure(judged, false), used.Seconds() / (slots * crestSpan.Seconds())
}

// TestCrests holds the fair gate to its promises under each load and shows which of them one queue breaks.
func TestCrests(t *testing.T) {
	disciplines := []struct {
		name string
		run  func(c crest, seed uint64) (outcome, float64)
		// broken names the loads under which the baseline breaks its promise with every seed.
		broken []string
	}{
		{name: "fair", run: func(c crest, seed uint64) (outcome, float64) { return runCrest(c, seed, admit.NewFair(), false) }},
		{
			name:   "fifo",
			run:    func(c crest, seed uint64) (outcome, float64) { return runCrest(c, seed, admit.NewFIFO(), true) },
			broken: []string{crests[0].name, crests[3].name, crests[4].name},
		},
	}
	var table strings.Builder
	for _, c := range crests {
		for _, d := range disciplines {
			for seed := range uint64(trialSeeds) {
				judged, used := d.run(c, seed)
				fmt.Fprintf(&table, "%-36s %-5s seed %d  in time %.4f  p99 %7s  capacity used in time %.3f\n",
					c.name, d.name, seed, judged.inTime, judged.p99.Round(100*time.Microsecond), used)
				qt.Check(t, c.holds(judged, used), qt.Equals, !slices.Contains(d.broken, c.name), qt.Commentf("%s, %s", c.name, d.name))
			}
		}
	}
	compare(t, "crests", table.String())
}
