package send_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/budget"
	"comfreytack/core/command/load"
	"comfreytack/core/command/probe"
	"comfreytack/core/command/warm"
	"comfreytack/core/model"
	"comfreytack/core/query/route"
	"comfreytack/core/traffic/send"
)

const (
	replayDomains   = 4
	replayPerDomain = 3
	replaySlots     = 10
	replayWork      = 100 * time.Millisecond
	replayLength    = 4 * time.Second
	// coldPerS is what a cold upstream tolerates; its limiter gives it half as much again in any second at most.
	coldPerS = 20
)

// replayGate is the gate of one upstream in virtual time.
type replayGate struct {
	limiter  *warm.Limiter
	inFlight int
	sent     []time.Time
}

// replay is a service in virtual time, with one entry in each failure domain.
type replay struct {
	now     time.Time
	gates   map[model.UpstreamName]*replayGate
	entries []*send.Sender[route.Policy]
	// ends has the ends of running calls in the order of their times.
	ends []replayEnd
}

type replayEnd struct {
	at  time.Time
	end func()
}

// newReplay returns a service whose upstreams in the domain "d0" are cold, or left out as if it were evacuated.
func newReplay(evacuated bool) *replay {
	r := &replay{now: time.Unix(1000, 0), gates: map[model.UpstreamName]*replayGate{}}
	service := model.Service{Name: "beds", WarmupPerS: coldPerS}
	for d := range replayDomains {
		for i := range replayPerDomain {
			upstream := model.Upstream{Name: model.UpstreamName(fmt.Sprintf("u%d-%d", d, i)), Service: "beds", FailureDomain: domainName(d), Instance: "i"}
			if d == 0 {
				upstream.WarmupLeftMs = int(2 * replayLength / time.Millisecond)
			}
			service.Upstreams = append(service.Upstreams, upstream)
		}
	}
	for _, upstream := range service.Upstreams {
		gate := &replayGate{limiter: warm.New(r.now, warm.Bounds{})}
		gate.limiter.Listed(r.now, upstream, service)
		r.gates[upstream.Name] = gate
	}
	snapshot := &model.Snapshot{Services: map[model.ServiceName]model.Service{"beds": service}, Leaving: mapset.NewThreadUnsafeSet[model.UpstreamName]()}
	if evacuated {
		snapshot.Open = map[model.ServiceName][]model.Upstream{"beds": service.Upstreams[replayPerDomain:]}
	}
	for d := range replayDomains {
		r.entries = append(r.entries, send.New(send.Settings{
			Snapshot:    func() *model.Snapshot { return snapshot },
			Now:         func() time.Time { return r.now },
			Tracker:     load.New(model.Upstream{Name: "self", FailureDomain: domainName(d)}, load.DefaultSettings()),
			ProbeBudget: probe.New(r.now, probe.DefaultSettings()),
			Retries:     budget.New(budget.DefaultSettings()),
		}, route.New(route.ByName("near_first").MustGet())))
	}
	return r
}

func domainName(d int) model.FailureDomain { return model.FailureDomain(fmt.Sprintf("d%d", d)) }

// advance ends the calls whose time has come.
func (r *replay) advance(to time.Time) {
	for len(r.ends) > 0 && !r.ends[0].at.After(to) {
		r.now = r.ends[0].at
		r.ends[0].end()
		r.ends = r.ends[1:]
	}
	r.now = to
}

// Attempt implements send.Attempter.
func (r *replay) Attempt(_ context.Context, call model.Call, upstream model.Upstream, ended func(load.Result)) (string, *model.GateReport, *model.Failure) {
	gate := r.gates[upstream.Name]
	failure := gate.admit(r.now, call)
	state := gate.limiter.State(r.now)
	report := &model.GateReport{
		Upstream: upstream.Name, InFlight: gate.inFlight, Slots: replaySlots,
		ColdMs: int(state.Left.Milliseconds()), ColdRoom: state.Room, ColdWaitMs: int(state.Wait.Milliseconds()),
	}
	if failure != nil {
		ended(load.ResultOf(failure.Reason))
		return "", report, failure
	}
	at := r.now.Add(replayWork)
	position, _ := slices.BinarySearchFunc(r.ends, at, func(e replayEnd, at time.Time) int { return cmp.Or(e.at.Compare(at), -1) })
	r.ends = slices.Insert(r.ends, position, replayEnd{at: at, end: func() {
		gate.inFlight--
		ended(load.Answered)
	}})
	return "answer", report, nil
}

// admit takes a slot and counts the send, or refuses.
func (g *replayGate) admit(now time.Time, call model.Call) *model.Failure {
	refuse := func(reason model.Reason) *model.Failure {
		return &model.Failure{Verdict: model.NotRun, Reason: reason, RetryAfter: replayWork}
	}
	if g.inFlight >= replaySlots {
		if call.Forced {
			return refuse(model.TooLate)
		}
		return refuse(model.NearlyFull)
	}
	if g.limiter.State(now).Left > 0 {
		if g.limiter.Begin(now, false).Action != warm.Start {
			return refuse(model.UpstreamCold)
		}
		g.sent = append(g.sent, now)
	}
	g.inFlight++
	return nil
}

// CanResend implements send.Attempter.
func (r *replay) CanResend() bool { return true }

// play offers calls at the given rate and returns how many there were and how many were answered.
func (r *replay) play(t *testing.T, perS int) (calls, answered int) {
	t.Helper()
	start := r.now
	random := rand.New(rand.NewPCG(1, 1))
	for at := start; at.Before(start.Add(replayLength)); at = at.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perS))) {
		r.advance(at)
		calls++
		call := model.Call{Service: "beds", Deadline: at.Add(time.Second), Target: at.Add(time.Second)}
		_, failure := send.Send(context.Background(), r.entries[random.IntN(replayDomains)], call, r)
		if failure == nil {
			answered++
			continue
		}
		qt.Assert(t, failure.Verdict, qt.Equals, model.NotRun)
		qt.Assert(t, failure.RetryAfter > 0, qt.IsTrue)
	}
	return calls, answered
}

// coldSends returns how many calls the cold upstreams got, and checks that none got too many in any second.
func (r *replay) coldSends(t *testing.T) int {
	t.Helper()
	const most = coldPerS * 3 / 2
	total := 0
	for _, gate := range r.gates {
		total += len(gate.sent)
		for j := most; j < len(gate.sent); j++ {
			qt.Assert(t, gate.sent[j].Sub(gate.sent[j-most]) >= time.Second, qt.IsTrue)
		}
	}
	return total
}

// TestDomainComesBackCold replays a failure domain whose upstreams come back cold together. The cold ones never get more
// than they tolerate; when the others are full, they get nearly all of it; and what they refuse is not lost, so that more
// calls are answered than without the domain.
func TestDomainComesBackCold(t *testing.T) {
	const warmPerS = (replayDomains - 1) * replayPerDomain * int(replaySlots*time.Second/replayWork)
	const tolerated = replayPerDomain * coldPerS * int(replayLength/time.Second)
	tests := []struct {
		name string
		perS int
		// lost is how many calls in a hundred may be lost, compared with the domain evacuated, and cold what share of all
		// that the cold upstreams tolerate they get at least, in percent.
		lost, cold int
	}{
		{name: "the others have room", perS: warmPerS / 2, lost: 1},
		{name: "the others are nearly full", perS: warmPerS * 9 / 10, lost: 1},
		{name: "more than all can take", perS: warmPerS * 5 / 4, lost: 1, cold: 90},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, without := newReplay(true).play(t, test.perS)
			back := newReplay(false)
			calls, answered := back.play(t, test.perS)
			cold := back.coldSends(t)
			t.Logf("%d calls, %d answered without the domain, %d with it cold, which got %d of %d", calls, without, answered, cold, tolerated)
			qt.Assert(t, answered >= without-calls*test.lost/100, qt.IsTrue)
			qt.Assert(t, cold*100 >= tolerated*test.cold, qt.IsTrue)
		})
	}
}
