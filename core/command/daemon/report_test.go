package daemon_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// longestChange is the shortest time of the users' sites in which a change has to be in force.
	longestChange = 2 * time.Second
	// readerRate is the reads a second of one reader that waits for changes, with room for a change each second.
	readerRate = 4
	// messageRate is the messages a second that a daemon may send: 25 KB a second, at up to 1 KB each.
	messageRate = 25
)

// disturbance changes a fleet while changes are published.
type disturbance struct {
	name string
	// do disturbs the fleet for a second; it is called each second.
	do func(w *world, second int)
	// wantReads bounds the reads a second, by the number of daemons.
	wantReads func(daemons int) float64
}

func aFewReads(int) float64 { return readerRate }

func disturbances() []disturbance {
	return []disturbance{
		{name: "none", do: func(*world, int) {}, wantReads: aFewReads},
		{name: "a tenth restarts each second", do: func(w *world, second int) {
			for i, n := range w.nodes {
				if i%10 == second%10 {
					w.start(n, nil, 0)
				}
			}
		}, wantReads: func(daemons int) float64 { return readerRate + float64(daemons)/5 }},
		{name: "a tenth is frozen at any moment", do: func(w *world, second int) {
			for i, n := range w.nodes {
				switch {
				case i%10 == second/3%10 && !n.paused:
					n.paused = true
				case i%10 != second/3%10 && n.paused:
					w.resume(n)
				}
			}
		}, wantReads: func(daemons int) float64 { return readerRate + float64(daemons)/10 }},
		{name: "a tenth is cut off from the others", do: func(w *world, second int) {
			for i, n := range w.nodes {
				n.partition = 0
				if i%10 == second/3%10 {
					n.partition = i + 1
				}
			}
		}, wantReads: func(daemons int) float64 { return readerRate + float64(daemons)/2 }},
	}
}

func newLeasedWorld(daemons int) *world {
	w := newWorld(11, 1, daemons, 6)
	w.leased = true
	w.latency = 5 * time.Millisecond
	for _, n := range w.nodes {
		w.start(n, nil, 0)
	}
	return w
}

// TestReadsDontGrowWithFleet checks that in a fleet of any size few daemons read the platform, that each sends few
// messages, and that all daemons have each change in time all the same.
func TestReadsDontGrowWithFleet(t *testing.T) {
	for _, daemons := range []int{9, 90, 295} {
		for _, disturbance := range disturbances() {
			t.Run(fmt.Sprintf("%d %s", daemons, disturbance.name), func(t *testing.T) {
				w := newLeasedWorld(daemons)
				w.run(5 * time.Second)
				qt.Assert(t, w.platform.reads <= 3*daemons+5*readerRate, qt.IsTrue, qt.Commentf("%d reads in the start", w.platform.reads))
				w.platform.reads, w.messages = 0, 0
				const seconds = 20
				for second := range seconds {
					disturbance.do(w, second)
					w.checkChange(t, second)
				}
				reads := float64(w.platform.reads) / seconds
				messages := float64(w.messages) / seconds / float64(daemons)
				t.Logf("%.1f reads a second, %.1f messages a second and daemon", reads, messages)
				qt.Assert(t, reads <= disturbance.wantReads(daemons), qt.IsTrue, qt.Commentf("%.1f reads a second", reads))
				qt.Assert(t, messages <= messageRate, qt.IsTrue, qt.Commentf("%.1f messages a second and daemon", messages))
			})
		}
	}
}

// checkChange publishes a change, runs for a second, and checks that all undisturbed daemons have what was published
// longestChange ago.
func (w *world) checkChange(t *testing.T, second int) {
	due := w.publishedBefore(w.now.Add(time.Second - longestChange))
	w.publishNow(contract("police", 1+second%9))
	w.run(time.Second)
	for _, n := range w.nodes {
		undisturbed := !n.paused && !n.down && n.partition == 0 && w.now.Sub(n.disturbedAt) > longestChange
		if undisturbed && n.state.Config.Complete < due {
			t.Fatalf("%s has revision %d, %d is due", n.self.Name, n.state.Config.Complete, due)
		}
	}
}
