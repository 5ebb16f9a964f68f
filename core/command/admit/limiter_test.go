package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"comfreytack/core/command/adapt"
	"comfreytack/core/command/admit"
	"comfreytack/core/model"
)

const (
	trialSpan  = 5 * time.Second
	noiseFrom  = 1 * time.Second
	noiseUntil = 4 * time.Second
	// The trials run trialSeeds seeds, from firstSeed on. The limiters' constants were chosen with other seeds.
	trialSeeds = 5
	firstSeed  = 100
)

// cores returns the number of requests that the modelled upstream can run at full speed.
func cores(now time.Duration, noisy bool) float64 {
	if noisy && now >= noiseFrom && now < noiseUntil {
		return slots / 2
	}
	return slots
}

// upstreamModel models how an upstream's speed falls with the number of requests in flight.
type upstreamModel struct {
	name string
	// noisy halves the cores from noiseFrom until noiseUntil.
	noisy bool
	// heavy doubles the service times of requests in that span, while the upstream keeps its speed.
	heavy bool
	// loss is the share of their speed that all requests lose for each request beyond the cores.
	loss float64
	// load is the offered work as a share of the capacity without noise.
	load float64
}

func (m upstreamModel) speed(now time.Duration, n int) float64 {
	excess := max(0, float64(n)-cores(now, m.noisy))
	return min(1, cores(now, m.noisy)/float64(max(1, n))) / (1 + m.loss*excess)
}

// outcome is the result of one trial.
type outcome struct {
	// inTime is the share of the jobs that ended within their deadline, and p99 the latency of those that ran.
	inTime float64
	p99    time.Duration
}

// trial replays a session on a modelled upstream whose slots are set by a limiter with the given policy.
func trial[P adapt.Policy](m upstreamModel, seed uint64, policy P) outcome {
	const service = 5 * ms
	random := rand.New(rand.NewPCG(seed, 0))
	gap := time.Duration(float64(service) / slots / m.load)
	var jobs []*job
	for at := time.Duration(0); at < trialSpan; at += time.Duration(random.ExpFloat64() * float64(gap)) {
		j := &job{at: at, customer: "a", deadline: 100 * ms}
		j.service = time.Duration(max(0.1, random.ExpFloat64()) * float64(service))
		if m.heavy && at >= noiseFrom && at < noiseUntil {
			j.service *= 2
		}
		if random.IntN(3) == 0 {
			j.customer = "b"
		}
		jobs = append(jobs, j)
	}
	limiter := adapt.New(2, slots, policy)
	r := newReplay(newGate(admit.NewFair(), map[model.Customer]int{"a": 1, "b": 1}), jobs)
	r.speed = m.speed
	r.speedChanges = []time.Duration{noiseFrom, noiseUntil}
	r.onFinish = func(j *job) {
		limit := limiter.Observe(r.time(), adapt.Sample{RunTime: j.ended - j.started, InFlight: len(r.running) + 1})
		r.apply(r.gate.Resize(r.time(), limit))
	}
	r.run()
	return measure(jobs, m.noisy || m.heavy)
}

// measure returns the outcome of the jobs that arrived from noiseFrom until noiseUntil, or of all jobs if there was
// no disturbance.
func measure(jobs []*job, disturbed bool) outcome {
	var latencies []time.Duration
	sent, good := 0, 0
	for _, j := range jobs {
		if disturbed && (j.at < noiseFrom || j.at >= noiseUntil) {
			continue
		}
		sent++
		if j.inTime() {
			good++
		}
		if j.ran() {
			latencies = append(latencies, j.ended-j.at)
		}
	}
	slices.Sort(latencies)
	return outcome{inTime: float64(good) / float64(sent), p99: latencies[len(latencies)*99/100]}
}

// TestLimiterTrials compares a table of the limiters' results on several models of an upstream with a golden file.
// The figures describe the models only, not a real upstream.
func TestLimiterTrials(t *testing.T) {
	t.Parallel()
	models := []upstreamModel{
		{name: "quiet, load 0.95", load: 0.95},
		{name: "requests twice as long, load 0.45", load: 0.45, heavy: true},
		{name: "half the cores, load 0.7", load: 0.7, noisy: true},
		{name: "half the cores, loss 0.1, load 0.4", load: 0.4, noisy: true, loss: 0.1},
		{name: "half the cores, loss 0.1, load 0.7", load: 0.7, noisy: true, loss: 0.1},
	}
	limiters := []struct {
		name string
		run  func(m upstreamModel, seed uint64) outcome
	}{
		{name: "fixed", run: func(m upstreamModel, seed uint64) outcome { return trial(m, seed, adapt.Fixed{}) }},
		{name: "aimd, tolerance 1.1", run: func(m upstreamModel, seed uint64) outcome {
			return trial(m, seed, adapt.AIMD{Add: 1, Cut: 0.9, Tolerance: 1.1})
		}},
		{name: "aimd, tolerance 1.5", run: func(m upstreamModel, seed uint64) outcome {
			return trial(m, seed, adapt.AIMD{Add: 1, Cut: 0.9, Tolerance: 1.5})
		}},
		{name: "gradient", run: func(m upstreamModel, seed uint64) outcome {
			return trial(m, seed, adapt.Gradient{Tolerance: 1.2, Headroom: 1, Smoothing: 0.5})
		}},
		{name: "verified", run: func(m upstreamModel, seed uint64) outcome {
			return trial(m, seed, adapt.NewVerified())
		}},
	}
	var table strings.Builder
	for _, m := range models {
		for _, l := range limiters {
			fmt.Fprintf(&table, "%-36s %-20s %s\n", m.name, l.name, summarizeSeeds(l.run, m))
		}
	}
	compareGolden(t, "limiter_trials", table.String())
}

// summarizeSeeds runs all seeds and returns the medians with the minimum and the maximum.
func summarizeSeeds(run func(upstreamModel, uint64) outcome, m upstreamModel) string {
	var shares []float64
	var tails []time.Duration
	for seed := range uint64(trialSeeds) {
		got := run(m, firstSeed+seed)
		shares = append(shares, got.inTime)
		tails = append(tails, got.p99.Round(100*time.Microsecond))
	}
	slices.Sort(shares)
	slices.Sort(tails)
	return fmt.Sprintf("in time %.4f (%.4f to %.4f)  p99 %7s (%s to %s)",
		shares[trialSeeds/2], shares[0], shares[trialSeeds-1], tails[trialSeeds/2], tails[0], tails[trialSeeds-1])
}
