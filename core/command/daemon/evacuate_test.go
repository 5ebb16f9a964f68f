package daemon_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/config"
	"comfreytack/core/command/daemon"
	"comfreytack/core/model"
)

// domainOf returns the change of an instance in a failure domain.
func domainOf(domain model.FailureDomain, id model.InstanceID, host int) model.Change {
	change := instance(id, host, 10, 1, model.Live)
	change.Value = []byte(strings.Replace(string(change.Value), `"quito"`, strconv.Quote(string(domain)), 1))
	return change
}

// whole lets the daemon list everything that is published.
func (l *leasedDaemon) whole(changes ...model.Change) {
	for i := range changes {
		changes[i].Revision = l.revision
	}
	l.state.Apply(l.now, daemon.ChangesRead{Whole: true, Delta: model.Delta{Revision: l.revision, Changes: changes}})
	l.revision++
}

func TestEvacuation(t *testing.T) {
	const evacuated, open = "{}", ""
	sur, norte := domainOf("sur", "i-1", 1), domainOf("norte", "i-2", 2)
	evacuate := published("evacuations/sur", evacuated)
	tests := []struct {
		name string
		act  func(l *leasedDaemon)
		want []model.InstanceID
		// evacuated says that the failure domain "sur" is.
		evacuated bool
	}{
		{name: "nothing", act: func(*leasedDaemon) {}, want: []model.InstanceID{"i-1", "i-2"}},
		{name: "evacuated", act: func(l *leasedDaemon) { l.read(evacuate) }, want: []model.InstanceID{"i-2"}, evacuated: true},
		{name: "taken back", act: func(l *leasedDaemon) { l.read(evacuate, published("evacuations/sur", open)) }, want: []model.InstanceID{"i-1", "i-2"}},
		{name: "another domain is taken back", act: func(l *leasedDaemon) { l.read(evacuate, published("evacuations/norte", open)) }, want: []model.InstanceID{"i-2"}, evacuated: true},
		{name: "twice, and taken back once", act: func(l *leasedDaemon) { l.read(evacuate, evacuate, published("evacuations/sur", open)) }, want: []model.InstanceID{"i-1", "i-2"}},
		{name: "all domains", act: func(l *leasedDaemon) { l.read(evacuate, published("evacuations/norte", evacuated)) }, want: []model.InstanceID{}, evacuated: true},
		{name: "an upstream joins the domain afterwards", act: func(l *leasedDaemon) { l.read(evacuate, domainOf("sur", "i-3", 3)) }, want: []model.InstanceID{"i-2"}, evacuated: true},
		{name: "a value that is not allowed", act: func(l *leasedDaemon) { l.read(published("evacuations/sur", `{"until":5}`)) }, want: []model.InstanceID{"i-1", "i-2"}},
		{name: "a whole list has it", act: func(l *leasedDaemon) {
			l.whole(published("document", fmt.Sprintf(listedDocument, 1)), sur, norte, published("evacuations/sur", evacuated))
		}, want: []model.InstanceID{"i-2"}, evacuated: true},
		{name: "a whole list lacks it", act: func(l *leasedDaemon) {
			l.read(evacuate)
			l.whole(published("document", fmt.Sprintf(listedDocument, 1)), sur, norte)
		}, want: []model.InstanceID{"i-1", "i-2"}},
		{name: "a read of an older state", act: func(l *leasedDaemon) {
			l.read(evacuate)
			l.state.Apply(l.now, daemon.ChangesRead{Delta: model.Delta{Revision: l.revision - 2}})
		}, want: []model.InstanceID{"i-2"}, evacuated: true},
		{name: "the platform is lost", act: func(l *leasedDaemon) {
			l.read(evacuate)
			l.state.Apply(l.now, daemon.ChangesRead{Failed: true})
		}, want: []model.InstanceID{"i-2"}, evacuated: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeasedDaemon(t)
			l.read(sur, norte)
			test.act(l)
			snapshot := l.state.Snapshot(l.now)
			callable := []model.InstanceID{}
			for _, upstream := range snapshot.OpenUpstreams("reservas") {
				callable = append(callable, upstream.Instance)
			}
			qt.Assert(t, callable, qt.DeepEquals, test.want)
			qt.Assert(t, snapshot.IsEvacuated("sur"), qt.Equals, test.evacuated)

			// A daemon that starts learns the same from a copy.
			other := config.New(l.state.Config.Wanted)
			qt.Assert(t, other.Merge(l.state.Config.CopyFor(nil)), qt.Equals, config.Applied)
			_, known := other.Evacuations.Entries["sur"]
			qt.Assert(t, known, qt.Equals, test.evacuated)
		})
	}
}
