package daemon_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-json-experiment/json"

	"comfreytack/core/command/daemon"
	"comfreytack/core/command/gossip"
	"comfreytack/core/command/lease"
	"comfreytack/core/model"
	"comfreytack/core/query/tree"
)

const listedDocument = `{"version":%d,"routes":[{"name":"r-1","host":"beds.example","path_prefix":"/a/","timeout_ms":1500,"target_ms":800,"rank":1,` +
	`"attempts":2,"targets":[{"service":"reservas","weight":1}]}],"services":[{"name":"reservas","connections":260,"health_path":"/health"}],` +
	`"intake":{"max_body_bytes":1000}}`

// leasedDaemon is a daemon beside the upstream 10.1.0.1 that reads the platform by lease.
type leasedDaemon struct {
	*testing.T
	state    *daemon.State
	now      time.Time
	revision model.Revision
	// waited is how long the platform may hold the read that awaitRead saw.
	waited time.Duration
}

func newLeasedDaemon(t *testing.T) *leasedDaemon {
	l := &leasedDaemon{T: t, now: time.Unix(1000, 0), revision: 1}
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

// read lets the daemon read changes, each with the next revision.
func (l *leasedDaemon) read(changes ...model.Change) {
	delta := model.Delta{After: l.revision - 1}
	for i := range changes {
		changes[i].Revision = l.revision
		delta.Changes = append(delta.Changes, changes[i])
		delta.Revision = l.revision
		l.revision++
	}
	l.state.Apply(l.now, daemon.ChangesRead{Delta: delta})
}

func (l *leasedDaemon) advance(d time.Duration) {
	l.now = l.now.Add(d)
	l.state.Tick(l.now, 0)
}

// callable returns the instances that calls to the service can go to.
func (l *leasedDaemon) callable() []model.InstanceID {
	snapshot := l.state.Snapshot(l.now)
	callable := []model.InstanceID{}
	for _, upstream := range snapshot.Services["reservas"].Upstreams {
		if !snapshot.Leaving.Contains(upstream.Name) {
			callable = append(callable, upstream.Instance)
		}
	}
	return callable
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

// ofService returns the change of an instance with another service.
func ofService(service string, change model.Change) model.Change {
	change.Value = []byte(strings.Replace(string(change.Value), `"reservas"`, strconv.Quote(service), 1))
	return change
}

func deletion(id model.InstanceID) model.Change { return published("instances/"+string(id), "") }

func TestListedInstances(t *testing.T) {
	tests := []struct {
		name    string
		changes []model.Change
		want    []model.InstanceID
	}{
		{name: "two", changes: []model.Change{instance("i-1", 1, 10, 1, model.Live), instance("i-2", 2, 10, 1, model.Live)}, want: []model.InstanceID{"i-1", "i-2"}},
		{name: "one leaves", changes: []model.Change{instance("i-1", 1, 10, 1, model.Leaving), instance("i-2", 2, 10, 1, model.Live)}, want: []model.InstanceID{"i-2"}},
		{name: "one is gone", changes: []model.Change{instance("i-1", 1, 10, 1, model.Live), deletion("i-1")}, want: []model.InstanceID{}},
		{name: "a newer instance of the same name", changes: []model.Change{instance("i-1", 1, 10, 1, model.Leaving), instance("i-9", 1, 20, 1, model.Live)}, want: []model.InstanceID{"i-9"}},
		{name: "the older instance is listed last", changes: []model.Change{instance("i-9", 1, 20, 1, model.Live), instance("i-1", 1, 10, 1, model.Leaving)}, want: []model.InstanceID{"i-9"}},
		{name: "an older entry of the same incarnation arrives late", changes: []model.Change{instance("i-1", 1, 10, 7, model.Leaving), instance("i-1", 1, 10, 4, model.Live)}, want: []model.InstanceID{}},
		{name: "an entry of another writer has a service that nobody named", changes: []model.Change{instance("i-1", 1, 10, 1, model.Live), ofService("colours", instance("i-9", 1, 99, 1, model.Live))}, want: []model.InstanceID{"i-1"}},
		{name: "an entry of an earlier incarnation arrives late", changes: []model.Change{instance("i-1", 1, 20, 1, model.Live), instance("i-1", 1, 10, 9, model.Leaving)}, want: []model.InstanceID{"i-1"}},
		{name: "another writer's entry lies between the entries of an instance", changes: []model.Change{instance("i-1", 1, 10, 1, model.Live), ofService("colours", instance("i-1", 1, 99, 99, model.Live)), instance("i-1", 1, 10, 2, model.Live)}, want: []model.InstanceID{"i-1"}},
		{name: "an instance leaves after another writer's entry", changes: []model.Change{instance("i-1", 1, 10, 1, model.Live), ofService("colours", instance("i-1", 1, 99, 99, model.Live)), instance("i-1", 1, 10, 2, model.Leaving)}, want: []model.InstanceID{}},
		{name: "an instance leaves after a high number at its key", changes: []model.Change{instance("i-1", 1, 10, 1, model.Live), instance("i-1", 1, 10, 99, model.Live), instance("i-1", 1, 10, 2, model.Live), instance("i-1", 1, 10, 3, model.Leaving)}, want: []model.InstanceID{}},
		{name: "an instance whose clock was set back leaves", changes: []model.Change{instance("i-1", 1, 20, 7, model.Live), instance("i-1", 1, 10, 1, model.Live), instance("i-1", 1, 10, 2, model.Leaving)}, want: []model.InstanceID{}},
		{name: "a restarted instance counts from one again", changes: []model.Change{instance("i-1", 1, 10, 7, model.Live), instance("i-1", 1, 20, 1, model.Leaving)}, want: []model.InstanceID{}},
		{name: "two late entries, with one of the later incarnation between them", changes: []model.Change{instance("i-1", 1, 20, 1, model.Live), instance("i-1", 1, 10, 8, model.Leaving), instance("i-1", 1, 20, 2, model.Live), instance("i-1", 1, 10, 9, model.Leaving)}, want: []model.InstanceID{"i-1"}},
		{name: "an older document", changes: []model.Change{instance("i-1", 1, 10, 1, model.Live), published("document", fmt.Sprintf(listedDocument, 3)), published("document", `{"version":2}`)}, want: []model.InstanceID{"i-1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeasedDaemon(t)
			l.read(test.changes...)
			qt.Assert(t, l.callable(), qt.DeepEquals, test.want)
			qt.Assert(t, l.state.Snapshot(l.now).Routes["beds.example"], qt.HasLen, 1)
		})
	}
}

// TestEntriesExpiredDuringOutage checks which upstreams are called after an outage of the platform in which entries of
// live upstreams have expired, because they could not be renewed.
func TestEntriesExpiredDuringOutage(t *testing.T) {
	tests := []struct {
		name   string
		outage time.Duration
		state  model.State
		after  time.Duration
		want   []model.InstanceID
	}{
		{name: "no outage", outage: 500 * time.Millisecond, want: []model.InstanceID{}},
		{name: "at its end", outage: 5 * time.Second, want: []model.InstanceID{"i-1"}},
		{name: "two seconds later", outage: 5 * time.Second, after: 2 * time.Second, want: []model.InstanceID{}},
		{name: "upstream was leaving", outage: 5 * time.Second, state: model.Leaving, want: []model.InstanceID{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeasedDaemon(t)
			l.read(instance("i-1", 1, 10, 1, test.state))
			l.now = l.now.Add(test.outage)
			l.read(deletion("i-1"))
			if test.after > 0 {
				l.advance(test.after)
			}
			qt.Assert(t, l.callable(), qt.DeepEquals, test.want)
		})
	}
}

// passStart advances the time beyond the daemon's start period, with a read each second.
func (l *leasedDaemon) passStart() {
	for version := 2; version < 5; version++ {
		l.now = l.now.Add(time.Second)
		l.read(published("document", fmt.Sprintf(listedDocument, version)))
	}
}

// reads waits until the daemon reads by itself, lets it read a change, and returns the messages in which it reports the
// read.
func (l *leasedDaemon) reads(change model.Change) []daemon.SendPeer {
	l.awaitRead()
	return l.answer(change)
}

// awaitRead advances the time until the daemon starts a read, and returns how long that took.
func (l *leasedDaemon) awaitRead() time.Duration {
	from := l.now
	for l.now.Sub(from) < 5*time.Second {
		l.now = l.now.Add(10 * time.Millisecond)
		for _, effect := range l.state.Tick(l.now, 0) {
			if read, ok := effect.(daemon.ReadPlatform); ok {
				l.waited = read.Wait
				return l.now.Sub(from)
			}
		}
	}
	l.Fatal("no read")
	return 0
}

// answer ends a read with a change and returns the reports that follow.
func (l *leasedDaemon) answer(change model.Change) []daemon.SendPeer {
	change.Revision = l.revision
	delta := model.Delta{After: l.revision - 1, Revision: l.revision, Changes: []model.Change{change}}
	l.revision++
	var reports []daemon.SendPeer
	for _, effect := range l.state.Apply(l.now, daemon.ChangesRead{Delta: delta}) {
		if send, ok := effect.(daemon.SendPeer); ok && send.Message.Report != nil {
			reports = append(reports, send)
		}
	}
	return reports
}

// TestReadsAreReported checks that a report of a read carries small changes, and that a daemon which has received them
// counts as up to date without a read of its own.
func TestReadsAreReported(t *testing.T) {
	reader, other := newLeasedDaemon(t), newLeasedDaemon(t)
	for _, l := range []*leasedDaemon{reader, other} {
		l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live))
		l.passStart()
	}
	reports := reader.reads(deletion("i-1"))
	qt.Assert(t, reports, qt.HasLen, 1)
	qt.Assert(t, reports[0].To, qt.Equals, model.Address("10.1.0.3:7635"))
	qt.Assert(t, reports[0].Message.Delta.Changes, qt.HasLen, 1)

	other.now = other.now.Add(650 * time.Millisecond)
	message := reports[0].Message
	message.From.Name = "10.1.0.3"
	other.state.Apply(other.now, daemon.MessageReceived{Message: message})
	qt.Assert(t, other.callable(), qt.DeepEquals, []model.InstanceID{"i-3"})
	qt.Assert(t, other.state.Lease.FreshAt, qt.Equals, other.now)
}

// largeDocument returns a document that is too large to be sent along with the report of a read.
func largeDocument(version int) string {
	routes := make([]string, 400)
	for i := range routes {
		routes[i] = fmt.Sprintf(`{"name":"r-%d","host":"beds.example","path_prefix":"/p%d/","timeout_ms":1500,"target_ms":800,"rank":1,`+
			`"attempts":2,"targets":[{"service":"reservas","weight":1}]}`, i, i)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"reservas","connections":260,"health_path":"/health"}],`+
		`"intake":{"max_body_bytes":1000}}`, version, strings.Join(routes, ","))
}

// TestLargeChangesAreReadFromPlatform checks that daemons which reach the platform don't send each other a large
// change: a daemon that hears of one reads at once, and asks a peer when the read fails or takes long.
func TestLargeChangesAreReadFromPlatform(t *testing.T) {
	tests := []struct {
		name string
		// fails makes the read that follows fail.
		fails bool
		// arrives says that the read has begun to bring the change.
		arrives bool
		// after is the time between the first report and the second.
		after time.Duration
		reads bool
		asks  bool
	}{
		{name: "at the next report", after: 100 * time.Millisecond, reads: true},
		{name: "the read takes long", after: 700 * time.Millisecond, reads: true, asks: true},
		{name: "the read takes long and brings the change", arrives: true, after: 700 * time.Millisecond, reads: true},
		{name: "the read brings the change for too long", arrives: true, after: 1700 * time.Millisecond, reads: true, asks: true},
		{name: "the read fails", fails: true, after: 100 * time.Millisecond, reads: true, asks: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader, other := newLeasedDaemon(t), newLeasedDaemon(t)
			for _, l := range []*leasedDaemon{reader, other} {
				l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live))
				l.passStart()
			}
			reports := reader.reads(published("document", largeDocument(9)))
			qt.Assert(t, reports, qt.HasLen, 1)
			message := reports[0].Message
			qt.Assert(t, message.Delta, qt.IsNil)
			message.From.Name, message.From.Address = "10.1.0.3", "10.1.0.3:7635"
			asked, _ := requested(other.state.Apply(other.now, daemon.MessageReceived{Message: message}))
			qt.Assert(t, asked, qt.IsFalse)

			other.now = other.now.Add(100 * time.Millisecond)
			_, reads := requested(other.state.Tick(other.now, 0))
			qt.Assert(t, reads, qt.Equals, test.reads)
			if test.arrives {
				other.state.Apply(other.now, daemon.LargeChange{After: other.revision - 1})
			}
			if test.fails {
				other.state.Apply(other.now, daemon.ChangesRead{Failed: true})
			}
			other.now = other.now.Add(test.after - 100*time.Millisecond)
			asked, _ = requested(other.state.Apply(other.now, daemon.MessageReceived{Message: message}))
			qt.Assert(t, asked, qt.Equals, test.asks)
		})
	}
}

// requested reports whether effects request values of a peer, and whether they read the platform.
func requested(effects []daemon.Effect) (asks, reads bool) {
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

// TestSuspendedMachine checks that after a suspension of the machine, which the daemon's clock does not count, the
// daemon treats nothing as fresh: it suspects that its state is old, reads at once, and asks peers.
func TestSuspendedMachine(t *testing.T) {
	tests := []struct {
		name      string
		suspended time.Duration
		want      bool
	}{
		{name: "not suspended"},
		{name: "for a moment", suspended: time.Second},
		{name: "for long", suspended: 5 * time.Second, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeasedDaemon(t)
			l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-4", 4, 10, 1, model.Live))
			l.passStart()
			l.state.Lease.OwnReadAt = time.Time{}
			l.now = l.now.Add(150 * time.Millisecond)
			asks, reads := requested(l.state.Tick(l.now, test.suspended))
			qt.Assert(t, l.state.Snapshot(l.now).Suspect, qt.Equals, test.want)
			qt.Assert(t, asks, qt.Equals, test.want)
			qt.Assert(t, reads, qt.Equals, test.suspended > 0)
		})
	}
}

// TestReadyAfterFirstRead checks that a daemon is ready after its first read if the platform always answers with its
// newest state.
func TestReadyAfterFirstRead(t *testing.T) {
	l := &leasedDaemon{T: t, now: time.Unix(1000, 0), revision: 1}
	l.state = daemon.New(daemon.Settings{
		Self:   model.Upstream{Name: "10.1.0.1", Incarnation: 5, Service: "reservas", FailureDomain: "quito", Peer: "10.1.0.1:7635"},
		Random: rand.New(rand.NewPCG(1, 1)),
		Leased: true,
	}, l.now)
	l.advance(50 * time.Millisecond)
	qt.Assert(t, l.state.Snapshot(l.now).Ready, qt.IsFalse)
	l.state.Apply(l.now, daemon.ChangesRead{Failed: true})
	qt.Assert(t, l.state.Snapshot(l.now).Ready, qt.IsFalse)
	l.read(published("document", fmt.Sprintf(listedDocument, 1)), instance("i-2", 2, 10, 1, model.Live))
	qt.Assert(t, l.state.Snapshot(l.now).Ready, qt.IsTrue)
}

// TestFleetStart checks which of the daemons that start together becomes the reader: none by its first read, the lowest
// rank when its knowledge gets old, and the others in turn if they hear nothing.
func TestFleetStart(t *testing.T) {
	tests := []struct {
		name string
		// others are the hosts of the other daemons, some of which read before this one.
		others []int
		want   time.Duration
	}{
		{name: "nobody reads before it", others: []int{4}, want: 900 * time.Millisecond},
		{name: "five read before it and are silent", others: []int{2, 3, 4, 5, 6, 7, 8, 9}, want: 1050 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeasedDaemon(t)
			changes := []model.Change{instance("i-1", 1, 10, 1, model.Live)}
			for _, host := range test.others {
				changes = append(changes, instance(model.InstanceID(fmt.Sprintf("i-%d", host)), host, 10, 1, model.Live))
			}
			l.read(changes...)
			qt.Assert(t, l.answer(published("document", fmt.Sprintf(listedDocument, 2))), qt.HasLen, 0)
			qt.Assert(t, l.awaitRead(), qt.Equals, test.want)
			reports := l.answer(published("document", fmt.Sprintf(listedDocument, 3)))
			qt.Assert(t, reports, qt.HasLen, len(test.others))
		})
	}
}

// TestReadOfMissingChange checks that a daemon which reads because it lacks a change does not report that read: all
// others hear of the change from the reader.
func TestReadOfMissingChange(t *testing.T) {
	l := newLeasedDaemon(t)
	l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live))
	l.passStart()
	l.state.Apply(l.now, daemon.MessageReceived{Message: gossip.Message{
		From:   model.Peer{Name: "10.1.0.3", Address: "10.1.0.3:7635"},
		Report: &gossip.Report{Fresh: lease.Freshness{Reader: "10.1.0.3"}, Revision: l.revision},
	}})
	qt.Assert(t, l.awaitRead(), qt.Equals, 100*time.Millisecond)
	qt.Assert(t, l.answer(deletion("i-1")), qt.HasLen, 0)
}

// TestReportsArePassedOn checks that a daemon passes a report on to its part of the fleet, with its changes, but not
// after a pause in which the report may have waited.
func TestReportsArePassedOn(t *testing.T) {
	rest := tree.Everyone()
	tests := []struct {
		name   string
		rest   *tree.Range
		paused time.Duration
		want   int
	}{
		{name: "nobody to pass it on to"},
		{name: "everyone", rest: &rest, want: 2},
		{name: "after a pause", rest: &rest, paused: 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeasedDaemon(t)
			l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live), instance("i-4", 4, 10, 1, model.Live))
			l.passStart()
			l.state.Tick(l.now, 0)
			l.now = l.now.Add(test.paused)
			change := deletion("i-1")
			change.Revision = l.revision
			effects := l.state.Apply(l.now, daemon.MessageReceived{Message: gossip.Message{
				From:   model.Peer{Name: "10.1.0.3", Address: "10.1.0.3:7635"},
				Report: &gossip.Report{Fresh: lease.Freshness{Reader: "10.1.0.3"}, Revision: l.revision, Rest: test.rest},
				Delta:  &model.Delta{After: l.revision - 1, Revision: l.revision, Changes: []model.Change{change}},
			}})
			passedOn := 0
			for _, effect := range effects {
				if send, ok := effect.(daemon.SendPeer); ok && send.Message.Report != nil {
					qt.Assert(t, send.Message.Report.Fresh.Reader, qt.Equals, model.UpstreamName("10.1.0.3"))
					qt.Assert(t, send.Message.Delta.Changes, qt.HasLen, 1)
					passedOn++
				}
			}
			qt.Assert(t, passedOn, qt.Equals, test.want)
		})
	}
}

// TestRestartIsAnnounced checks that others learn at once that a daemon serves again: it announces itself when it becomes
// ready, not at its next digest.
func TestRestartIsAnnounced(t *testing.T) {
	l := &leasedDaemon{T: t, now: time.Unix(1000, 0), revision: 1}
	l.state = daemon.New(daemon.Settings{
		Self:   model.Upstream{Name: "10.1.0.1", Incarnation: 5, Service: "reservas", FailureDomain: "quito", Peer: "10.1.0.1:7635"},
		Random: rand.New(rand.NewPCG(1, 1)),
		Leased: true,
	}, l.now)
	changes := []model.Change{published("document", fmt.Sprintf(listedDocument, 1)), instance("i-2", 2, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live)}
	delta := model.Delta{Revision: 1, Changes: changes}
	for i := range delta.Changes {
		delta.Changes[i].Revision = 1
	}
	announced := map[model.Address]bool{}
	for _, effect := range l.state.Apply(l.now, daemon.ChangesRead{Delta: delta, Whole: true}) {
		if send, ok := effect.(daemon.SendPeer); ok {
			announced[send.To] = send.Message.Digest.Ready
		}
	}
	qt.Assert(t, announced, qt.DeepEquals, map[model.Address]bool{"10.1.0.2:7635": true, "10.1.0.3:7635": true})
}

// TestTakeoverAnswersAtOnce checks that a daemon which takes over from a silent reader does not wait for a change, so
// that the others hear of its read before they start their own; as the reader it waits then.
func TestTakeoverAnswersAtOnce(t *testing.T) {
	l := newLeasedDaemon(t)
	l.read(instance("i-1", 1, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live))
	tests := []struct {
		name string
		want time.Duration
	}{
		{name: "takes over", want: 0},
		{name: "goes on as the reader", want: lease.Wait},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l.awaitRead()
			qt.Assert(t, l.waited, qt.Equals, test.want)
			l.answer(published("document", fmt.Sprintf(listedDocument, i+2)))
		})
	}
}

// TestReportAfterWholeRead checks that the report of a read which returned everything, because the platform has dropped
// its history, carries what has changed, so that the others need not read everything too.
func TestReportAfterWholeRead(t *testing.T) {
	first, second, third := instance("i-1", 1, 10, 1, model.Live), instance("i-3", 3, 10, 1, model.Live), instance("i-5", 5, 10, 1, model.Live)
	tests := []struct {
		name  string
		whole []model.Change
		want  []string
	}{
		{name: "nothing changed", whole: []model.Change{first, second, third}},
		{name: "one joined", whole: []model.Change{first, second, third, instance("i-4", 4, 10, 1, model.Live)}, want: []string{"instances/i-4"}},
		{name: "one is gone", whole: []model.Change{first, second}, want: []string{"instances/i-5 deleted"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeasedDaemon(t)
			l.read(first, second, third)
			l.awaitRead()
			whole := []model.Change{published("document", fmt.Sprintf(listedDocument, 1))}
			whole = append(whole, test.whole...)
			for i := range whole {
				whole[i].Revision = model.Revision(i + 1)
			}
			after := l.revision + 1
			changed := map[string]bool{}
			for _, effect := range l.state.Apply(l.now, daemon.ChangesRead{Whole: true, Delta: model.Delta{Revision: after, Changes: whole}}) {
				send, ok := effect.(daemon.SendPeer)
				if !ok || send.Message.Report == nil {
					continue
				}
				qt.Assert(t, send.Message.Delta.Revision, qt.Equals, after)
				for _, change := range send.Message.Delta.Changes {
					changed[change.Key+map[bool]string{true: " deleted"}[change.Deleted]] = true
				}
			}
			qt.Assert(t, slices.Collect(maps.Keys(changed)), qt.ContentEquals, test.want)
		})
	}
}
