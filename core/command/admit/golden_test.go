package admit_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/admit"
	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

// goldenSlots is small so that the sessions stay short enough to read.
const goldenSlots = 4

// stream returns copies of a template job with random gaps of the given mean and random service times.
func stream(random *rand.Rand, from, until, gap time.Duration, template job) []*job {
	var jobs []*job
	for at := from; at < until; at += time.Duration(random.ExpFloat64() * float64(gap)) {
		made := template
		made.at = at
		made.service = uniform(random, template.service/2, template.service*3/2)
		jobs = append(jobs, &made)
	}
	return jobs
}

func join(streams ...[]*job) []*job {
	var all []*job
	for _, jobs := range streams {
		all = append(all, jobs...)
	}
	return all
}

func TestGoldenSessions(t *testing.T) {
	hospital := job{customer: "hospital", service: 4 * ms, deadline: 200 * ms}
	policia := job{customer: "policia", service: 4 * ms, deadline: 200 * ms}
	audit := job{customer: "audit", tier: model.Background, service: 4 * ms, deadline: 200 * ms}
	settlement := job{customer: "hospital", class: model.Long, service: 30 * ms, deadline: time.Second}
	straggler := job{customer: "hospital", service: 60 * ms, deadline: 200 * ms}
	hasty := policia
	hasty.deadline = 12 * ms
	tests := []struct {
		name string
		jobs func(random *rand.Rand) []*job
	}{
		{name: "return_of_one_customer", jobs: func(random *rand.Rand) []*job {
			return join(stream(random, 0, 30*ms, ms/2, hospital), stream(random, 15*ms, 16*ms, ms/10, policia))
		}},
		{name: "short_beside_long", jobs: func(random *rand.Rand) []*job {
			return join(stream(random, 0, 40*ms, 10*ms, settlement), stream(random, 0, 60*ms, 2*ms, policia))
		}},
		{name: "overload_at_twice_capacity", jobs: func(random *rand.Rand) []*job {
			return join(stream(random, 0, 60*ms, ms, hasty), stream(random, 0, 60*ms, ms, hospital))
		}},
		{name: "background_beside_standard", jobs: func(random *rand.Rand) []*job {
			return join(stream(random, 0, 40*ms, ms, audit), stream(random, 10*ms, 30*ms, ms, policia))
		}},
		{name: "deadline_refusals", jobs: func(random *rand.Rand) []*job {
			return join(stream(random, 0, 25*ms, ms/2, hasty), stream(random, 10*ms, 12*ms, ms/2, straggler))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate := admit.New(goldenSlots, admit.NewFair())
			gate.SetLimits(epoch, goldenSlots, limits.Of(goldenContracts(), goldenSlots))
			session := newReplay(gate, test.jobs(rand.New(rand.NewPCG(1, 0))))
			session.logging = true
			compareGolden(t, test.name, session.run()+summary(session.jobs))
		})
	}
}

func goldenContracts() map[model.Customer]model.Contract {
	made := contracts(map[model.Customer]int{"hospital": 2, "policia": 1})
	made["audit"] = model.Contract{Customer: "audit", Weight: 1, Tier: model.Background, DeadlineMs: 2000, LongestMs: 60000}
	return made
}

// summary counts what became of each customer's jobs.
func summary(jobs []*job) string {
	text := ""
	for _, customer := range []model.Customer{"audit", "hospital", "policia"} {
		sent, inTime, late, refused := 0, 0, 0, 0
		for _, j := range jobs {
			if j.customer != customer {
				continue
			}
			sent++
			switch {
			case j.inTime():
				inTime++
			case j.ran():
				late++
			default:
				refused++
			}
		}
		text += fmt.Sprintf("%s: sent %d, in time %d, late %d, refused %d\n", customer, sent, inTime, late, refused)
	}
	return text
}

func compareGolden(t *testing.T, name, got string) {
	path := filepath.Join("testdata", name+".golden")
	if *update {
		qt.Assert(t, os.MkdirAll("testdata", 0o755), qt.IsNil)
		qt.Assert(t, os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}
