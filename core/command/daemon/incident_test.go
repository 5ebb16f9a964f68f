package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"comfreytack/core/command/daemon"
	"comfreytack/core/model"
)

// longestIncident bounds the virtual time in which a fleet has to recover.
const longestIncident = 2 * time.Minute

// incident is an event that concerns a whole fleet, and the condition that ends it.
type incident struct {
	name string
	// do causes the incident and returns the condition that ends it.
	do func(w *world) (over func() bool)
}

func incidents() []incident {
	return []incident{
		{"a contract changes", func(w *world) func() bool {
			revision := w.platform.publish("contracts/police", contract("police", 20))
			return func() bool { return w.inForce(revision) }
		}},
		{"one daemon is told to stop", func(w *world) func() bool {
			n := w.nodes[0]
			w.apply(n, n.starts, daemon.StopRequested{})
			return func() bool { return w.knownLeaving(n.self) }
		}},
		{"one upstream is marked leaving", func(w *world) func() bool {
			n := w.nodes[0]
			w.platform.publish("marks/"+string(n.self.Name), model.Mark{Incarnation: 1, State: model.Leave})
			return func() bool { return w.knownLeaving(n.self) }
		}},
		{"one failure domain is lost, then a contract changes", func(w *world) func() bool {
			for _, n := range w.nodes {
				n.down = n.self.FailureDomain == "d1"
			}
			revision := w.platform.publish("contracts/police", contract("police", 21))
			return func() bool { return w.inForce(revision) }
		}},
		{"halves apart for 2 minutes, one without platform, then joined", func(w *world) func() bool {
			for i, n := range w.nodes {
				n.partition = i % 2
			}
			w.platform.cutPartition = 1
			w.run(time.Minute)
			revision := w.platform.publish("contracts/police", contract("police", 22))
			w.run(time.Minute)
			w.platform.cutPartition = 0
			for _, n := range w.nodes {
				n.partition = 0
			}
			return func() bool { return w.inForce(revision) }
		}},
		{"platform down for 2 minutes, a change, then up", func(w *world) func() bool {
			w.platform.down = true
			w.run(2 * time.Minute)
			revision := w.platform.publish("contracts/police", contract("police", 23))
			w.platform.down = false
			return func() bool { return w.inForce(revision) }
		}},
		{"all daemons replaced at once", func(w *world) func() bool {
			for _, n := range w.nodes {
				w.start(n, w.calls[n], seedsPerDaemon)
			}
			revision := w.platform.revision
			return func() bool { return w.inForce(revision) }
		}},
	}
}

// knownLeaving reports whether every daemon that keeps the upstream's service has the upstream as leaving.
func (w *world) knownLeaving(upstream model.Upstream) bool {
	for _, n := range w.nodes {
		snapshot := n.state.Snapshot(w.now)
		if _, keeps := snapshot.Services[upstream.Service]; keeps && !n.down && !snapshot.Leaving.Contains(upstream.Name) {
			return false
		}
	}
	return true
}

// TestIncidents checks that a small fleet recovers from each incident; with -measure it prints how long larger
// fleets take.
func TestIncidents(t *testing.T) {
	sizes := []struct {
		name                          string
		services, perService, domains int
	}{
		{"16", 4, 4, 4},
		{"200", 20, 10, 8},
		{"1000", 40, 25, 8},
	}
	for _, size := range sizes {
		daemons := size.services * size.perService
		if daemons > 16 && (!*measure || daemons < *least || daemons > *largest) {
			continue
		}
		for _, incident := range incidents() {
			t.Run(size.name+" "+incident.name, func(t *testing.T) {
				w := newWorld(5, size.services, size.perService, size.domains)
				w.calls = map[*node][]model.ServiceName{}
				for _, n := range w.nodes {
					w.calls[n] = callsOf(n, size.services)
					w.start(n, w.calls[n], seedsPerDaemon)
				}
				w.run(90 * time.Second)
				before, from := w.platform.reads, w.now
				over := incident.do(w)
				took, done := w.runUntil(longestIncident, over)
				if !done {
					t.Fatalf("not over after %v", took)
				}
				if *measure {
					reads := float64(w.platform.reads-before) / max(1, w.now.Sub(from).Seconds())
					fmt.Printf("| %d | %s | %v | %.1f |\n", daemons, incident.name, took, reads)
				}
			})
		}
	}
}
