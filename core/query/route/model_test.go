package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"comfreytack/core/command/budget"
	"comfreytack/core/command/load"
	"comfreytack/core/command/probe"
	"comfreytack/core/model"
	"comfreytack/core/query/retry"
	"comfreytack/core/query/route"
)

// This file simulates a deployment; it measures no real processes. Servers have slots and one FIFO queue, daemons use
// the real load tracker and the real policies, and events take place in virtual time.

const (
	modelService    = model.ServiceName("buscador")
	modelServers    = 5
	modelSlots      = 10
	modelQueue      = 40
	modelWork       = 10 * time.Millisecond
	modelDeadline   = 300 * time.Millisecond
	modelWarmUp     = 300 * time.Millisecond
	modelFaultStart = 400 * time.Millisecond
	failFastTime    = 200 * time.Microsecond
	sameDomain      = 100 * time.Microsecond
	otherDomain     = 1500 * time.Microsecond
	shiftEvery      = 5 * time.Millisecond
	shiftFactor     = 4
	coldFactor      = 8
	coldTime        = 2 * time.Second
)

var modelStart = time.Unix(1000, 0)

// scenario is a load and a fault.
type scenario struct {
	name string
	// load is the share of the slots of all servers that the calls need.
	load    float64
	daemons int
	// slow is how many times longer work takes on server 0.
	slow float64
	// slowFrom is when server 0 becomes slow, and slowUntil when it recovers; zero for never.
	slowFrom, slowUntil time.Duration
	// coldFrom is when server 0 restarts; work then takes up to 8 times longer until it is warm.
	coldFrom time.Duration
	// shifting slows another server every 5 ms.
	shifting bool
	// failFast makes server 0 answer each call with an error almost at once.
	failFast bool
	// reportLag is the age of reports when they arrive; reportsIdle makes server 0 report that it is idle.
	reportLag   time.Duration
	reportsIdle bool
	// hedgeAfter is the delay after which an idempotent call without an answer is sent again; zero for never.
	hedgeAfter time.Duration
	// redrawn draws the work of each attempt anew; otherwise the work belongs to the request.
	redrawn bool
}

// outcome is the result of one run.
type outcome struct {
	sent, served, retries, hedges, probes int
	// latencies has one entry for each answered call; failed calls are left out.
	latencies []time.Duration
	// byServer counts the attempts sent to each server.
	byServer [modelServers]int
}

func (o *outcome) quantile(q float64) time.Duration {
	slices.Sort(o.latencies)
	return o.latencies[int(q*float64(len(o.latencies)-1))]
}

func (o *outcome) servedShare() float64 {
	return float64(o.served) / float64(o.sent)
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simulation struct {
	scenario scenario
	random   *rand.Rand
	now      time.Duration
	order    int
	queue    events
	servers  []*server
	daemons  []*daemon
	budgets  *budget.Buckets
	result   outcome
	// trace is called for every pick; it may be nil.
	trace func(d *daemon, c *call, upstream model.Upstream, candidates []route.Candidate)
}

type server struct {
	index       int
	upstream    model.Upstream
	incarnation model.Incarnation
	factor      float64
	running     int
	waiting     []*attempt
	// serviceUs is the gate's mean of recent service times.
	serviceUs float64
	history   []pastReport
}

type pastReport struct {
	at     time.Duration
	report model.GateReport
}

type daemon struct {
	domain      model.FailureDomain
	serverIndex int
	tracker     *load.Tracker
	picker      *route.Picker[route.Policy]
	probeBudget *probe.Budget
	upstreams   []model.Upstream
	buffer      []route.Candidate
}

type call struct {
	at    time.Duration
	work  time.Duration
	state retry.State
	tried []model.UpstreamName
	open  []*attempt
	done  bool
}

type attempt struct {
	call     *call
	daemon   *daemon
	server   *server
	loadCall load.Call
	sentAt   time.Duration
	started  bool
	closed   bool
}

func newSimulation(s scenario, policy func() route.Policy, seed uint64) *simulation {
	w := &simulation{
		scenario: s,
		random:   rand.New(rand.NewPCG(seed, seed)),
		budgets:  budget.New(budget.Settings{MaxKeys: 1, Idle: time.Hour, Reserve: 1, Burst: 20}),
	}
	var upstreams []model.Upstream
	for i := range modelServers {
		upstream := model.Upstream{
			Name:          model.UpstreamName(fmt.Sprintf("buscador-%d", i)),
			Incarnation:   1,
			Service:       modelService,
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%4)),
		}
		upstreams = append(upstreams, upstream)
		w.servers = append(w.servers, &server{index: i, upstream: upstream, incarnation: 1, factor: 1, serviceUs: 10_000})
	}
	var names []model.UpstreamName
	for _, upstream := range upstreams {
		names = append(names, upstream.Name)
	}
	for i := range s.daemons {
		self := upstreams[i%modelServers]
		self.Name = model.UpstreamName(fmt.Sprintf("daemon-%d", i))
		probeBudget := probe.New(modelStart, probe.DefaultSettings())
		probeBudget.SetUpstreams(names)
		w.daemons = append(w.daemons, &daemon{
			probeBudget: probeBudget,
			domain:      self.FailureDomain, serverIndex: i % modelServers, upstreams: upstreams,
			tracker: load.New(self, load.DefaultSettings()), picker: route.New(policy()),
		})
	}
	return w
}

func (w *simulation) time() time.Time { return modelStart.Add(w.now) }

func (w *simulation) after(wait time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + wait, order: w.order, do: do})
}

// run sends calls for the given virtual time and runs until all have ended.
func (w *simulation) run(length time.Duration) *outcome {
	rate := w.scenario.load * modelServers * modelSlots / modelWork.Seconds()
	var arrive func()
	arrive = func() {
		if w.now >= length {
			return
		}
		w.arrival()
		w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	w.after(0, arrive)
	if w.scenario.slow > 0 {
		w.after(w.scenario.slowFrom, func() { w.servers[0].factor = w.scenario.slow })
	}
	if w.scenario.slowUntil > 0 {
		w.after(w.scenario.slowUntil, func() { w.servers[0].factor = 1 })
	}
	if w.scenario.coldFrom > 0 {
		w.after(w.scenario.coldFrom, func() { w.servers[0].incarnation++ })
	}
	if w.scenario.shifting {
		w.shift(length)
	}
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	return &w.result
}

func (w *simulation) shift(length time.Duration) {
	for _, s := range w.servers {
		s.factor = 1
	}
	w.servers[w.random.IntN(modelServers)].factor = shiftFactor
	if w.now < length {
		w.after(shiftEvery, func() { w.shift(length) })
	}
}

func (w *simulation) drawWork() time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(modelWork))
}

func (w *simulation) arrival() {
	c := &call{at: w.now, work: w.drawWork(), state: retry.State{Deadline: w.time().Add(modelDeadline), Idempotent: true}}
	if w.measured(c) {
		w.result.sent++
	}
	d := w.daemons[w.random.IntN(len(w.daemons))]
	w.budgets.Deposit(w.time(), budget.Key{Customer: "a"}, 10)
	w.sendAttempt(d, c)
	if w.scenario.hedgeAfter > 0 {
		w.after(w.scenario.hedgeAfter, func() { w.hedge(d, c) })
	}
}

func (w *simulation) hedge(d *daemon, c *call) {
	if !c.done && len(c.open) > 0 && w.budgets.Withdraw(w.time(), budget.Key{Customer: "a"}, 0) {
		if w.measured(c) {
			w.result.hedges++
		}
		w.sendAttempt(d, c)
	}
}

func (w *simulation) measured(c *call) bool { return c.at >= modelWarmUp }

func (w *simulation) sendAttempt(d *daemon, c *call) {
	d.buffer = d.tracker.Candidates(w.time(), modelService, d.upstreams, d.buffer)
	candidates := route.Without(d.buffer, c.tried)
	picked, found := d.picker.Pick(w.time(), w.random.IntN, candidates)
	if !found {
		return
	}
	upstream := picked.Upstream
	if w.trace != nil {
		w.trace(d, c, upstream, candidates)
	}
	s := w.server(upstream.Name)
	w.result.byServer[s.index]++
	c.tried = append(c.tried, upstream.Name)
	c.state.Attempts++
	c.state.Untried = modelServers - len(c.tried)
	a := &attempt{call: c, daemon: d, server: s, loadCall: d.tracker.Began(w.time(), upstream.Name), sentAt: w.now}
	c.open = append(c.open, a)
	w.after(oneWay(d, s), func() { w.atGate(a) })
	d.probeBudget.Sent()
	w.sendProbe(d)
}

// sendProbe asks a gate for a report if the probe budget grants it.
func (w *simulation) sendProbe(d *daemon) {
	name, granted := d.probeBudget.Next(w.time())
	if !granted {
		return
	}
	w.result.probes++
	s := w.server(name)
	w.after(oneWay(d, s), func() {
		report := w.report(s)
		w.after(oneWay(d, s), func() { w.receiveReport(d, report) })
	})
}

func (w *simulation) receiveReport(d *daemon, report model.GateReport) {
	d.tracker.Reported(w.time(), report)
	d.probeBudget.ReportReceived(w.time(), report.Upstream)
}

func (w *simulation) server(name model.UpstreamName) *server {
	at := slices.IndexFunc(w.servers, func(s *server) bool { return s.upstream.Name == name })
	return w.servers[at]
}

func oneWay(d *daemon, s *server) time.Duration {
	switch {
	case d.serverIndex == s.index:
		return 0
	case d.domain == s.upstream.FailureDomain:
		return sameDomain
	default:
		return otherDomain
	}
}

func (w *simulation) atGate(a *attempt) {
	s := a.server
	expected := time.Duration(float64(len(s.waiting)) * s.serviceUs / modelSlots * float64(time.Microsecond))
	switch {
	case a.closed:
	case w.scenario.failFast && s.index == 0:
		w.after(failFastTime, func() { w.reply(a, load.Failed) })
	case s.running < modelSlots:
		w.start(a)
	case len(s.waiting) >= modelQueue || w.now+expected > a.call.at+modelDeadline:
		w.reply(a, load.Refused)
	default:
		s.waiting = append(s.waiting, a)
	}
}

func (w *simulation) start(a *attempt) {
	s := a.server
	s.running++
	a.started = true
	if w.scenario.redrawn {
		a.call.work = w.drawWork()
	}
	work := time.Duration(float64(a.call.work) * w.factor(s))
	w.after(work, func() {
		if a.closed {
			return
		}
		s.serviceUs += 0.1 * (float64(work.Microseconds()) - s.serviceUs)
		w.freeSlot(s)
		w.reply(a, load.Answered)
	})
}

// factor returns how many times longer work takes that starts now.
func (w *simulation) factor(s *server) float64 {
	if s.incarnation == 1 {
		return s.factor
	}
	cold := 1 - float64(w.now-w.scenario.coldFrom)/float64(coldTime)
	return 1 + (coldFactor-1)*max(0, cold)
}

func (w *simulation) freeSlot(s *server) {
	s.running--
	for len(s.waiting) > 0 && s.running < modelSlots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !next.closed {
			w.start(next)
		}
	}
}

// report returns the gate's report: the current one, an old one or the false report of an idle server.
func (w *simulation) report(s *server) model.GateReport {
	mean := int64(s.serviceUs)
	current := model.GateReport{
		Upstream: s.upstream.Name, Incarnation: s.incarnation, Slots: modelSlots,
		InFlight: s.running, Queued: len(s.waiting),
		ServiceUs: mean, WaitUs: int64(len(s.waiting)) * mean / modelSlots,
	}
	if w.scenario.reportsIdle && s.index == 0 {
		return model.GateReport{Upstream: s.upstream.Name, Incarnation: s.incarnation, Slots: modelSlots, ServiceUs: 10_000}
	}
	if w.scenario.reportLag == 0 {
		return current
	}
	s.history = append(s.history, pastReport{at: w.now, report: current})
	for len(s.history) > 1 && s.history[1].at <= w.now-w.scenario.reportLag {
		s.history = s.history[1:]
	}
	return s.history[0].report
}

func (w *simulation) reply(a *attempt, result load.Result) {
	report := w.report(a.server)
	w.after(oneWay(a.daemon, a.server), func() {
		if a.closed {
			return
		}
		w.closeAttempt(a, result)
		w.receiveReport(a.daemon, report)
		w.finishAttempt(a, result)
	})
}

func (w *simulation) closeAttempt(a *attempt, result load.Result) {
	a.closed = true
	a.call.open = slices.DeleteFunc(a.call.open, func(other *attempt) bool { return other == a })
	a.daemon.tracker.Ended(w.time(), a.loadCall, load.Outcome{Result: result, Latency: w.now - a.sentAt})
}

func (w *simulation) finishAttempt(a *attempt, result load.Result) {
	c := a.call
	if c.done {
		return
	}
	if result == load.Refused {
		refusal := &model.Failure{Verdict: model.NotRun, Reason: model.QueueFull}
		spend := func() bool { return w.budgets.Withdraw(w.time(), budget.Key{Customer: "a"}, 0) }
		if retry.Next(w.time(), c.state, refusal, spend).Action == retry.Again {
			w.result.retries++
			w.sendAttempt(a.daemon, c)
		}
		return
	}
	c.done = true
	for _, other := range slices.Clone(c.open) {
		w.cancel(other)
	}
	if !w.measured(c) || result != load.Answered {
		return
	}
	latency := w.now - c.at
	w.result.latencies = append(w.result.latencies, latency)
	if latency <= modelDeadline {
		w.result.served++
	}
}

// cancel ends an open attempt of a hedged call that another attempt has ended; its upstream stops the work at once.
func (w *simulation) cancel(a *attempt) {
	w.closeAttempt(a, load.Unrelated)
	if a.started {
		w.freeSlot(a.server)
	}
}
