package evict_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/query/evict"
)

var now = time.Unix(1000, 0)

func holder(port string, phase evict.Phase, kilobytes int64, age time.Duration) evict.Holder {
	return evict.Holder{Port: port, Phase: phase, Bytes: kilobytes << 10, Since: now.Add(-age)}
}

func TestForMemory(t *testing.T) {
	tests := []struct {
		name     string
		holders  []evict.Holder
		newcomer evict.Holder
		want     int
	}{
		{name: "nobody", newcomer: holder("a", evict.Running, 40, 0), want: -1},
		{name: "oldest of equal heads", newcomer: holder("a", evict.Running, 40, 0), want: 1,
			holders: []evict.Holder{holder("a", evict.Reading, 64, time.Second), holder("a", evict.Reading, 64, 2*time.Second)}},
		{name: "most of equal age", newcomer: holder("a", evict.Running, 40, 0), want: 0,
			holders: []evict.Holder{holder("a", evict.Reading, 64, time.Second), holder("a", evict.Reading, 32, time.Second)}},
		{name: "the newcomer holds most", newcomer: holder("a", evict.Running, 8000, 0), want: -1,
			holders: []evict.Holder{holder("a", evict.Idle, 8, time.Hour), holder("a", evict.Reading, 64, 3*time.Second)}},
		{name: "an ordinary newcomer is not held back by many small ones", newcomer: holder("a", evict.Running, 60, 0), want: 0,
			holders: []evict.Holder{holder("a", evict.Reading, 16, time.Second), holder("a", evict.Reading, 8, time.Second)}},
		{name: "a growing head does not end idle connections", newcomer: holder("a", evict.Reading, 136, time.Second), want: -1,
			holders: []evict.Holder{holder("a", evict.Idle, 8, time.Hour)}},
		{name: "running requests like the newcomer's", newcomer: holder("a", evict.Running, 40, 0), want: -1,
			holders: []evict.Holder{holder("a", evict.Running, 40, 3*time.Second), holder("a", evict.Running, 100, 3*time.Second)}},
		{name: "a small newcomer and ordinary requests", newcomer: holder("a", evict.Reading, 8, 0), want: -1,
			holders: []evict.Holder{holder("a", evict.Running, 60, 3*time.Second)}},
		{name: "a running request that holds much more", newcomer: holder("a", evict.Running, 40, 0), want: 1,
			holders: []evict.Holder{holder("a", evict.Running, 40, 3*time.Second), holder("a", evict.Running, 8000, 0)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			victim, found := evict.ForMemory(now, slices.All(test.holders), test.newcomer)
			if !found {
				victim = -1
			}
			qt.Assert(t, victim, qt.Equals, test.want)
		})
	}
}

func TestForDescriptor(t *testing.T) {
	tests := []struct {
		name    string
		holders []evict.Holder
		want    int
	}{
		{name: "all run", want: -1, holders: []evict.Holder{holder("a", evict.Running, 1, time.Hour)}},
		{name: "idle for longest", want: 2, holders: []evict.Holder{
			holder("a", evict.Running, 1, time.Hour), holder("a", evict.Idle, 1, time.Second), holder("a", evict.Idle, 1, time.Minute),
			holder("a", evict.Reading, 1, time.Hour)}},
		{name: "unfinished heads when none is idle", want: 1, holders: []evict.Holder{
			holder("a", evict.Running, 1, time.Hour), holder("a", evict.Reading, 1, time.Second)}},
		{name: "of the port with most", want: 2, holders: []evict.Holder{
			holder("a", evict.Idle, 1, time.Hour), holder("b", evict.Idle, 1, time.Second), holder("b", evict.Idle, 1, time.Minute)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			victim, found := evict.ForDescriptor(slices.All(test.holders))
			if !found {
				victim = -1
			}
			qt.Assert(t, victim, qt.Equals, test.want)
		})
	}
}
