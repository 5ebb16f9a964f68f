package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/command/admit"
	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

const (
	slots = 10
	ms    = time.Millisecond
)

// rapidTB lets quicktest report failures to rapid, whose T lacks some methods of testing.TB.
type rapidTB struct {
	testing.TB
	t *rapid.T
}

func (a rapidTB) Fatal(args ...any) { a.t.Fatal(args...) }

// check runs a property under rapid.
func check(t *testing.T, property func(t testing.TB, r *rapid.T)) {
	rapid.Check(t, func(r *rapid.T) { property(rapidTB{TB: t, t: r}, r) })
}

func newGate[D admit.Discipline](discipline D, weights map[model.Customer]int) *admit.Gate[D] {
	gate := admit.New(slots, discipline)
	gate.SetLimits(epoch, slots, limits.Of(contracts(weights), slots))
	return gate
}

// uniform returns a uniformly distributed duration from shortest to longest.
func uniform(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)+1))
}

// excessJobs returns short jobs of one customer that arrive much faster than the gate can serve them.
func excessJobs(random *rand.Rand, customer model.Customer, span, longest time.Duration) []*job {
	var jobs []*job
	for at := time.Duration(0); at < span; at += ms / 5 {
		jobs = append(jobs, &job{at: at, customer: customer, service: uniform(random, ms, longest), deadline: time.Hour})
	}
	return jobs
}

// returnSession draws a session in which one customer has borrowed every slot, some of them for long work,
// when another customer that was idle sends a hundred requests at once.
func returnSession(r *rapid.T, longest time.Duration) (jobs []*job, weights map[model.Customer]int, returnAt time.Duration) {
	weights = map[model.Customer]int{
		"busy": rapid.IntRange(1, 1000).Draw(r, "busy weight"),
		"back": rapid.IntRange(1, 1000).Draw(r, "back weight"),
	}
	returnAt = 60*ms + time.Duration(rapid.IntRange(0, 999).Draw(r, "back at"))*time.Microsecond
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
	jobs = excessJobs(random, "busy", 120*ms, longest)
	for range rapid.IntRange(0, 3).Draw(r, "long") {
		jobs = append(jobs, &job{customer: "busy", class: model.Long, service: time.Second, deadline: time.Hour})
	}
	for range 100 {
		jobs = append(jobs, &job{at: returnAt, customer: "back", service: uniform(random, ms, longest), deadline: time.Hour})
	}
	return jobs, weights, returnAt
}

// firstStarts returns when the first job of the returning customer starts, and when the first job of any customer
// ends after the return.
func firstStarts(jobs []*job, returnAt time.Duration) (start, finish time.Duration) {
	start, finish = time.Hour, time.Hour
	for _, j := range jobs {
		if j.customer == "back" && j.ran() {
			start = min(start, j.started)
		}
		if j.ended > returnAt {
			finish = min(finish, j.ended)
		}
	}
	return start, finish
}

// lastStart returns when a customer's last job started; until then the customer had work waiting.
func lastStart(jobs []*job, customer model.Customer) time.Duration {
	last := time.Duration(0)
	for _, j := range jobs {
		if j.customer == customer {
			last = max(last, j.started)
		}
	}
	return last
}

// slotsHeld returns the number of slots that a customer holds at the given time.
func slotsHeld(jobs []*job, customer model.Customer, at time.Duration) int {
	count := 0
	for _, j := range jobs {
		if j.customer == customer && j.ran() && j.started <= at && at < j.ended {
			count++
		}
	}
	return count
}

// TestReturnOfOneCustomer checks that a returning customer gets the first slot that becomes free. After at most the
// longest service time of short jobs it holds its guaranteed slots, for as long as it has work waiting.
func TestReturnOfOneCustomer(t *testing.T) {
	const longest = 8 * ms
	check(t, func(t testing.TB, r *rapid.T) {
		jobs, weights, returnAt := returnSession(r, longest)
		replay := newReplay(newGate(admit.NewFair(), weights), jobs)
		replay.run()
		start, finish := firstStarts(jobs, returnAt)
		qt.Assert(t, start <= finish, qt.IsTrue, qt.Commentf("start %s, first finish %s", start, finish))
		guaranteed := limits.Of(contracts(weights), slots)["back"].Guaranteed / 1000
		for at := returnAt + longest + time.Microsecond; at < lastStart(jobs, "back"); at += ms / 2 {
			got := slotsHeld(jobs, "back", at)
			qt.Assert(t, got >= guaranteed, qt.IsTrue, qt.Commentf("holds %d of %d at %s", got, guaranteed, at))
		}
	})
}

// TestFIFOCrowdsOut shows that FIFO does not meet the requirements of TestReturnOfOneCustomer.
func TestFIFOCrowdsOut(t *testing.T) {
	check(t, func(t testing.TB, r *rapid.T) {
		jobs, weights, returnAt := returnSession(r, 8*ms)
		newReplay(newGate(admit.NewFIFO(), weights), jobs).run()
		start, finish := firstStarts(jobs, returnAt)
		qt.Assert(t, start > finish, qt.IsTrue)
		qt.Assert(t, slotsHeld(jobs, "back", returnAt+8*ms), qt.Equals, 0)
	})
}

// TestSharesByWeight checks that customers that all have work waiting get slot time in proportion to their
// weights, whatever their service times are.
func TestSharesByWeight(t *testing.T) {
	const span = 400 * ms
	check(t, func(t testing.TB, r *rapid.T) {
		weights := map[model.Customer]int{}
		service := map[model.Customer]time.Duration{}
		total := 0
		for i := range rapid.IntRange(2, 6).Draw(r, "customers") {
			customer := model.Customer(fmt.Sprintf("c%d", i))
			weights[customer] = rapid.IntRange(1, 20).Draw(r, "weight")
			service[customer] = time.Duration(rapid.IntRange(1, 9).Draw(r, "service")) * ms
			total += weights[customer]
		}
		jobs := backlog(weights, service, span)
		newReplay(newGate(admit.NewFair(), weights), jobs).run()
		for customer, weight := range weights {
			share := slotTime(jobs, customer, span).Seconds() / (slots * span.Seconds())
			want := float64(weight) / float64(total)
			qt.Assert(t, share > 0.9*want-0.01 && share < 1.1*want+0.01, qt.IsTrue,
				qt.Commentf("%s: share %.4f, weight %.4f", customer, share, want))
		}
	})
}

// backlog returns jobs that keep every customer's queue filled over the span.
func backlog(weights map[model.Customer]int, service map[model.Customer]time.Duration, span time.Duration) []*job {
	var jobs []*job
	for i := range len(weights) {
		customer := model.Customer(fmt.Sprintf("c%d", i))
		for at := time.Duration(0); at < span; at += service[customer] * 4 / (5 * slots) {
			jobs = append(jobs, &job{at: at, customer: customer, service: service[customer], deadline: time.Hour})
		}
	}
	return jobs
}

func slotTime(jobs []*job, customer model.Customer, until time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, j := range jobs {
		if j.customer == customer && j.ran() {
			sum += max(0, min(until, j.ended)-j.started)
		}
	}
	return sum
}

// TestBoundedOvertaking sends adversarial load, drawn by rapid, of any class and tier. It checks that a single
// request of one more customer starts within a bound that, for a given longest job, depends only on the number of
// customers.
func TestBoundedOvertaking(t *testing.T) {
	const longest = 10 * ms
	check(t, func(t testing.TB, r *rapid.T) {
		weights := map[model.Customer]int{"victim": rapid.IntRange(1, 10).Draw(r, "victim weight")}
		others := rapid.IntRange(1, 8).Draw(r, "others")
		for i := range others {
			weights[model.Customer(fmt.Sprintf("c%d", i))] = rapid.IntRange(1, 1000).Draw(r, "weight")
		}
		jobs := adversarialJobs(r, others, longest)
		class := model.Class(rapid.IntRange(0, 1).Draw(r, "class"))
		victim := &job{at: 50 * ms, customer: "victim", class: class, service: ms, deadline: time.Hour}
		jobs = append(jobs, victim)
		newReplay(newGate(admit.NewFair(), weights), jobs).run()
		bound := time.Duration(2*(others+1)) * longest
		waited := victim.started - victim.at
		qt.Assert(t, victim.ran() && waited <= bound, qt.IsTrue, qt.Commentf("waited %s of %s", waited, bound))
	})
}

func adversarialJobs(r *rapid.T, customers int, longest time.Duration) []*job {
	var jobs []*job
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
	gap := time.Duration(rapid.IntRange(1, 2000).Draw(r, "gap")) * time.Microsecond
	long := rapid.Float64Range(0, 1).Draw(r, "share of long")
	background := rapid.Float64Range(0, 1).Draw(r, "share of background")
	shortest := time.Duration(rapid.Int64Range(1, int64(longest)).Draw(r, "shortest"))
	for at := time.Duration(0); at < 200*ms && len(jobs) < 2000; at += uniform(random, 0, gap) {
		j := &job{at: at, customer: model.Customer(fmt.Sprintf("c%d", random.IntN(customers)))}
		if random.Float64() < long {
			j.class = model.Long
		}
		if random.Float64() < background {
			j.tier = model.Background
		}
		j.service = uniform(random, shortest, longest)
		j.deadline = time.Hour
		jobs = append(jobs, j)
	}
	return jobs
}
