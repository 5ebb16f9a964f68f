package peers_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/feed"
	"comfreytack/cftd/peers"
	"comfreytack/core/command/daemon"
	"comfreytack/core/loop"
	"comfreytack/core/model"
)

var measure = flag.Bool("measure", false, "run the measurements of docs/measurements/control.md")

// platform is a fake configuration service.
type platform struct {
	mu       sync.Mutex
	revision model.Revision
	latest   map[string]model.Change
	changed  chan struct{}
	reads    atomic.Uint64
}

func (p *platform) publish(t *testing.T, key string, value any) model.Revision {
	t.Helper()
	data, err := json.Marshal(value)
	qt.Assert(t, err, qt.IsNil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.latest[key] = model.Change{Key: key, Revision: p.revision, Value: data}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		delta, changed := p.since(model.Revision(after))
		if len(delta.Changes) > 0 || wait == 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"revision": delta.Revision, "changes": delta.Changes})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) since(after model.Revision) (model.Delta, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delta := model.Delta{Revision: p.revision}
	for _, change := range p.latest {
		if change.Revision > after {
			delta.Changes = append(delta.Changes, change)
		}
	}
	slices.SortFunc(delta.Changes, func(a, b model.Change) int { return int(a.Revision) - int(b.Revision) })
	return delta, p.changed
}

// member is the control plane of one daemon, with real connections.
type member struct {
	self    model.Upstream
	loop    *loop.Loop[daemon.Event, daemon.Effect]
	network *peers.Network
	// partition numbers the network partition that the member is in; only members of the same one connect.
	partition *atomic.Int32
	stop      func()
}

// fleet runs several members in one process.
type fleet struct {
	t          *testing.T
	platform   *platform
	address    model.Address
	members    []*member
	partitions map[model.Address]*atomic.Int32
	// stoppedMessages and stoppedBytes count what members had sent before they were restarted.
	stoppedMessages, stoppedBytes atomic.Uint64
}

func newFleet(t *testing.T, services, perService, domains int) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: &platform{latest: map[string]model.Change{}, changed: make(chan struct{})}, partitions: map[model.Address]*atomic.Int32{}}
	server := httptest.NewServer(f.platform)
	t.Cleanup(server.Close)
	f.address = model.Address(strings.TrimPrefix(server.URL, "http://"))
	listeners := f.listeners(services * perService)
	for s := range services {
		service := model.Service{Name: model.ServiceName(fmt.Sprintf("s%d", s)), Slots: 10, Connections: 250}
		for i := range perService {
			index := s*perService + i
			peer := model.Address(listeners[index].Addr().String())
			self := model.Upstream{
				Name:          model.UpstreamName(fmt.Sprintf("s%d-%d", s, i)),
				Incarnation:   1,
				Service:       service.Name,
				FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", index%domains)),
				Gate:          peer,
				Peer:          peer,
			}
			f.partitions[peer] = &atomic.Int32{}
			f.members = append(f.members, &member{self: self, partition: f.partitions[peer]})
			service.Upstreams = append(service.Upstreams, self)
		}
		f.platform.publish(t, "services/"+string(service.Name), service)
	}
	f.publish(10)
	for i, m := range f.members {
		f.start(m, listeners[i])
	}
	t.Cleanup(f.stop)
	return f
}

func (f *fleet) listeners(n int) []net.Listener {
	var listeners []net.Listener
	for range n {
		// Outgoing connections use ports of 127.0.0.1, so they cannot occupy the port of a member that restarts.
		listener, err := net.Listen("tcp", "127.0.2.1:0")
		qt.Assert(f.t, err, qt.IsNil)
		listeners = append(listeners, listener)
	}
	return listeners
}

// publish changes the weight of the customer's contract and returns the revision of the change.
func (f *fleet) publish(weight int) model.Revision {
	return f.platform.publish(f.t, "contracts/police", model.Contract{Customer: "police", Weight: weight, DeadlineMs: 500, LongestMs: 5000})
}

// start starts a new incarnation of a member on the listener.
func (f *fleet) start(m *member, listener net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	var reads *feed.Feed
	perform := func(effect daemon.Effect) {
		switch e := effect.(type) {
		case daemon.SendPeer:
			m.network.Send(e)
		case daemon.ReadPlatform:
			go reads.Read(ctx, e)
		}
	}
	var seeds []model.Address
	for range min(8, len(f.members)) {
		seeds = append(seeds, f.members[rand.IntN(len(f.members))].self.Peer)
	}
	state := daemon.New(daemon.Settings{Self: m.self, Seeds: seeds, Random: rand.New(rand.NewPCG(rand.Uint64(), 1))}, time.Now())
	m.loop = loop.New(loop.Settings{TickInterval: 50 * time.Millisecond, Backlog: 4096, Now: time.Now}, state, perform)
	log := slog.New(slog.DiscardHandler)
	m.network = peers.New(peers.Settings{Post: m.loop.Post, Log: log, Allow: func(other model.Address) bool {
		return f.partitions[other] == nil || f.partitions[other].Load() == m.partition.Load()
	}})
	reads = feed.New(feed.Settings{Platform: []model.Address{f.address}, Client: http.DefaultClient, Post: m.loop.Post, Log: log})
	var running sync.WaitGroup
	network := m.network
	running.Go(func() { _ = network.Serve(ctx, listener) })
	running.Go(func() { m.loop.Run(ctx) })
	m.stop = func() {
		cancel()
		network.Close()
		running.Wait()
	}
}

func (f *fleet) restart(m *member) {
	m.stop()
	f.stoppedMessages.Add(m.network.Traffic.MessagesOut.Load())
	f.stoppedBytes.Add(m.network.Traffic.BytesOut.Load())
	m.self.Incarnation++
	listener, err := net.Listen("tcp", string(m.self.Peer))
	qt.Assert(f.t, err, qt.IsNil)
	f.start(m, listener)
}

func (f *fleet) stop() {
	var stopping sync.WaitGroup
	for _, m := range f.members {
		stopping.Go(m.stop)
	}
	stopping.Wait()
}

// lowest returns the lowest revision that a ready daemon has in force, and how many daemons are ready.
func (f *fleet) lowest() (model.Revision, int) {
	lowest := model.Revision(math.MaxUint64)
	ready := 0
	for _, m := range f.members {
		if snapshot := m.loop.Snapshot(); snapshot.Ready {
			lowest = min(lowest, snapshot.Revision)
			ready++
		}
	}
	return lowest, ready
}

// awaitRevision waits until all daemons are ready and have the revision in force. It returns how long that took.
func (f *fleet) awaitRevision(revision model.Revision, timeout time.Duration) time.Duration {
	f.t.Helper()
	from := time.Now()
	for time.Since(from) < timeout {
		if lowest, ready := f.lowest(); lowest >= revision && ready == len(f.members) {
			return time.Since(from)
		}
		time.Sleep(time.Millisecond)
	}
	lowest, ready := f.lowest()
	f.t.Fatalf("revision %d not in force after %v: lowest %d, %d of %d ready", revision, timeout, lowest, ready, len(f.members))
	return 0
}

const convergenceTimeout = 40 * time.Second

func TestFleetOnLoopback(t *testing.T) {
	f := newFleet(t, 4, 3, 4)
	tests := []struct {
		name string
		do   func()
	}{
		{"all start at once", func() {}},
		{"a change", func() { f.publish(20) }},
		{"a third restart", func() {
			for _, m := range f.members[:4] {
				f.restart(m)
			}
			f.publish(30)
		}},
		{"a value of nearly a megabyte", func() {
			large := model.Service{Name: "large", Slots: 10, Connections: 250, Upstreams: []model.Upstream{}}
			for range 900 {
				large.Routes = append(large.Routes, model.Route{PathPrefix: "/" + strings.Repeat("x", 1000)})
			}
			f.platform.publish(f.t, "services/large", large)
		}},
		{"network partition that heals", func() {
			for _, m := range f.members[:6] {
				m.partition.Store(1)
			}
			f.publish(40)
			time.Sleep(500 * time.Millisecond)
			for _, m := range f.members[:6] {
				m.partition.Store(0)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.do()
			f.platform.mu.Lock()
			revision := f.platform.revision
			f.platform.mu.Unlock()
			t.Logf("in force after %v", f.awaitRevision(revision, convergenceTimeout))
		})
	}
}

// usage is the resource usage of the whole process so far.
type usage struct {
	at                           time.Time
	cpu                          time.Duration
	messages, bytes, reads, heap uint64
}

func (f *fleet) usage() usage {
	var times syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &times)
	u := usage{at: time.Now(), cpu: time.Duration(times.Utime.Nano() + times.Stime.Nano()), reads: f.platform.reads.Load(), messages: f.stoppedMessages.Load(), bytes: f.stoppedBytes.Load()}
	for _, m := range f.members {
		u.messages += m.network.Traffic.MessagesOut.Load()
		u.bytes += m.network.Traffic.BytesOut.Load()
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	u.heap = memory.HeapAlloc + memory.StackInuse
	return u
}

// TestMeasureLoopback prints measurements of fleets that run in one process over real connections.
func TestMeasureLoopback(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	tests := []struct {
		name                          string
		services, perService, domains int
		restarting                    float64
		interval                      time.Duration
	}{
		{"17", 4, 4, 4, 0, time.Second},
		{"17 restarting 10%", 4, 4, 4, 0.1, time.Second},
		{"17 restarting 30%", 4, 4, 4, 0.3, time.Second},
		{"50", 5, 10, 4, 0, time.Second},
		{"50 restarting 30%", 5, 10, 4, 0.3, time.Second},
		{"100", 10, 10, 8, 0, time.Second},
		{"100 restarting 30%", 10, 10, 8, 0.3, time.Second},
		{"200", 20, 10, 8, 0, time.Second},
		{"200 restarting 10%", 20, 10, 8, 0.1, time.Second},
		{"200 restarting 30%", 20, 10, 8, 0.3, time.Second},
		{"200 no changes", 20, 10, 8, 0, time.Hour},
		{"200 4 changes a second", 20, 10, 8, 0, 250 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, test.services, test.perService, test.domains)
			f.awaitRevision(f.platform.revision, convergenceTimeout)
			time.Sleep(time.Second)
			before := f.usage()
			delays := f.publishRepeatedly(10*time.Second, test.interval, test.restarting)
			after := f.usage()
			seconds := after.at.Sub(before.at).Seconds()
			daemonSeconds := seconds * float64(len(f.members))
			slices.Sort(delays)
			if len(delays) == 0 {
				delays = []time.Duration{0}
			}
			fmt.Printf("| %d | %.0f%% | %v | %v | %v | %v | %d | %.2f | %.2f | %.0f | %.2f | %d |\n",
				len(f.members), 100*test.restarting, test.interval, delays[len(delays)/2].Round(time.Millisecond),
				delays[len(delays)*99/100].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond), len(delays),
				float64(after.reads-before.reads)/seconds, float64(after.messages-before.messages)/daemonSeconds,
				float64(after.bytes-before.bytes)/daemonSeconds, 1000*(after.cpu-before.cpu).Seconds()/daemonSeconds, after.heap/uint64(len(f.members))/1024)
		})
	}
}

// publishRepeatedly publishes a change at each interval and restarts the share of daemons given by restarting every
// 3 s. It returns how long each change took to be in force at all ready daemons.
func (f *fleet) publishRepeatedly(duration, interval time.Duration, restarting float64) []time.Duration {
	var delays []time.Duration
	from := time.Now()
	restarts := 0
	for time.Since(from) < duration {
		if restarting > 0 && int(time.Since(from)/(3*time.Second)) >= restarts {
			restarts++
			f.restartSome(int(restarting * float64(len(f.members))))
		}
		if interval > duration {
			time.Sleep(time.Second)
			continue
		}
		began := time.Now()
		revision := f.publish(1 + len(delays)%9)
		for {
			if lowest, _ := f.lowest(); lowest >= revision {
				break
			}
			time.Sleep(time.Millisecond)
		}
		delays = append(delays, time.Since(began))
		time.Sleep(time.Until(began.Add(interval)))
	}
	return delays
}

func (f *fleet) restartSome(n int) {
	var restarting sync.WaitGroup
	for _, i := range rand.Perm(len(f.members))[:n] {
		restarting.Go(func() { f.restart(f.members[i]) })
	}
	restarting.Wait()
}
