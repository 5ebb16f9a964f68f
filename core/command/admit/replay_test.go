package admit_test

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"comfreytack/core/command/admit"
	"comfreytack/core/model"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestMain(m *testing.M) {
	flag.Parse()
	for _, setting := range []struct{ name, value string }{
		{name: "rapid.seed", value: "1"},
		{name: "rapid.nofailfile", value: "true"},
	} {
		if err := flag.Set(setting.name, setting.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1000, 0)

// job is one request of a replayed session. Its ticket's ID is its position in the session, from 1.
type job struct {
	at       time.Duration
	customer model.Customer
	tier     model.Tier
	class    model.Class
	// path is the request's path if its class is to be learnt; class is then the class known on arrival.
	path string
	// service is how long the job runs at the upstream's full speed.
	service time.Duration
	// deadline is relative to the arrival.
	deadline time.Duration

	decision admit.Decision
	started  time.Duration
	ended    time.Duration
	// left is the rest of service, in seconds.
	left    float64
	overrun bool
}

func (j *job) ran() bool { return j.ended > 0 }

func (j *job) inTime() bool { return j.ran() && j.ended <= j.at+j.deadline }

// replay runs a session through a gate and a model of its upstream, in virtual time.
type replay[D admit.Discipline] struct {
	gate *admit.Gate[D]
	jobs []*job
	// speed returns the speed of each of n jobs in flight, where 1 is the upstream's full speed. For the same n
	// it changes only at the times in speedChanges.
	speed        func(now time.Duration, n int) float64
	speedChanges []time.Duration
	// onArrival is called before each arrival, onOverrun for each job that TakeOverruns returns, and onFinish after
	// each job that ended.
	onArrival func(j *job)
	onOverrun func(j *job)
	onFinish  func(j *job)

	// logging enables log, which has one line for each event and each decision.
	logging bool
	log     strings.Builder

	now     time.Duration
	running []uint64
}

func newReplay[D admit.Discipline](gate *admit.Gate[D], jobs []*job) *replay[D] {
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.at, b.at) })
	return &replay[D]{
		gate:      gate,
		jobs:      jobs,
		speed:     func(time.Duration, int) float64 { return 1 },
		onArrival: func(*job) {},
		onOverrun: func(*job) {},
		onFinish:  func(*job) {},
	}
}

func (r *replay[D]) time() time.Time { return epoch.Add(r.now) }

func (r *replay[D]) job(id uint64) *job { return r.jobs[id-1] }

// run replays the whole session and returns the log.
func (r *replay[D]) run() string {
	next := 0
	for {
		at, done := r.firstToEnd()
		if next < len(r.jobs) && (done == 0 || r.jobs[next].at < at) {
			at = r.jobs[next].at
			done = 0
		}
		if deadline, found := r.gate.NextDeadline(); found && deadline.Sub(epoch) < at {
			r.elapse(deadline.Sub(epoch))
			r.apply(r.gate.Expire(r.time()))
			continue
		}
		if len(r.speedChanges) > 0 && r.speedChanges[0] <= at {
			r.elapse(r.speedChanges[0])
			r.speedChanges = r.speedChanges[1:]
			continue
		}
		if done == 0 && next == len(r.jobs) {
			return r.log.String()
		}
		r.elapse(at)
		if done != 0 {
			r.end(done)
			continue
		}
		next++
		r.arrive(uint64(next))
	}
}

func (r *replay[D]) arrive(id uint64) {
	j := r.job(id)
	j.left = j.service.Seconds()
	r.onArrival(j)
	r.logf("arrive %d %s %s %s", id, j.customer, j.tier, j.class)
	r.apply([]admit.Decision{r.gate.Arrive(r.time(), r.ticket(id))})
}

func (r *replay[D]) ticket(id uint64) admit.Ticket {
	j := r.job(id)
	return admit.Ticket{
		ID:        id,
		Customer:  j.customer,
		Tier:      j.tier,
		Class:     j.class,
		ArrivedAt: epoch.Add(j.at),
		Deadline:  epoch.Add(j.at + j.deadline),
	}
}

func (r *replay[D]) end(id uint64) {
	j := r.job(id)
	j.ended = r.now
	r.running = slices.DeleteFunc(r.running, func(other uint64) bool { return other == id })
	r.logf("finish %d %s", id, j.customer)
	r.apply(r.gate.Finish(r.time(), id))
	r.onFinish(j)
}

func (r *replay[D]) apply(decisions []admit.Decision) {
	for _, id := range r.gate.TakeOverruns() {
		r.job(id).overrun = true
		r.onOverrun(r.job(id))
	}
	for _, d := range decisions {
		j := r.job(d.Ticket)
		j.decision = d
		switch d.Action {
		case admit.Start:
			j.started = r.now
			r.running = append(r.running, d.Ticket)
			r.logf("  start %d %s, waited %s", d.Ticket, j.customer, r.now-j.at)
		case admit.Wait:
			r.logf("  wait %d %s", d.Ticket, j.customer)
		case admit.Refuse:
			r.logf("  refuse %d %s: %s, retry after %s", d.Ticket, j.customer, d.Reason, d.RetryAfter.Round(10*time.Microsecond))
		}
	}
}

// firstToEnd returns when the next running job ends at the present speed, and its ID, or 0 if none runs.
func (r *replay[D]) firstToEnd() (time.Duration, uint64) {
	first := uint64(0)
	for _, id := range r.running {
		if first == 0 || r.job(id).left < r.job(first).left {
			first = id
		}
	}
	if first == 0 {
		return 1 << 62, 0
	}
	left := max(0, r.job(first).left/r.speed(r.now, len(r.running)))
	return r.now + time.Duration(left*float64(time.Second)+1), first
}

// elapse sets the time and advances the running jobs.
func (r *replay[D]) elapse(now time.Duration) {
	done := (now - r.now).Seconds() * r.speed(r.now, len(r.running))
	for _, id := range r.running {
		r.job(id).left -= done
	}
	r.now = now
}

func (r *replay[D]) logf(format string, args ...any) {
	if !r.logging {
		return
	}
	fmt.Fprintf(&r.log, "%9.3fms ", r.now.Seconds()*1000)
	fmt.Fprintf(&r.log, format, args...)
	r.log.WriteByte('\n')
}

// contracts returns contracts for standard customers of the given weights.
func contracts(weights map[model.Customer]int) map[model.Customer]model.Contract {
	made := map[model.Customer]model.Contract{}
	for customer, weight := range weights {
		made[customer] = model.Contract{Customer: customer, Weight: weight, DeadlineMs: 2000, LongestMs: 60000}
	}
	return made
}
