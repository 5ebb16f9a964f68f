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
	scenarioSpan     = 2 * time.Second
	scenarioService  = 5 * ms
	scenarioDeadline = 100 * ms
)

// offeredLoad returns short jobs of a customer that take the given share of the gate's capacity.
func offeredLoad(random *rand.Rand, customer model.Customer, load float64) []*job {
	gap := time.Duration(float64(scenarioService) / slots / load)
	template := job{customer: customer, path: "/stock", service: scenarioService, deadline: scenarioDeadline}
	return stream(random, 0, scenarioSpan, gap, template)
}

// longJobs returns enough long jobs to fill the slots that long work may hold.
func longJobs(random *rand.Rand, class model.Class, path string) []*job {
	template := job{customer: "d", class: class, path: path, service: 300 * ms, deadline: 10 * time.Second}
	return stream(random, 0, scenarioSpan, 50*ms, template)
}

// scenario is a session and the objective that it must meet.
type scenario struct {
	name string
	jobs func(random *rand.Rand) []*job
	// measured are the customers whose short work is measured.
	measured []model.Customer
	// meets reports whether the objective was met, given the outcome of the measured work and the share of the
	// capacity that was used by all short work that ended in time.
	meets func(measured outcome, used float64) bool
}

var scenarios = []scenario{
	{
		name: "one customer at ten times its load",
		jobs: func(random *rand.Rand) []*job {
			return join(offeredLoad(random, "a", 0.15), offeredLoad(random, "b", 0.15), offeredLoad(random, "c", 0.15), offeredLoad(random, "d", 1.5))
		},
		measured: []model.Customer{"a", "b", "c"},
		meets:    func(measured outcome, used float64) bool { return measured.inTime >= 0.999 && used >= 0.95 },
	},
	{
		name: "all customers, twice the capacity",
		jobs: func(random *rand.Rand) []*job {
			return join(offeredLoad(random, "a", 0.5), offeredLoad(random, "b", 0.5), offeredLoad(random, "c", 0.5), offeredLoad(random, "d", 0.5))
		},
		measured: []model.Customer{"a", "b", "c", "d"},
		meets:    func(_ outcome, used float64) bool { return used >= 0.9 },
	},
	{
		name: "short work without long",
		jobs: func(random *rand.Rand) []*job {
			return join(offeredLoad(random, "a", 0.25), offeredLoad(random, "b", 0.25))
		},
		measured: []model.Customer{"a", "b"},
		meets:    func(measured outcome, _ float64) bool { return measured.p99 <= 2*scenarioService },
	},
	{
		name: "short work beside long",
		jobs: func(random *rand.Rand) []*job {
			return join(offeredLoad(random, "a", 0.25), offeredLoad(random, "b", 0.25), longJobs(random, model.Long, ""))
		},
		measured: []model.Customer{"a", "b"},
		meets:    func(measured outcome, _ float64) bool { return measured.p99 <= 12*ms },
	},
	{
		name: "short work beside long, class learnt",
		jobs: func(random *rand.Rand) []*job {
			return join(offeredLoad(random, "a", 0.25), offeredLoad(random, "b", 0.25), longJobs(random, model.Short, "/settle"))
		},
		measured: []model.Customer{"a", "b"},
		meets:    func(measured outcome, _ float64) bool { return measured.p99 <= 12*ms },
	},
}

// runScenario returns the outcome of the measured short work, and the share of the capacity that was used by all
// short work that ended in time.
func runScenario[D admit.Discipline](c scenario, seed uint64, discipline D, oneQueue bool) (outcome, float64) {
	jobs := c.jobs(rand.New(rand.NewPCG(seed, 0)))
	customerLimits := limits.Of(contracts(map[model.Customer]int{"a": 1, "b": 1, "c": 1, "d": 1}), slots)
	for customer, l := range customerLimits {
		if oneQueue {
			l.LongSlots = slots
			customerLimits[customer] = l
		}
	}
	gate := admit.New(slots, discipline)
	gate.SetLimits(epoch, slots, customerLimits)
	r := newReplay(gate, jobs)
	classifier := class.New(len(customerLimits))
	r.onArrival = func(j *job) {
		if j.path != "" {
			j.class = classifier.Classify(model.Service{}, "POST", j.path)
		}
	}
	r.onOverrun = func(j *job) { classifier.RecordOverrun(model.Service{}, "POST", j.path) }
	r.onFinish = func(j *job) {
		if j.path != "" && !j.overrun {
			classifier.RecordRun(model.Service{}, "POST", j.path, j.ended-j.started, gate.ShortServiceTime())
		}
	}
	r.run()
	used := time.Duration(0)
	measured := jobs[:0:0]
	for _, j := range jobs {
		if j.class == model.Short && j.inTime() {
			used += j.service
		}
		if j.class == model.Short && slices.Contains(c.measured, j.customer) {
			measured = append(measured, j)
		}
	}
	return measure(measured, false), used.Seconds() / (slots * scenarioSpan.Seconds())
}

// TestLoadScenarios checks that a Fair gate meets the objective of each scenario, and that a FIFO gate misses the
// objectives of the scenarios listed for it.
func TestLoadScenarios(t *testing.T) {
	disciplines := []struct {
		name string
		run  func(c scenario, seed uint64) (outcome, float64)
		// missed names the scenarios whose objective the discipline misses with every seed.
		missed []string
	}{
		{name: "fair", run: func(c scenario, seed uint64) (outcome, float64) { return runScenario(c, seed, admit.NewFair(), false) }},
		{
			name:   "fifo",
			run:    func(c scenario, seed uint64) (outcome, float64) { return runScenario(c, seed, admit.NewFIFO(), true) },
			missed: []string{scenarios[0].name, scenarios[3].name, scenarios[4].name},
		},
	}
	var table strings.Builder
	for _, c := range scenarios {
		for _, d := range disciplines {
			for seed := range uint64(trialSeeds) {
				measured, used := d.run(c, seed)
				fmt.Fprintf(&table, "%-36s %-5s seed %d  in time %.4f  p99 %7s  capacity used in time %.3f\n",
					c.name, d.name, seed, measured.inTime, measured.p99.Round(100*time.Microsecond), used)
				qt.Check(t, c.meets(measured, used), qt.Equals, !slices.Contains(d.missed, c.name), qt.Commentf("%s, %s", c.name, d.name))
			}
		}
	}
	compareGolden(t, "crests", table.String())
}
