package daemon_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"comfreytack/core/command/daemon"
	"comfreytack/core/model"
)

const (
	beat        = 50 * time.Millisecond
	platformLag = 2 * time.Millisecond
)

// platform is a stand-in for the configuration service: the newest change of each key.
type platform struct {
	revision model.Revision
	newest   map[string]model.Change
	down     bool
	// cutSide is the side of the network that cannot read; zero when all can.
	cutSide int
	// staleAt makes reads see nothing behind this revision; zero sees all.
	staleAt model.Revision
	reads   int
}

func (p *platform) publish(key string, value any) model.Revision {
	p.revision++
	change := model.Change{Key: key, Revision: p.revision, Deleted: value == nil}
	if text, isText := value.(string); isText {
		change.Value = jsontext.Value(text)
	} else if value != nil {
		change.Value, _ = json.Marshal(value)
	}
	p.newest[key] = change
	return p.revision
}

func (p *platform) read(after model.Revision) model.Delta {
	delta := model.Delta{After: after, Revision: p.revision}
	if p.staleAt > 0 {
		delta.Revision = p.staleAt
	}
	for _, change := range p.newest {
		if change.Revision > after && change.Revision <= delta.Revision {
			delta.Changes = append(delta.Changes, change)
		}
	}
	slices.SortFunc(delta.Changes, func(a, b model.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	return delta
}

// step is something that happens at a time.
type step struct {
	at    time.Time
	order int
	do    func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return cmp.Or(s[i].at.Compare(s[j].at), cmp.Compare(s[i].order, s[j].order)) < 0
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// node is one daemon and what its process is going through.
type node struct {
	self      model.Upstream
	state     *daemon.State
	life      int
	down      bool
	paused    bool
	inbox     []daemon.Event
	side      int
	startedAt time.Time
	readAt    []time.Time
	highest   model.Revision
	ready     bool
	readyAt   time.Time
	// disturbedAt is when the node was last paused, cut off or replaced.
	disturbedAt time.Time
	// watching is set while a read waits for news.
	watching bool
	after    model.Revision
	// known has the revisions in force at this node, each with the time since when.
	known []knowledge
}

type knowledge struct {
	revision model.Revision
	since    time.Time
}

// knewAt returns the revision in force at a time.
func (n *node) knewAt(at time.Time) model.Revision {
	revision := model.Revision(0)
	for _, k := range n.known {
		if !k.since.After(at) {
			revision = k.revision
		}
	}
	return revision
}

// world runs daemons on virtual time over a network that loses, doubles, delays and reorders.
type world struct {
	now      time.Time
	random   *rand.Rand
	platform *platform
	nodes    []*node
	byName   map[model.Address]*node
	queue    steps
	order    int
	// loss and doubling are chances per message, latency the mean delay of one.
	loss, doubling float64
	latency        time.Duration
	messages       int
	bytes          int
	// calls has the services that each node calls, where that matters.
	calls map[*node][]model.ServiceName
	// sampleBytes measures one message in so many, and counts it as that many; zero measures none.
	sampleBytes int
	// onReady is called when a node becomes ready; it may be nil.
	onReady func(*node)
}

func newWorld(seed uint64, services, perService, domains int) *world {
	w := &world{
		now:      time.Unix(1_000_000, 0),
		random:   rand.New(rand.NewPCG(seed, 1)),
		platform: &platform{newest: map[string]model.Change{}},
		byName:   map[model.Address]*node{},
		latency:  2 * time.Millisecond,
	}
	for s := range services {
		for i := range perService {
			index := s*perService + i
			w.nodes = append(w.nodes, &node{self: model.Upstream{
				Name:          model.UpstreamName(fmt.Sprintf("s%d-%d", s, i)),
				Incarnation:   1,
				Service:       model.ServiceName(fmt.Sprintf("s%d", s)),
				FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", index%domains)),
				Gate:          model.Address(fmt.Sprintf("10.0.%d.%d:1", index/250, 1+index%250)),
				Peer:          model.Address(fmt.Sprintf("10.0.%d.%d:2", index/250, 1+index%250)),
			}})
		}
		w.platform.publish("services/s"+fmt.Sprint(s), w.service(s, perService))
	}
	w.platform.publish("contracts/police", contract("police", 10))
	for _, n := range w.nodes {
		w.byName[n.self.Peer] = n
	}
	return w
}

func (w *world) service(s, perService int) model.Service {
	service := model.Service{Name: model.ServiceName(fmt.Sprintf("s%d", s)), Slots: 10, Connections: 250}
	for _, n := range w.nodes[s*perService : (s+1)*perService] {
		listed := n.self
		service.Upstreams = append(service.Upstreams, listed)
	}
	return service
}

func contract(customer string, weight int) model.Contract {
	return model.Contract{Customer: model.Customer(customer), Weight: weight, DeadlineMs: 500, LongestMs: 5000}
}

// start begins a life of a node, with a few seeds and the services it calls.
func (w *world) start(n *node, calls []model.ServiceName, seeds int) {
	n.life++
	n.down, n.paused, n.ready, n.watching = false, false, false, false
	n.inbox, n.readAt, n.known = nil, nil, nil
	n.startedAt, n.disturbedAt = w.now, w.now
	n.highest = 0
	self := n.self
	self.Incarnation = model.Incarnation(n.life)
	var addresses []model.Address
	// Half of the seeds are of the own service, whose daemons call the same services.
	own := slices.DeleteFunc(slices.Clone(w.nodes), func(other *node) bool { return other.self.Service != n.self.Service })
	for _, i := range w.random.Perm(len(own))[:min((seeds+1)/2, len(own))] {
		addresses = append(addresses, own[i].self.Peer)
	}
	for _, i := range w.random.Perm(len(w.nodes))[:min(seeds/2, len(w.nodes))] {
		addresses = append(addresses, w.nodes[i].self.Peer)
	}
	n.state = daemon.New(daemon.Settings{
		Self:   self,
		Seeds:  addresses,
		Calls:  calls,
		Random: rand.New(rand.NewPCG(w.random.Uint64(), 2)),
	}, w.now)
	w.beat(n, n.life)
}

func (w *world) after(delay time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, step{at: w.now.Add(delay), order: w.order, do: do})
}

func (w *world) beat(n *node, life int) {
	if n.life != life || n.down {
		return
	}
	if !n.paused {
		w.perform(n, n.state.Beat(w.now, 0))
	}
	w.after(beat, func() { w.beat(n, life) })
}

func (w *world) apply(n *node, life int, event daemon.Event) {
	if n.life != life || n.down {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, event)
		return
	}
	w.perform(n, n.state.Apply(w.now, event))
}

func (w *world) resume(n *node) {
	n.paused = false
	n.disturbedAt = w.now
	inbox := n.inbox
	n.inbox = nil
	for _, event := range inbox {
		w.perform(n, n.state.Apply(w.now, event))
	}
}

func (w *world) perform(n *node, effects []daemon.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case daemon.SendPeer:
			w.send(n, e)
		case daemon.ReadPlatform:
			w.read(n, e)
		}
	}
	if len(n.known) == 0 || n.known[len(n.known)-1].revision != n.state.Config.Complete {
		n.known = append(n.known, knowledge{revision: n.state.Config.Complete, since: w.now})
	}
	if n.state.Start.Ready && !n.ready {
		n.ready = true
		n.readyAt = w.now
		if w.onReady != nil {
			w.onReady(n)
		}
	}
}

func (w *world) send(n *node, send daemon.SendPeer) {
	life := n.life
	to, known := w.byName[send.To]
	if !known || to.down {
		w.after(w.latency, func() { w.apply(n, life, daemon.PeerLost{Address: send.To}) })
		return
	}
	w.messages++
	if w.sampleBytes > 0 && w.messages%w.sampleBytes == 0 {
		data, _ := json.Marshal(send.Message)
		w.bytes += len(data) * w.sampleBytes
	}
	if to.side != n.side || w.random.Float64() < w.loss {
		return
	}
	copies := 1
	if w.random.Float64() < w.doubling {
		copies = 2
	}
	for range copies {
		delay := time.Duration(w.random.ExpFloat64() * float64(w.latency))
		w.after(delay, func() { w.apply(to, to.life, daemon.MessageReceived{Message: send.Message}) })
	}
}

func (w *world) read(n *node, read daemon.ReadPlatform) {
	w.platform.reads++
	n.readAt = append(n.readAt, w.now)
	life := n.life
	n.watching, n.after = true, read.After
	w.after(platformLag, func() { w.answer(n, life, w.now.Add(read.Wait)) })
}

// answer ends a read when there is news, when it has waited long enough, or when the platform is down.
func (w *world) answer(n *node, life int, until time.Time) {
	if n.life != life || n.down {
		return
	}
	if w.platform.down || (w.platform.cutSide > 0 && n.side == w.platform.cutSide) {
		w.apply(n, life, daemon.ChangesRead{Failed: true})
		return
	}
	delta := w.platform.read(n.after)
	if len(delta.Changes) == 0 && w.now.Before(until) {
		w.after(10*time.Millisecond, func() { w.answer(n, life, until) })
		return
	}
	w.apply(n, life, daemon.ChangesRead{Delta: delta})
}

// run lets time pass.
func (w *world) run(duration time.Duration) {
	until := w.now.Add(duration)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		next := heap.Pop(&w.queue).(step)
		w.now = next.at
		next.do()
	}
	w.now = until
}

// runUntil lets time pass until done holds, and tells how long that took.
func (w *world) runUntil(longest time.Duration, done func() bool) (time.Duration, bool) {
	from := w.now
	for w.now.Sub(from) < longest {
		if done() {
			return w.now.Sub(from), true
		}
		w.run(10 * time.Millisecond)
	}
	return longest, done()
}

func (w *world) inForce(revision model.Revision) bool {
	for _, n := range w.nodes {
		if !n.down && (!n.state.Start.Ready || n.state.Config.Complete < revision) {
			return false
		}
	}
	return true
}

func TestFirstConfiguration(t *testing.T) {
	tests := []struct {
		name                string
		services, perDomain int
		calls               []model.ServiceName
	}{
		{"one daemon", 1, 1, nil},
		{"two daemons", 1, 2, nil},
		{"one deployment", 4, 4, nil},
		{"calls one service", 4, 4, []model.ServiceName{"s1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(1, test.services, test.perDomain, 4)
			for _, n := range w.nodes {
				w.start(n, test.calls, 4)
			}
			took, done := w.runUntil(20*time.Second, func() bool { return w.inForce(w.platform.revision) })
			if !done {
				t.Fatalf("not in force after %v", took)
			}
			revision := w.platform.publish("contracts/police", contract("police", 20))
			took, done = w.runUntil(20*time.Second, func() bool { return w.inForce(revision) })
			if !done {
				t.Fatalf("change not in force after %v", took)
			}
			t.Logf("change in force after %v, %d reads", took, w.platform.reads)
		})
	}
}
