package daemon_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/daemon"
	"comfreytack/core/model"
)

// comeBack lets the platform come back from an older copy, which has the given entries, and the daemon list it.
func (l *leasedDaemon) comeBack(changes ...model.Change) {
	const number = 1
	revision, _ := model.RevisionOf(l.revision.Era()+1, number)
	for i := range changes {
		changes[i].Revision = revision
	}
	l.state.Apply(l.now, daemon.ChangesRead{Whole: true, Delta: model.Delta{Revision: revision, Changes: changes}})
	l.revision = revision + 1
}

// TestPlatformComesBackFromAnOlderCopy checks what stands of what the platform has lost, and for how long.
func TestPlatformComesBackFromAnOlderCopy(t *testing.T) {
	documentOf := func(version int) model.Change { return published("document", fmt.Sprintf(listedDocument, version)) }
	live := func(sequence uint64) model.Change { return instance("i-1", 1, 10, sequence, model.Live) }
	leaving := func(sequence uint64) model.Change { return instance("i-1", 1, 10, sequence, model.Leaving) }
	evacuate := published("evacuations/quito", "{}")
	tests := []struct {
		name string
		act  func(l *leasedDaemon)
		// want has the instances that may be called, and version the version of the document.
		want      []model.InstanceID
		version   uint64
		evacuated bool
	}{
		{name: "nothing lost", act: func(l *leasedDaemon) { l.read(live(1)); l.comeBack(documentOf(1), live(1)) }, want: []model.InstanceID{"i-1"}, version: 1},
		{name: "a configuration is lost", act: func(l *leasedDaemon) { l.read(documentOf(7)); l.comeBack(documentOf(1)) }, version: 7},
		{name: "the first configuration is lost", act: func(l *leasedDaemon) { l.comeBack() }, version: 1},
		{name: "a lost configuration is written again", act: func(l *leasedDaemon) {
			l.read(documentOf(7))
			l.comeBack(documentOf(1))
			l.read(documentOf(7))
			l.read(documentOf(8))
		}, version: 8},
		{name: "the next configuration has a lower number than the lost one", act: func(l *leasedDaemon) {
			for version := 2; version < 9; version++ {
				l.read(documentOf(version))
			}
			l.comeBack(documentOf(1))
			l.read(documentOf(9))
		}, version: 9},
		{name: "a leaving is lost", act: func(l *leasedDaemon) { l.read(live(1), leaving(2)); l.comeBack(documentOf(1), live(1)) }, version: 1},
		{name: "a deletion is lost", act: func(l *leasedDaemon) {
			l.read(live(1), leaving(2), deletion("i-1"))
			l.comeBack(documentOf(1), live(1))
		}, version: 1},
		{name: "a deletion is lost of an instance that is alive", act: func(l *leasedDaemon) {
			l.read(live(1), deletion("i-1"))
			l.comeBack(documentOf(1), live(1))
			l.read(live(2))
		}, want: []model.InstanceID{"i-1"}, version: 1},
		{name: "a deletion is lost of an instance that has started anew", act: func(l *leasedDaemon) {
			l.read(live(5), deletion("i-1"))
			l.comeBack(documentOf(1), live(1))
			l.read(instance("i-1", 1, 11, 1, model.Live))
		}, want: []model.InstanceID{"i-1"}, version: 1},
		{name: "a new instance is lost", act: func(l *leasedDaemon) { l.read(live(1)); l.comeBack(documentOf(1)) }, want: []model.InstanceID{"i-1"}, version: 1},
		{name: "a new instance is lost for two seconds", act: func(l *leasedDaemon) {
			l.read(live(1))
			l.comeBack(documentOf(1))
			l.advance(2 * time.Second)
		}, version: 1},
		{name: "a new instance is written again", act: func(l *leasedDaemon) {
			l.read(live(1))
			l.comeBack(documentOf(1))
			l.read(live(1))
			l.advance(2 * time.Second)
		}, want: []model.InstanceID{"i-1"}, version: 1},
		{name: "an address is given to another instance, and that is lost", act: func(l *leasedDaemon) {
			l.read(live(1), deletion("i-1"), instance("i-2", 1, 20, 1, model.Live))
			l.comeBack(documentOf(1), live(1))
		}, want: []model.InstanceID{"i-2"}, version: 1},
		{name: "an evacuation is lost", act: func(l *leasedDaemon) { l.read(evacuate); l.comeBack(documentOf(1)) }, version: 1, evacuated: true},
		{name: "an evacuation is lost for ten seconds", act: func(l *leasedDaemon) {
			l.read(evacuate)
			l.comeBack(documentOf(1))
			l.advance(10 * time.Second)
		}, version: 1},
		{name: "a lost evacuation is taken back", act: func(l *leasedDaemon) {
			l.read(evacuate)
			l.comeBack(documentOf(1))
			l.read(published("evacuations/quito", ""))
		}, version: 1},
		{name: "that an evacuation was taken back is lost", act: func(l *leasedDaemon) {
			l.read(evacuate, published("evacuations/quito", ""))
			l.comeBack(documentOf(1), evacuate)
		}, version: 1, evacuated: true},
		{name: "twice", act: func(l *leasedDaemon) {
			l.read(documentOf(7), live(1), leaving(2))
			l.comeBack(documentOf(1), live(1))
			l.read(documentOf(7))
			l.comeBack(documentOf(1), live(1))
		}, version: 7},
		{name: "an answer of an earlier era", act: func(l *leasedDaemon) {
			l.comeBack(documentOf(4))
			l.state.Apply(l.now, daemon.ChangesRead{Whole: true, Delta: model.Delta{Revision: 50, Changes: []model.Change{documentOf(9)}}})
		}, version: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLeasedDaemon(t)
			test.act(l)
			if test.want == nil {
				test.want = []model.InstanceID{}
			}
			qt.Assert(t, l.callable(), qt.DeepEquals, test.want)
			snapshot := l.state.Snapshot(l.now)
			qt.Assert(t, snapshot.Document, qt.Equals, test.version)
			qt.Assert(t, snapshot.IsEvacuated("quito"), qt.Equals, test.evacuated)
		})
	}
}
