package daemon_test

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreytack/core/command/config"
	"comfreytack/core/command/daemon"
	"comfreytack/core/command/reader"
	"comfreytack/core/model"
	"comfreytack/core/query/check"
)

// TestMain sets a fixed seed, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// settleTime is how long daemons may take to converge once all faults are over.
const settleTime = 90 * time.Second

// faults drives a world through random faults and checks invariants.
type faults struct {
	*world
	// leavingSeen has, by daemon, the upstreams that it has as leaving, with all that may revoke the leaving.
	leavingSeen map[*node]map[model.UpstreamName]seenLeaving
}

type seenLeaving struct {
	markRevision model.Revision
	starts       int
	listed       model.Incarnation
	// noticeIncarnation is the incarnation in the newest notice.
	noticeIncarnation model.Incarnation
}

func (f *faults) pick(t *rapid.T) *node {
	return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
}

func (f *faults) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"publish contract": func(t *rapid.T) {
			customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
			f.platform.publish("contracts/"+customer, contract(customer, rapid.IntRange(1, 9).Draw(t, "weight")))
		},
		"publish invalid contract": func(t *rapid.T) {
			customer := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")
			f.platform.publish("contracts/"+customer, contract(customer, 0))
		},
		"remove contract": func(t *rapid.T) {
			f.platform.publish("contracts/"+rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), nil)
		},
		"evacuate": func(t *rapid.T) {
			f.platform.publish("evacuations/"+string(f.pick(t).self.FailureDomain), model.Evacuation{})
		},
		"take a domain back": func(t *rapid.T) {
			f.platform.publish("evacuations/"+string(f.pick(t).self.FailureDomain), nil)
		},
		"mark": func(t *rapid.T) {
			n := f.pick(t)
			intent := rapid.SampledFrom([]model.Intent{model.Joining, model.Leave}).Draw(t, "intent")
			f.platform.publish("marks/"+string(n.self.Name), model.Mark{Incarnation: n.self.Incarnation, State: intent})
		},
		"drain": func(t *rapid.T) {
			n := f.pick(t)
			f.apply(n, n.starts, daemon.UpstreamProbed{Draining: true})
		},
		"stop": func(t *rapid.T) {
			n := f.pick(t)
			f.apply(n, n.starts, daemon.StopRequested{})
		},
		"kill": func(t *rapid.T) { f.pick(t).down = true },
		"restart": func(t *rapid.T) {
			f.start(f.pick(t), nil, 2*len(f.nodes))
		},
		"replace": func(t *rapid.T) {
			n := f.pick(t)
			n.self.Incarnation++
			f.start(n, nil, 2*len(f.nodes))
			f.platform.publish("services/s0", f.service(0, len(f.nodes)))
		},
		"pause":  func(t *rapid.T) { f.pick(t).paused = true },
		"resume": func(t *rapid.T) { f.resume(f.pick(t)) },
		"split": func(t *rapid.T) {
			for i, n := range f.nodes {
				n.partition = rapid.IntRange(0, 1).Draw(t, fmt.Sprint("side", i))
				n.disturbedAt = f.now
			}
		},
		"join sides":    func(*rapid.T) { f.joinPartitions() },
		"platform down": func(*rapid.T) { f.platform.down = true },
		"platform up":   func(*rapid.T) { f.platform.down, f.platform.staleRevision = false, 0 },
		"platform stale": func(*rapid.T) {
			f.platform.staleRevision = max(1, f.platform.revision-model.Revision(f.platform.revision.Number()/2))
		},
		"platform copied": func(*rapid.T) { f.platform.save() },
		"platform restored": func(t *rapid.T) {
			if f.platform.saved == nil {
				return
			}
			longest := rapid.IntRange(0, 3000).Draw(t, "ms until all is written again")
			f.restorePlatform(func() time.Duration { return time.Duration(f.random.IntN(longest+1)) * time.Millisecond })
		},
		"wait":        func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond) },
		"wait little": func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond) },
		"":            f.check,
	}
}

func (f *faults) joinPartitions() {
	for _, n := range f.nodes {
		n.partition = 0
	}
}

// check checks the invariants; it runs after every action.
func (f *faults) check(t *rapid.T) {
	for _, n := range f.nodes {
		if n.down || n.paused {
			continue
		}
		f.checkRevision(t, n)
		f.checkReadGap(t, n)
		f.checkLeaving(t, n)
	}
}

// checkRevision checks that the revision in force at a running daemon never falls. checkWhenReady checks the same
// for daemons that were replaced.
func (f *faults) checkRevision(t *rapid.T, n *node) {
	complete := n.state.Config.Complete
	if complete < n.highest {
		t.Fatalf("%s fell from revision %d to %d", n.self.Name, n.highest, complete)
	}
	n.highest = complete
}

// checkReadGap checks that a daemon never starts two reads within reader.MinGap, whatever it has heard.
func (f *faults) checkReadGap(t *rapid.T, n *node) {
	for i := 1; i < len(n.readAt); i++ {
		if gap := n.readAt[i].Sub(n.readAt[i-1]); gap < reader.MinGap {
			t.Fatalf("%s read twice within %v", n.self.Name, gap)
		}
	}
}

// checkLeaving checks that a leaving is revoked only by a newer mark, incarnation or instance entry.
func (f *faults) checkLeaving(t *rapid.T, n *node) {
	leaving := n.state.Snapshot(f.now).Leaving
	seen := f.leavingSeen[n]
	for _, other := range f.nodes {
		name := other.self.Name
		mark := n.state.Config.Marks.Entries[name]
		now := seenLeaving{markRevision: mark.Revision, starts: n.starts, listed: f.listed(n, name), noticeIncarnation: n.state.Leaves.Notices[name].Incarnation}
		if leaving.Contains(name) {
			if _, already := seen[name]; !already {
				seen[name] = now
			}
			continue
		}
		before, already := seen[name]
		delete(seen, name)
		if !already || before.starts != n.starts {
			continue
		}
		if now.markRevision == before.markRevision && now.listed == before.listed && now.noticeIncarnation == before.noticeIncarnation {
			t.Fatalf("%s took the leaving of %s back without a newer mark, incarnation or entry", n.self.Name, name)
		}
	}
}

func (f *faults) listed(n *node, name model.UpstreamName) model.Incarnation {
	for _, upstream := range n.state.Config.Services.Entries["s0"].Value.Upstreams {
		if upstream.Name == name {
			return upstream.Incarnation
		}
	}
	return 0
}

// checkWhenReady checks each daemon when it becomes ready: its revision must not be below one that another ready
// daemon, which could answer it throughout, had when it started.
func (f *faults) checkWhenReady(t *rapid.T) {
	f.onReady = func(n *node) {
		for _, other := range f.nodes {
			undisturbed := !other.down && !other.paused && other.disturbedAt.Before(n.startedAt) && other.partition == n.partition && n.disturbedAt.Equal(n.startedAt)
			if other == n || !undisturbed || !other.ready || !other.readyAt.Before(n.startedAt) {
				continue
			}
			if known := other.revisionAt(n.startedAt); n.state.Config.Complete < known {
				t.Fatalf("%s became ready at revision %d, though %s knew %d", n.self.Name, n.state.Config.Complete, other.self.Name, known)
			}
		}
	}
}

// settle ends all faults and checks that all daemons converge.
func (f *faults) settle(t *rapid.T) {
	f.joinPartitions()
	f.platform.down, f.platform.staleRevision = false, 0
	for _, n := range f.nodes {
		if n.down {
			f.start(n, nil, 2*len(f.nodes))
		}
		if n.paused {
			f.resume(n)
		}
	}
	f.platform.publish("contracts/police", contract("police", 30))
	if took, agreed := f.runUntil(settleTime, f.agree); !agreed {
		t.Fatalf("no agreement after %v: %s", took, f.differences())
	}
}

// agree reports whether all daemons have the newest revision, the same values and the same upstreams leaving.
func (f *faults) agree() bool {
	if !f.inForce(f.platform.revision) {
		return false
	}
	first := f.nodes[0].state
	if !f.matchesPlatform(first.Config) {
		return false
	}
	for _, n := range f.nodes[1:] {
		same := n.state.Config.Contracts.Hash == first.Config.Contracts.Hash &&
			n.state.Config.Services.Hash == first.Config.Services.Hash &&
			n.state.Config.Marks.Hash == first.Config.Marks.Hash &&
			n.state.Config.Evacuations.Hash == first.Config.Evacuations.Hash &&
			n.state.Snapshot(f.now).Leaving.Equal(first.Snapshot(f.now).Leaving) &&
			!n.state.Snapshot(f.now).Suspect
		if !same {
			return false
		}
	}
	return true
}

// matchesPlatform reports whether a daemon has the contracts and evacuations that are published, and no others.
func (f *faults) matchesPlatform(inForce *config.Store) bool {
	// invalid counts the published values that no daemon takes; an earlier value of the key may be in force.
	contracts, evacuations, invalid := 0, 0, 0
	for key, change := range f.platform.newest {
		customer, isContract := strings.CutPrefix(key, "contracts/")
		domain, isEvacuation := strings.CutPrefix(key, "evacuations/")
		switch {
		case change.Deleted:
		case check.Value(key, change.Value) != nil:
			invalid++
		case isContract:
			contracts++
			if !bytes.Equal(inForce.Contracts.Entries[model.Customer(customer)].Raw, change.Value) {
				return false
			}
		case isEvacuation:
			evacuations++
			if _, evacuated := inForce.Evacuations.Entries[model.FailureDomain(domain)]; !evacuated {
				return false
			}
		}
	}
	return contracts+invalid >= len(inForce.Contracts.Entries) && evacuations == len(inForce.Evacuations.Entries)
}

func (f *faults) differences() string {
	text := ""
	for _, key := range slices.Sorted(maps.Keys(f.platform.newest)) {
		text += fmt.Sprintf("\npublished %s at %d, deleted %v", key, f.platform.newest[key].Revision, f.platform.newest[key].Deleted)
	}
	for _, change := range f.nodes[0].state.Config.CopyFor(nil).Changes {
		text += fmt.Sprintf("\nin force %s at %d, deleted %v", change.Key, change.Revision, change.Deleted)
	}
	for _, n := range f.nodes {
		snapshot := n.state.Snapshot(f.now)
		leaving := snapshot.Leaving.ToSlice()
		slices.Sort(leaving)
		text += fmt.Sprintf("\n%s ready %v revision %d contracts %x marks %x leaving %v suspect %v",
			n.self.Name, snapshot.Ready, snapshot.Revision, n.state.Config.Contracts.Hash, n.state.Config.Marks.Hash, leaving, snapshot.Suspect)
	}
	return text
}

// TestFaults runs random faults, of daemons, the network and the platform, and checks the invariants.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 1, rapid.IntRange(1, 7).Draw(t, "daemons"), rapid.IntRange(1, 3).Draw(t, "domains"))
		w.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss")
		w.duplicateRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "doubling")
		w.latency = time.Duration(rapid.SampledFrom([]int{1, 20, 200}).Draw(t, "latency ms")) * time.Millisecond
		f := &faults{world: w, leavingSeen: map[*node]map[model.UpstreamName]seenLeaving{}}
		f.checkWhenReady(t)
		for _, n := range w.nodes {
			f.leavingSeen[n] = map[model.UpstreamName]seenLeaving{}
			w.start(n, nil, 2*len(w.nodes))
		}
		w.run(15 * time.Second)
		t.Repeat(f.actions())
		f.settle(t)
	})
}

// TestReadsWithinBudget checks that no sequence of reports, failures and waits makes one daemon read more often
// than the platform could bear from every daemon of the largest fleet.
func TestReadsWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		state := reader.New(model.Peer{Name: "self", Incarnation: 1, FailureDomain: "d0"}, now, now)
		state.Fleet = rapid.SampledFrom([]int{0, reader.MaxFleet}).Draw(t, "fleet")
		var startedAt time.Time
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms")) * time.Millisecond)
			},
			"succeed": func(*rapid.T) { state.Ended(now, true, random) },
			"fail":    func(*rapid.T) { state.Ended(now, false, random) },
			"hear": func(t *rapid.T) {
				name := model.UpstreamName(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "reader"))
				state.Heard(now, []reader.Read{{Reader: name, Incarnation: 1, FailureDomain: "d0", Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence")}})
			},
			"": func(t *rapid.T) {
				if !state.TryStart(now, random) {
					return
				}
				if gap := now.Sub(startedAt); gap < reader.Gap {
					t.Fatalf("two reads within %v", gap)
				}
				startedAt = now
			},
		})
	})
}
