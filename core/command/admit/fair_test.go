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

// asserter lets quicktest report to rapid, whose T lacks methods of testing.TB.
type asserter struct {
	testing.TB
	t *rapid.T
}

func (a asserter) Fatal(args ...any) { a.t.Fatal(args...) }

// check runs a property under rapid.
func check(t *testing.T, property func(t testing.TB, r *rapid.T)) {
	rapid.Check(t, func(r *rapid.T) { property(asserter{TB: t, t: r}, r) })
}

func gateOf[D admit.Discipline](discipline D, weights map[model.Customer]int) *admit.Gate[D] {
	gate := admit.New(slots, discipline)
	gate.SetLimits(epoch, slots, limits.Of(contracts(weights), slots))
	return gate
}

// between returns a time that is spread evenly from shortest to longest.
func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)+1))
}

// crowd returns short jobs of one customer that come much faster than the gate can serve them.
func crowd(random *rand.Rand, customer model.Customer, span, longest time.Duration) []*job {
	var jobs []*job
	for at := time.Duration(0); at < span; at += ms / 5 {
		jobs = append(jobs, &job{at: at, customer: customer, service: between(random, ms, longest), deadline: time.Hour})
	}
	return jobs
}

// returning draws a session in which one customer has borrowed every slot, some of them for long work,
// when another returns with a hundred requests at once.
func returning(r *rapid.T, longest time.Duration) (jobs []*job, weights map[model.Customer]int, back time.Duration) {
	weights = map[model.Customer]int{
		"busy": rapid.IntRange(1, 1000).Draw(r, "busy weight"),
		"back": rapid.IntRange(1, 1000).Draw(r, "back weight"),
	}
	back = 60*ms + time.Duration(rapid.IntRange(0, 999).Draw(r, "back at"))*time.Microsecond
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
	jobs = crowd(random, "busy", 120*ms, longest)
	for range rapid.IntRange(0, 3).Draw(r, "long") {
		jobs = append(jobs, &job{customer: "busy", class: model.Long, service: time.Second, deadline: time.Hour})
	}
	for range 100 {
		jobs = append(jobs, &job{at: back, customer: "back", service: between(random, ms, longest), deadline: time.Hour})
	}
	return jobs, weights, back
}

// firstStarts returns the first start and the first finish after the return.
func firstStarts(jobs []*job, back time.Duration) (start, finish time.Duration) {
	start, finish = time.Hour, time.Hour
	for _, j := range jobs {
		if j.customer == "back" && j.ran() {
			start = min(start, j.started)
		}
		if j.ended > back {
			finish = min(finish, j.ended)
		}
	}
	return start, finish
}

// lastStart returns when a customer's last job started: until then it had work waiting.
func lastStart(jobs []*job, customer model.Customer) time.Duration {
	last := time.Duration(0)
	for _, j := range jobs {
		if j.customer == customer {
			last = max(last, j.started)
		}
	}
	return last
}

// holding counts the slots that a customer holds at the given time.
func holding(jobs []*job, customer model.Customer, at time.Duration) int {
	count := 0
	for _, j := range jobs {
		if j.customer == customer && j.ran() && j.started <= at && at < j.ended {
			count++
		}
	}
	return count
}

func TestReturnOfOneCustomer(t *testing.T) {
	const longest = 8 * ms
	check(t, func(t testing.TB, r *rapid.T) {
		jobs, weights, back := returning(r, longest)
		replay := newReplay(gateOf(admit.NewFair(), weights), jobs)
		replay.run()
		start, finish := firstStarts(jobs, back)
		qt.Assert(t, start <= finish, qt.IsTrue, qt.Commentf("start %s, first finish %s", start, finish))
		guaranteed := limits.Of(contracts(weights), slots)["back"].Guaranteed / 1000
		for at := back + longest + time.Microsecond; at < lastStart(jobs, "back"); at += ms / 2 {
			got := holding(jobs, "back", at)
			qt.Assert(t, got >= guaranteed, qt.IsTrue, qt.Commentf("holds %d of %d at %s", got, guaranteed, at))
		}
	})
}

// TestFIFOCrowdsOut shows that arrival order breaks what TestReturnOfOneCustomer asks for.
func TestFIFOCrowdsOut(t *testing.T) {
	check(t, func(t testing.TB, r *rapid.T) {
		jobs, weights, back := returning(r, 8*ms)
		newReplay(gateOf(admit.NewFIFO(), weights), jobs).run()
		start, finish := firstStarts(jobs, back)
		qt.Assert(t, start > finish, qt.IsTrue)
		qt.Assert(t, holding(jobs, "back", back+8*ms), qt.Equals, 0)
	})
}

// TestSharesByWeight holds the shares of slot time to the weights while all customers have work waiting,
// whatever their service times are.
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
		newReplay(gateOf(admit.NewFair(), weights), jobs).run()
		for customer, weight := range weights {
			share := slotTime(jobs, customer, span).Seconds() / (slots * span.Seconds())
			want := float64(weight) / float64(total)
			qt.Assert(t, share > 0.9*want-0.01 && share < 1.1*want+0.01, qt.IsTrue,
				qt.Commentf("%s: share %.4f, weight %.4f", customer, share, want))
		}
	})
}

// backlog keeps every customer's queue filled over the span.
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

// TestBoundedOvertaking sends the worst that rapid finds, in any class and tier, and asks that one request
// of one more customer starts within a bound that depends on the number of customers alone.
func TestBoundedOvertaking(t *testing.T) {
	const longest = 10 * ms
	check(t, func(t testing.TB, r *rapid.T) {
		weights := map[model.Customer]int{"victim": rapid.IntRange(1, 10).Draw(r, "victim weight")}
		others := rapid.IntRange(1, 8).Draw(r, "others")
		for i := range others {
			weights[model.Customer(fmt.Sprintf("c%d", i))] = rapid.IntRange(1, 1000).Draw(r, "weight")
		}
		jobs := adversary(r, others, longest)
		class := model.Class(rapid.IntRange(0, 1).Draw(r, "class"))
		victim := &job{at: 50 * ms, customer: "victim", class: class, service: ms, deadline: time.Hour}
		jobs = append(jobs, victim)
		newReplay(gateOf(admit.NewFair(), weights), jobs).run()
		bound := time.Duration(2*(others+1)) * longest
		waited := victim.started - victim.at
		qt.Assert(t, victim.ran() && waited <= bound, qt.IsTrue, qt.Commentf("waited %s of %s", waited, bound))
	})
}

func adversary(r *rapid.T, customers int, longest time.Duration) []*job {
	var jobs []*job
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
	gap := time.Duration(rapid.IntRange(1, 2000).Draw(r, "gap")) * time.Microsecond
	long := rapid.Float64Range(0, 1).Draw(r, "share of long")
	background := rapid.Float64Range(0, 1).Draw(r, "share of background")
	shortest := time.Duration(rapid.Int64Range(1, int64(longest)).Draw(r, "shortest"))
	for at := time.Duration(0); at < 200*ms && len(jobs) < 2000; at += between(random, 0, gap) {
		j := &job{at: at, customer: model.Customer(fmt.Sprintf("c%d", random.IntN(customers)))}
		if random.Float64() < long {
			j.class = model.Long
		}
		if random.Float64() < background {
			j.tier = model.Background
		}
		j.service = between(random, shortest, longest)
		j.deadline = time.Hour
		jobs = append(jobs, j)
	}
	return jobs
}
