package daemon_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
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
	tickInterval = 50 * time.Millisecond
	platformLag  = 2 * time.Millisecond
)

// platform simulates the configuration service: it has the newest change of each key.
type platform struct {
	revision model.Revision
	newest   map[string]model.Change
	down     bool
	// cutPartition is the partition of the network that cannot read; zero when all can.
	cutPartition int
	// staleRevision makes reads see no revision above it; zero makes them see all.
	staleRevision model.Revision
	reads         int
	// history has each revision with the time of its publication.
	history []revisionSince
	// saved is a copy of the platform, from which it may come back; nil while there is none.
	saved *platform
}

// save makes the copy from which the platform may come back.
func (p *platform) save() {
	p.saved = &platform{revision: p.revision, newest: maps.Clone(p.newest)}
}

// restore lets the platform come back from its copy, in a new era. It returns the values that it has lost.
func (p *platform) restore() []model.Change {
	era := p.revision.Era() + 1
	inEra := func(revision model.Revision) model.Revision {
		result, _ := model.RevisionOf(era, revision.Number())
		return result
	}
	var lost []model.Change
	for key, change := range p.newest {
		if p.saved.newest[key].Revision != change.Revision {
			lost = append(lost, change)
		}
	}
	slices.SortFunc(lost, func(a, b model.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	p.revision, p.newest, p.staleRevision = inEra(p.saved.revision), maps.Clone(p.saved.newest), 0
	for key, change := range p.newest {
		change.Revision = inEra(change.Revision)
		p.newest[key] = change
	}
	p.save()
	return lost
}

// restorePlatform lets the platform come back from its copy. What it has lost is written again after a while, unless there
// is something newer by then.
func (w *world) restorePlatform(delay func() time.Duration) {
	for _, lost := range w.platform.restore() {
		inCopy := w.platform.newest[lost.Key].Revision
		w.after(delay(), func() {
			if w.platform.newest[lost.Key].Revision != inCopy {
				return
			}
			w.platform.revision++
			lost.Revision = w.platform.revision
			w.platform.newest[lost.Key] = lost
		})
	}
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

// publishNow publishes a contract and remembers when.
func (w *world) publishNow(value model.Contract) {
	revision := w.platform.publish("contracts/"+string(value.Customer), value)
	w.platform.history = append(w.platform.history, revisionSince{revision: revision, since: w.now})
}

// publishedBefore returns the newest revision that was published before a time.
func (w *world) publishedBefore(at time.Time) model.Revision {
	revision := model.Revision(0)
	for _, entry := range w.platform.history {
		if entry.since.Before(at) {
			revision = entry.revision
		}
	}
	return revision
}

// read returns the changes after a revision, or the whole content if that is of an earlier era.
func (p *platform) read(after model.Revision) daemon.ChangesRead {
	whole := after > 0 && after.IsBeforeEraOf(p.revision)
	if whole {
		after = 0
	}
	delta := model.Delta{After: after, Revision: p.revision}
	if p.staleRevision > 0 && !whole {
		delta.Revision = p.staleRevision
	}
	for _, change := range p.newest {
		if change.Revision > after && change.Revision <= delta.Revision {
			delta.Changes = append(delta.Changes, change)
		}
	}
	slices.SortFunc(delta.Changes, func(a, b model.Change) int { return cmp.Compare(a.Revision, b.Revision) })
	if whole {
		// A list has no deletions.
		delta.Changes = slices.DeleteFunc(delta.Changes, func(change model.Change) bool { return change.Deleted })
	}
	return daemon.ChangesRead{Delta: delta, Whole: whole}
}

// timer is a function to run at a virtual time; order decides between equal times.
type timer struct {
	at    time.Time
	order int
	do    func()
}

// timerQueue is a heap of timers, the earliest first.
type timerQueue []timer

func (s timerQueue) Len() int { return len(s) }
func (s timerQueue) Less(i, j int) bool {
	return cmp.Or(s[i].at.Compare(s[j].at), cmp.Compare(s[i].order, s[j].order)) < 0
}
func (s timerQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *timerQueue) Push(x any)   { *s = append(*s, x.(timer)) }
func (s *timerQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// node is one simulated daemon.
type node struct {
	self  model.Upstream
	state *daemon.State
	// starts counts the starts of this node. What was scheduled before the last one is dropped.
	starts int
	down   bool
	paused bool
	// inbox has the events that arrived during a pause.
	inbox []daemon.Event
	// partition is the part of the network that the node is in; messages between two parts are lost.
	partition int
	startedAt time.Time
	readAt    []time.Time
	highest   model.Revision
	ready     bool
	readyAt   time.Time
	// disturbedAt is when the node was last paused, cut off or replaced.
	disturbedAt time.Time
	// readPending is set while a read waits for a change beyond the revision after.
	readPending bool
	after       model.Revision
	// history has each revision that came into force at this node, with the time.
	history []revisionSince
}

// revisionSince is a revision and the time at which it came into force.
type revisionSince struct {
	revision model.Revision
	since    time.Time
}

// revisionAt returns the revision that was in force at a time.
func (n *node) revisionAt(at time.Time) model.Revision {
	revision := model.Revision(0)
	for _, entry := range n.history {
		if !entry.since.After(at) {
			revision = entry.revision
		}
	}
	return revision
}

// world runs daemons on virtual time over a network that loses, duplicates, delays and reorders messages.
type world struct {
	now       time.Time
	random    *rand.Rand
	platform  *platform
	nodes     []*node
	byAddress map[model.Address]*node
	queue     timerQueue
	order     int
	// lossRate and duplicateRate are probabilities per message, latency is the mean delay of one.
	lossRate, duplicateRate float64
	latency                 time.Duration
	messages                int
	bytes                   int
	// lists counts the reads that were answered with all that is published.
	lists int
	// calls has the services that each node calls, where that matters.
	calls map[*node][]model.ServiceName
	// sampleBytes measures the size of one message in sampleBytes and extrapolates; zero measures none.
	sampleBytes int
	// leased makes the daemons read the platform by lease.
	leased bool
	// onReady is called when a node becomes ready; it may be nil.
	onReady func(*node)
}

func newWorld(seed uint64, services, perService, domains int) *world {
	w := &world{
		now:       time.Unix(1_000_000, 0),
		random:    rand.New(rand.NewPCG(seed, 1)),
		platform:  &platform{newest: map[string]model.Change{}},
		byAddress: map[model.Address]*node{},
		latency:   2 * time.Millisecond,
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
		w.byAddress[n.self.Peer] = n
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

// start starts or restarts a node, with a few seeds and the services it calls.
func (w *world) start(n *node, calls []model.ServiceName, seeds int) {
	n.starts++
	n.down, n.paused, n.ready, n.readPending = false, false, false, false
	n.inbox, n.readAt, n.history = nil, nil, nil
	n.startedAt, n.disturbedAt = w.now, w.now
	n.highest = 0
	self := n.self
	self.Incarnation = model.Incarnation(n.starts)
	var addresses []model.Address
	// Half of the seeds are of the node's own service, whose daemons call the same services.
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
		Leased: w.leased,
	}, w.now)
	w.tick(n, n.starts)
}

func (w *world) after(delay time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, timer{at: w.now.Add(delay), order: w.order, do: do})
}

func (w *world) tick(n *node, starts int) {
	if n.starts != starts || n.down {
		return
	}
	if !n.paused {
		w.perform(n, n.state.Tick(w.now, 0))
	}
	w.after(tickInterval, func() { w.tick(n, starts) })
}

func (w *world) apply(n *node, starts int, event daemon.Event) {
	if n.starts != starts || n.down {
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
	if len(n.history) == 0 || n.history[len(n.history)-1].revision != n.state.Config.Complete {
		n.history = append(n.history, revisionSince{revision: n.state.Config.Complete, since: w.now})
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
	starts := n.starts
	to, known := w.byAddress[send.To]
	if !known || to.down {
		w.after(w.latency, func() { w.apply(n, starts, daemon.PeerLost{Address: send.To}) })
		return
	}
	w.messages++
	if w.sampleBytes > 0 && w.messages%w.sampleBytes == 0 {
		data, _ := json.Marshal(send.Message)
		w.bytes += len(data) * w.sampleBytes
	}
	if to.partition != n.partition || w.random.Float64() < w.lossRate {
		return
	}
	copies := 1
	if w.random.Float64() < w.duplicateRate {
		copies = 2
	}
	for range copies {
		delay := time.Duration(w.random.ExpFloat64() * float64(w.latency))
		w.after(delay, func() { w.apply(to, to.starts, daemon.MessageReceived{Message: send.Message}) })
	}
}

func (w *world) read(n *node, read daemon.ReadPlatform) {
	w.platform.reads++
	n.readAt = append(n.readAt, w.now)
	starts := n.starts
	n.readPending, n.after = true, read.After
	w.after(platformLag, func() { w.answer(n, starts, w.now.Add(read.Wait)) })
}

// answer ends a read when there is a change, when it has waited long enough, or when the platform is out of reach.
func (w *world) answer(n *node, starts int, until time.Time) {
	if n.starts != starts || n.down {
		return
	}
	if w.platform.down || (w.platform.cutPartition > 0 && n.partition == w.platform.cutPartition) {
		w.apply(n, starts, daemon.ChangesRead{Failed: true})
		return
	}
	read := w.platform.read(n.after)
	if len(read.Delta.Changes) == 0 && !read.Whole && w.now.Before(until) {
		w.after(10*time.Millisecond, func() { w.answer(n, starts, until) })
		return
	}
	if read.Whole {
		w.lists++
	}
	w.apply(n, starts, read)
}

// run advances the virtual time.
func (w *world) run(duration time.Duration) {
	until := w.now.Add(duration)
	for len(w.queue) > 0 && !w.queue[0].at.After(until) {
		next := heap.Pop(&w.queue).(timer)
		w.now = next.at
		next.do()
	}
	w.now = until
}

// runUntil advances the virtual time until done returns true, and returns how long that took.
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

// inForce reports whether all running nodes are ready and have at least the given revision.
func (w *world) inForce(revision model.Revision) bool {
	for _, n := range w.nodes {
		if !n.down && (!n.state.Start.Ready || n.state.Config.Complete < revision) {
			return false
		}
	}
	return true
}

// TestFirstConfiguration checks that daemons which start together get the configuration, and then a change.
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
