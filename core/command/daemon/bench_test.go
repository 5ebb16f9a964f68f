package daemon_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"comfreytack/core/command/daemon"
	"comfreytack/core/command/gossip"
	"comfreytack/core/model"
)

// readyState returns a ready daemon with the given numbers of contracts, services and upstreams of each.
func readyState(contracts, services, upstreams int) (*daemon.State, time.Time) {
	now := time.Unix(1_000_000, 0)
	self := model.Upstream{Name: "s0-0", Incarnation: 1, Service: "s0", FailureDomain: "d0", Gate: "10.0.0.1:1", Peer: "10.0.0.1:2"}
	state := daemon.New(daemon.Settings{Self: self, Random: rand.New(rand.NewPCG(1, 1))}, now)
	delta := model.Delta{}
	add := func(key string, value any) {
		delta.Revision++
		delta.Changes = append(delta.Changes, change(key, delta.Revision, value))
	}
	for s := range services {
		list := model.Service{Name: model.ServiceName(fmt.Sprintf("s%d", s)), Slots: 10, Connections: 250}
		for u := range upstreams {
			address := model.Address(fmt.Sprintf("10.%d.%d.%d:1", s/250, s%250, u%250))
			list.Upstreams = append(list.Upstreams, model.Upstream{
				Name: model.UpstreamName(fmt.Sprintf("s%d-%d", s, u)), Incarnation: 1, Service: list.Name,
				FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", u%24)), Gate: address, Peer: address,
			})
		}
		add("services/"+string(list.Name), list)
	}
	for c := range contracts {
		name := fmt.Sprintf("customer-%05d", c)
		add("contracts/"+name, contract(name, 1+c%1000))
	}
	now = now.Add(2 * time.Second)
	state.Apply(now, daemon.ChangesRead{Delta: delta})
	return state, now
}

func BenchmarkTick(b *testing.B) {
	state, now := readyState(1000, 11, 26)
	for b.Loop() {
		now = now.Add(tickInterval)
		state.Tick(now, 0)
		state.Snapshot(now)
	}
}

func BenchmarkDigestReceived(b *testing.B) {
	state, now := readyState(1000, 11, 26)
	from := model.Peer{Name: "s1-3", Incarnation: 1, Service: "s1", FailureDomain: "d3", Address: "10.0.1.3:1"}
	message := gossip.Message{From: from, Digest: gossip.Digest{Revision: state.Config.Complete, Contracts: state.Config.Contracts.Hash, Services: state.Config.Services.Hash, Ready: true}}
	for b.Loop() {
		now = now.Add(tickInterval)
		state.Apply(now, daemon.MessageReceived{Message: message})
		state.Snapshot(now)
	}
}

func BenchmarkContractChange(b *testing.B) {
	for _, contracts := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(contracts), func(b *testing.B) {
			state, now := readyState(contracts, 11, 26)
			for b.Loop() {
				now = now.Add(tickInterval)
				revision := state.Config.Complete + 1
				state.Apply(now, daemon.ChangesRead{Delta: model.Delta{After: revision - 1, Revision: revision, Changes: []model.Change{
					change("contracts/customer-00001", revision, contract("customer-00001", int(revision%1000)+1)),
				}}})
				state.Snapshot(now)
			}
		})
	}
}

func BenchmarkServiceChange(b *testing.B) {
	for _, upstreams := range []int{26, 260, 2600} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			state, now := readyState(1000, 11, upstreams)
			value := state.Config.Services.Entries["s1"].Raw
			b.SetBytes(int64(len(value)))
			for b.Loop() {
				now = now.Add(tickInterval)
				revision := state.Config.Complete + 1
				state.Apply(now, daemon.ChangesRead{Delta: model.Delta{After: revision - 1, Revision: revision, Changes: []model.Change{
					{Key: "services/s1", Revision: revision, Value: value},
				}}})
				state.Snapshot(now)
			}
		})
	}
}

// BenchmarkMemory reports the heap that a daemon's control state and its snapshot use.
func BenchmarkMemory(b *testing.B) {
	shapes := []struct{ contracts, services, upstreams int }{
		{100, 11, 26}, {1000, 11, 26}, {10_000, 11, 26}, {1000, 31, 26}, {1000, 11, 260}, {1000, 850, 26},
	}
	for _, shape := range shapes {
		b.Run(fmt.Sprintf("%d_contracts_%d_services_%d_upstreams", shape.contracts, shape.services, shape.upstreams), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				state, now := readyState(shape.contracts, shape.services, shape.upstreams)
				snapshot := state.Snapshot(now)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB")
				runtime.KeepAlive(state)
				runtime.KeepAlive(snapshot)
			}
		})
	}
}
