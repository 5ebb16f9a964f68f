package send_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	"pgregory.net/rapid"

	"comfreytack/core/command/budget"
	"comfreytack/core/command/load"
	"comfreytack/core/command/probe"
	"comfreytack/core/model"
	"comfreytack/core/query/route"
	"comfreytack/core/traffic/send"
	"comfreytack/core/traffic/stale"
)

// The bounds that operators of a site set: arrivals beyond the first of each request in a window.
const (
	budgetRatio  = 0.2
	budgetSlack  = 64
	budgetWindow = 10 * time.Second
	modelTime    = budgetWindow + 2*time.Second
)

// city is a service with a daemon beside each upstream. Some upstreams have been replaced, and the instance list has not
// followed.
type city struct {
	now      time.Time
	replaced map[model.UpstreamName]bool
	gates    map[model.UpstreamName]*stale.Memory
	// arrivals counts the calls that the upstreams got for the request that is being sent.
	arrivals int
}

// attempt is one request in the city. It implements send.Attempter: the gates and upstreams that it meets.
type attempt struct{ *city }

func (a attempt) CanResend() bool { return true }

func (a attempt) Attempt(_ context.Context, call model.Call, upstream model.Upstream, ended func(load.Result)) (string, *model.GateReport, *model.Failure) {
	reason := a.reason(call, upstream)
	if reason == model.InstanceRefused {
		a.gates[upstream.Name].Learn(a.now, upstream.Name, call.Instance, reason)
	}
	ended(load.ResultOf(reason))
	if reason == model.NoReason {
		return "answer", nil, nil
	}
	return "", nil, &model.Failure{Verdict: model.NotRun, Reason: reason}
}

func (a attempt) reason(call model.Call, upstream model.Upstream) model.Reason {
	if a.gates[upstream.Name].Refuses(a.now, upstream.Name, call.Instance) {
		return model.InstanceStale
	}
	a.arrivals++
	if a.replaced[upstream.Name] {
		return model.InstanceRefused
	}
	return model.NoReason
}

// anyOf chooses at random, the same with every run of a seed.
type anyOf struct{ random *rand.Rand }

// Choose implements route.Policy.
func (p anyOf) Choose(_ time.Time, _ route.Random, candidates []route.Candidate) int {
	return p.random.IntN(len(candidates))
}

// TestManyReplacedUpstreams lets all daemons of a service send calls while the instance list names many upstreams that
// have been replaced. Calls that those refuse count as arrivals, which must stay within the budget of retries; and calls
// must be served.
func TestManyReplacedUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{17, 70}).Draw(t, "daemons")
		share := rapid.IntRange(10, 90).Draw(t, "percent replaced")
		rate := rapid.IntRange(60, 100).Draw(t, "calls per second")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		checkReplaced(t, size, size*share/100, rate, random)
	})
}

func checkReplaced(t *rapid.T, size, replaced, rate int, random *rand.Rand) {
	start := time.Unix(1000, 0)
	world := &city{now: start, replaced: map[model.UpstreamName]bool{}, gates: map[model.UpstreamName]*stale.Memory{}}
	var upstreams []model.Upstream
	for i := range size {
		name := model.UpstreamName(fmt.Sprintf("beds-%d", i))
		upstreams = append(upstreams, model.Upstream{Name: name, Service: "beds", Instance: model.InstanceID(name)})
		world.replaced[name] = i < replaced
		world.gates[name] = &stale.Memory{}
	}
	daemons := make([]*send.Sender[anyOf], size)
	for i := range daemons {
		daemons[i] = world.daemon(upstreams, anyOf{random})
	}
	// extra has the arrivals beyond the first of each call, in the order of the calls.
	var extra []int
	served := 0
	for i := range rate * int(modelTime/time.Second) {
		world.now = start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		world.arrivals = 0
		call := model.Call{Service: "beds", Route: "hold", Deadline: world.now.Add(time.Second)}
		_, failure := send.Send(context.Background(), daemons[random.IntN(size)], call, attempt{world})
		if failure == nil {
			served++
		}
		extra = append(extra, max(0, world.arrivals-1))
	}
	window, sum := rate*int(budgetWindow/time.Second), 0
	for i := range extra {
		sum += extra[i]
		if i >= window {
			sum -= extra[i-window]
		}
		if float64(sum) > budgetRatio*float64(window)+budgetSlack {
			t.Fatalf("%d arrivals beyond the first of %d calls", sum, window)
		}
	}
	if served <= len(extra)/2 {
		t.Fatalf("%d of %d calls served", served, len(extra))
	}
}

// daemon returns the sender of one daemon, with the budget of a large site.
func (c *city) daemon(upstreams []model.Upstream, policy anyOf) *send.Sender[anyOf] {
	snapshot := &model.Snapshot{
		Services: map[model.ServiceName]model.Service{"beds": {Upstreams: upstreams}},
		Leaving:  mapset.NewThreadUnsafeSet[model.UpstreamName](),
		Limits:   map[model.Customer]model.Limits{"": {RetryPercent: 10}},
	}
	now := func() time.Time { return c.now }
	return send.New(send.Settings{
		Snapshot:    func() *model.Snapshot { return snapshot },
		Now:         now,
		Tracker:     load.New(model.Upstream{Name: "self"}, load.DefaultSettings()),
		ProbeBudget: probe.New(c.now, probe.DefaultSettings()),
		Retries:     budget.New(budget.Settings{MaxKeys: 1024, Idle: time.Minute, Reserve: 1, Burst: 2}),
	}, route.New(policy))
}
