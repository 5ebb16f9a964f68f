package daemon_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-json-experiment/json"

	"comfreytack/core/command/daemon"
	"comfreytack/core/model"
)

const listedDocument = `{"version":%d,"routes":[{"name":"r-1","host":"beds.example","path_prefix":"/a/","timeout_ms":1500,"target_ms":800,"rank":1,` +
	`"attempts":2,"targets":[{"service":"reservas","weight":1}]}],"services":[{"name":"reservas","connections":260,"health_path":"/health"}],` +
	`"intake":{"max_body_bytes":1000}}`

// listing is a daemon beside 10.1.0.1 that reads the platform by lease.
type listing struct {
	*testing.T
	state    *daemon.State
	now      time.Time
	revision model.Revision
}

func newListing(t *testing.T) *listing {
	l := &listing{T: t, now: time.Unix(1000, 0), revision: 1}
	l.state = daemon.New(daemon.Settings{
		Self:   model.Upstream{Name: "10.1.0.1", Incarnation: 5, Service: "reservas", FailureDomain: "quito", Gate: "10.1.0.1:7620", Peer: "10.1.0.1:7635"},
		Random: rand.New(rand.NewPCG(1, 1)),
		Leased: true,
	}, l.now)
	l.read(published("document", fmt.Sprintf(listedDocument, 1)))
	return l
}

func published(key, value string) model.Change {
	return model.Change{Key: key, Value: []byte(value), Deleted: value == ""}
}

// read has the daemon read changes, of which each gets the next revision.
func (l *listing) read(changes ...model.Change) {
	delta := model.Delta{After: l.revision - 1}
	for i := range changes {
		changes[i].Revision = l.revision
		delta.Changes = append(delta.Changes, changes[i])
		delta.Revision = l.revision
		l.revision++
	}
	l.state.Apply(l.now, daemon.ChangesRead{Delta: delta})
}

func (l *listing) pass(d time.Duration) {
	l.now = l.now.Add(d)
	l.state.Beat(l.now, 0)
}

// called returns the instances that calls to the service may go to.
func (l *listing) called() []model.InstanceID {
	snapshot := l.state.Snapshot(l.now)
	called := []model.InstanceID{}
	for _, upstream := range snapshot.Services["reservas"].Upstreams {
		if !snapshot.Leaving.Contains(upstream.Name) {
			called = append(called, upstream.Instance)
		}
	}
	return called
}

func instance(id model.InstanceID, host int, born model.Incarnation, sequence uint64, state model.State) model.Change {
	encoded, err := json.Marshal(model.Upstream{
		Name: model.UpstreamName(fmt.Sprintf("10.1.0.%d", host)), Incarnation: born, Service: "reservas", FailureDomain: "quito",
		Gate: model.Address(fmt.Sprintf("10.1.0.%d:7620", host)), Peer: model.Address(fmt.Sprintf("10.1.0.%d:7635", host)),
		Instance: id, Slots: 9, Sequence: sequence, State: state,
	})
	if err != nil {
		panic(err)
	}
	return published("instances/"+string(id), string(encoded))
}

func gone(id model.InstanceID) model.Change { return published("instances/"+string(id), "") }

func TestListedInstances(t *testing.T) {
	tests := []struct {
		name    string
		changes []model.Change
		want    []model.InstanceID
	}{
		{name: "two", changes: []model.Change{instance("i-1", 1, 10, 1, model.Live), instance("i-2", 2, 10, 1, model.Live)}, want: []model.InstanceID{"i-1", "i-2"}},
		{name: "one leaves", changes: []model.Change{instance("i-1", 1, 10, 1, model.Leaving), instance("i-2", 2, 10, 1, model.Live)}, want: []model.InstanceID{"i-2"}},
		{name: "one is gone", changes: []model.Change{instance("i-1", 1, 10, 1, model.Live), gone("i-1")}, want: []model.InstanceID{}},
		{name: "a later life at its place", changes: []model.Change{instance("i-1", 1, 10, 1, model.Leaving), instance("i-9", 1, 20, 1, model.Live)}, want: []model.InstanceID{"i-9"}},
		{name: "the earlier life is listed last", changes: []model.Change{instance("i-9", 1, 20, 1, model.Live), instance("i-1", 1, 10, 1, model.Leaving)}, want: []model.InstanceID{"i-9"}},
		{name: "an older word of the same life comes late", changes: []model.Change{instance("i-1", 1, 10, 7, model.Leaving), instance("i-1", 1, 10, 4, model.Live)}, want: []model.InstanceID{}},
		{name: "a word of an earlier life comes late", changes: []model.Change{instance("i-1", 1, 20, 1, model.Live), instance("i-1", 1, 10, 9, model.Leaving)}, want: []model.InstanceID{"i-1"}},
		{name: "an older document", changes: []model.Change{instance("i-1", 1, 10, 1, model.Live), published("document", fmt.Sprintf(listedDocument, 3)), published("document", `{"version":2}`)}, want: []model.InstanceID{"i-1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newListing(t)
			l.read(test.changes...)
			qt.Assert(t, l.called(), qt.DeepEquals, test.want)
			qt.Assert(t, l.state.Snapshot(l.now).Routes["beds.example"], qt.HasLen, 1)
		})
	}
}

// TestLapsesDuringAnOutage checks which upstreams are called behind an outage of the platform, in which the
// entries of some that live have lapsed.
func TestLapsesDuringAnOutage(t *testing.T) {
	tests := []struct {
		name   string
		outage time.Duration
		state  model.State
		after  time.Duration
		want   []model.InstanceID
	}{
		{name: "no outage", outage: 500 * time.Millisecond, want: []model.InstanceID{}},
		{name: "at its end", outage: 5 * time.Second, want: []model.InstanceID{"i-1"}},
		{name: "two seconds on", outage: 5 * time.Second, after: 2 * time.Second, want: []model.InstanceID{}},
		{name: "one that had said that it leaves", outage: 5 * time.Second, state: model.Leaving, want: []model.InstanceID{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newListing(t)
			l.read(instance("i-1", 1, 10, 1, test.state))
			l.now = l.now.Add(test.outage)
			l.read(gone("i-1"))
			if test.after > 0 {
				l.pass(test.after)
			}
			qt.Assert(t, l.called(), qt.DeepEquals, test.want)
		})
	}
}

// settle lets the daemon be past its start, with reads all along.
func (l *listing) settle() {
	for version := 2; version < 5; version++ {
		l.now = l.now.Add(time.Second)
		l.read(published("document", fmt.Sprintf(listedDocument, version)))
	}
}

// reads has the daemon read a change and returns whom it tells.
func (l *listing) reads(change model.Change) []daemon.SendPeer {
	change.Revision = l.revision
	delta := model.Delta{After: l.revision - 1, Revision: l.revision, Changes: []model.Change{change}}
	l.revision++
	var told []daemon.SendPeer
	for _, effect := range l.state.Apply(l.now, daemon.ChangesRead{Delta: delta}) {
		if send, ok := effect.(daemon.SendPeer); ok {
			told = append(told, send)
		}
	}
	return told
}

// TestReadsAreTold checks that small changes go along with the word of a read, and that the receiver of all of
// them need not read.
func TestReadsAreTold(t *testing.T) {
	reader, other := newListing(t), newListing(t)
	for _, l := range []*listing{reader, other} {
		l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live))
		l.settle()
	}
	told := reader.reads(gone("i-1"))
	qt.Assert(t, told, qt.HasLen, 1)
	qt.Assert(t, told[0].To, qt.Equals, model.Address("10.1.0.3:7635"))
	qt.Assert(t, told[0].Message.Delta.Changes, qt.HasLen, 1)

	other.now = other.now.Add(650 * time.Millisecond)
	message := told[0].Message
	message.From.Name = "10.1.0.3"
	other.state.Apply(other.now, daemon.PeerSaid{Message: message})
	qt.Assert(t, other.called(), qt.DeepEquals, []model.InstanceID{"i-3"})
	qt.Assert(t, other.state.Lease.FreshAt, qt.Equals, other.now)
}

// largeDocument returns a document that is too large to go along with the word of a read.
func largeDocument(version int) string {
	routes := make([]string, 400)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"r-%d","host":"beds.example","path_prefix":"/p%d/","timeout_ms":1500,"target_ms":800,"rank":1,`+
			`"attempts":2,"targets":[{"service":"reservas","weight":1}]}`, i, i)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"reservas","connections":260,"health_path":"/health"}],`+
		`"intake":{"max_body_bytes":1000}}`, version, strings.Join(routes, ","))
}

// TestLargeChangesAreRead checks that a large change is not passed on between daemons that reach the platform: who
// hears of it reads at once, and asks a peer when that fails or takes long.
func TestLargeChangesAreRead(t *testing.T) {
	tests := []struct {
		name string
		// fails says that the read which follows fails.
		fails bool
		// after is how long after the first word the next one comes.
		after time.Duration
		reads bool
		asks  bool
	}{
		{name: "at the next word", after: 100 * time.Millisecond, reads: true},
		{name: "the read takes long", after: 700 * time.Millisecond, reads: true, asks: true},
		{name: "the read fails", fails: true, after: 100 * time.Millisecond, reads: true, asks: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader, other := newListing(t), newListing(t)
			for _, l := range []*listing{reader, other} {
				l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live))
				l.settle()
			}
			told := reader.reads(published("document", largeDocument(9)))
			qt.Assert(t, told, qt.HasLen, 1)
			message := told[0].Message
			qt.Assert(t, message.Delta, qt.IsNil)
			message.From.Name, message.From.Address = "10.1.0.3", "10.1.0.3:7635"
			asked, _ := wants(other.state.Apply(other.now, daemon.PeerSaid{Message: message}))
			qt.Assert(t, asked, qt.IsFalse)

			other.now = other.now.Add(100 * time.Millisecond)
			_, reads := wants(other.state.Beat(other.now, 0))
			qt.Assert(t, reads, qt.Equals, test.reads)
			if test.fails {
				other.state.Apply(other.now, daemon.ChangesRead{Failed: true})
			}
			other.now = other.now.Add(test.after - 100*time.Millisecond)
			asked, _ = wants(other.state.Apply(other.now, daemon.PeerSaid{Message: message}))
			qt.Assert(t, asked, qt.Equals, test.asks)
		})
	}
}

// wants tells whether effects ask a peer for values, and whether they read the platform.
func wants(effects []daemon.Effect) (asks, reads bool) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case daemon.SendPeer:
			asks = asks || e.Message.Want != nil
		case daemon.ReadPlatform:
			reads = true
		}
	}
	return asks, reads
}

// TestSuspendedMachine checks that a daemon whose clock stood still takes nothing of before for fresh: it doubts what it
// knows, reads at once, and asks others.
func TestSuspendedMachine(t *testing.T) {
	tests := []struct {
		name  string
		slept time.Duration
		want  bool
	}{
		{name: "not suspended"},
		{name: "for a moment", slept: time.Second},
		{name: "for long", slept: 5 * time.Second, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newListing(t)
			l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-4", 4, 10, 1, model.Live))
			l.settle()
			l.state.Lease.OwnReadAt = time.Time{}
			l.now = l.now.Add(150 * time.Millisecond)
			asks, reads := wants(l.state.Beat(l.now, test.slept))
			qt.Assert(t, l.state.Snapshot(l.now).Suspect, qt.Equals, test.want)
			qt.Assert(t, asks, qt.Equals, test.want)
			qt.Assert(t, reads, qt.Equals, test.slept > 0)
		})
	}
}

// TestNobodyIsToldAtTheStart checks that a daemon which has just started tells nobody of its reads.
func TestNobodyIsToldAtTheStart(t *testing.T) {
	l := newListing(t)
	l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live))
	qt.Assert(t, l.reads(gone("i-1")), qt.HasLen, 0)
}

// TestReadyWithTheFirstRead checks that a daemon whose platform is never behind serves as soon as it has read it.
func TestReadyWithTheFirstRead(t *testing.T) {
	l := &listing{T: t, now: time.Unix(1000, 0), revision: 1}
	l.state = daemon.New(daemon.Settings{
		Self:   model.Upstream{Name: "10.1.0.1", Incarnation: 5, Service: "reservas", FailureDomain: "quito", Peer: "10.1.0.1:7635"},
		Random: rand.New(rand.NewPCG(1, 1)),
		Leased: true,
	}, l.now)
	l.pass(50 * time.Millisecond)
	qt.Assert(t, l.state.Snapshot(l.now).Ready, qt.IsFalse)
	l.state.Apply(l.now, daemon.ChangesRead{Failed: true})
	qt.Assert(t, l.state.Snapshot(l.now).Ready, qt.IsFalse)
	l.read(published("document", fmt.Sprintf(listedDocument, 1)), instance("i-2", 2, 10, 1, model.Live))
	qt.Assert(t, l.state.Snapshot(l.now).Ready, qt.IsTrue)
}

// TestStartOfAFleet checks from when on daemons that have started together tell others of their reads: the one that
// reads first before the rest, which then hear of it and stay silent.
func TestStartOfAFleet(t *testing.T) {
	tests := []struct {
		name string
		// others are the hosts of the other daemons, of which better ones read before this one.
		others []int
		after  time.Duration
		tells  bool
	}{
		{name: "just started", others: []int{4}, after: 1900 * time.Millisecond},
		{name: "nobody reads before it", others: []int{4}, after: 2 * time.Second, tells: true},
		{name: "some read before it", others: []int{2, 3, 4, 5, 6, 7, 8, 9}, after: 2 * time.Second},
		{name: "they are silent", others: []int{2, 3, 4, 5, 6, 7, 8, 9}, after: 4 * time.Second, tells: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newListing(t)
			changes := []model.Change{instance("i-1", 1, 10, 1, model.Live)}
			for _, host := range test.others {
				changes = append(changes, instance(model.InstanceID(fmt.Sprintf("i-%d", host)), host, 10, 1, model.Live))
			}
			l.read(changes...)
			for range test.after / (50 * time.Millisecond) {
				l.pass(50 * time.Millisecond)
			}
			told := l.reads(published("document", fmt.Sprintf(listedDocument, 2)))
			qt.Assert(t, len(told) > 0, qt.Equals, test.tells)
		})
	}
}
