package admit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"comfreytack/core/command/admit"
	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

var customerCounts = []int{10, 1000, 10000}

// gateWithCustomers returns a gate with limits for the given number of customers, its queue and their names.
func gateWithCustomers(customers int) (*admit.Gate[*admit.Fair], *admit.Fair, []model.Customer) {
	weights := map[model.Customer]int{}
	var names []model.Customer
	for i := range customers {
		names = append(names, model.Customer(fmt.Sprintf("customer-%d", i)))
		weights[names[i]] = 1 + i%10
	}
	fair := admit.NewFair()
	gate := admit.New(slots, fair)
	gate.SetLimits(epoch, slots, limits.Of(contracts(weights), slots))
	return gate, fair, names
}

// BenchmarkAdmission measures one arrival and one finish. If the gate is idle, each request starts at once. If it
// is full, one request of each customer waits, so that each iteration goes through the queue.
func BenchmarkAdmission(b *testing.B) {
	for _, customers := range customerCounts {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("customers=%d/full=%t", customers, full), func(b *testing.B) {
				benchmarkAdmission(b, customers, full)
			})
		}
	}
}

func benchmarkAdmission(b *testing.B, customers int, full bool) {
	gate, _, names := gateWithCustomers(customers)
	now := epoch
	id := uint64(0)
	arrive := func() admit.Decision {
		id++
		customer := names[id%uint64(customers)]
		return gate.Arrive(now, admit.Ticket{ID: id, Customer: customer, Deadline: now.Add(time.Hour)})
	}
	running := []uint64{}
	for full && id < uint64(slots+customers) {
		if decision := arrive(); decision.Action == admit.Start {
			running = append(running, decision.Ticket)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(ms)
		if decision := arrive(); decision.Action == admit.Start {
			running = append(running, decision.Ticket)
		}
		started := gate.Finish(now, running[0])
		running = running[1:]
		for _, decision := range started {
			running = append(running, decision.Ticket)
		}
	}
}

// BenchmarkFlowMemory reports the memory that the gate uses for each waiting customer, and how much remains after
// all of them have been served.
func BenchmarkFlowMemory(b *testing.B) {
	for range b.N {
		gate, fair, names := gateWithCustomers(10000)
		before := heapInUse()
		for i, customer := range names {
			gate.Arrive(epoch, admit.Ticket{ID: uint64(i + 1), Customer: customer, Deadline: epoch.Add(time.Hour)})
		}
		b.ReportMetric(float64(heapInUse()-before)/float64(len(names)), "B/customer")
		for i := range names {
			gate.Finish(epoch, uint64(i+1))
			gate.Cancel(uint64(i + 1))
		}
		b.ReportMetric(float64(fair.Flows()), "flows_left")
		b.ReportMetric(max(0, float64(heapInUse())-float64(before))/float64(len(names)), "B/customer_left")
		runtime.KeepAlive(gate)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
