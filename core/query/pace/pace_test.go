package pace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/pace"
)

func TestActions(t *testing.T) {
	const ms = time.Millisecond
	now := time.Unix(1000, 0)
	slow := pace.Reading{Percent: 400, At: now}
	tests := []struct {
		name       string
		reading    pace.Reading
		forced     bool
		work       time.Duration
		waited     time.Duration
		onArrival  pace.Action
		onStarting pace.Action
	}{
		{name: "nothing known", onArrival: pace.Start, onStarting: pace.Start},
		{name: "as usual", reading: pace.Reading{Percent: 100, At: now}, onArrival: pace.Start, onStarting: pace.Start},
		{name: "slow, others untried", reading: slow, work: 200 * ms, onArrival: pace.Elsewhere, onStarting: pace.Elsewhere},
		{name: "slow, no other", reading: slow, forced: true, work: 200 * ms, onArrival: pace.Start, onStarting: pace.Hold},
		{name: "slow, waited enough", reading: slow, forced: true, work: 200 * ms, waited: 600 * ms, onArrival: pace.Start, onStarting: pace.Start},
		{name: "slow, short work", reading: slow, forced: true, work: 50 * ms, onArrival: pace.Start, onStarting: pace.Start},
		{name: "an old reading", reading: pace.Reading{Percent: 400, At: now.Add(-pace.Lifetime)}, work: 200 * ms, onArrival: pace.Start, onStarting: pace.Start},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			call := model.Call{Forced: test.forced}
			qt.Check(t, pace.OnArrival(now, test.reading, call), qt.Equals, test.onArrival)
			qt.Check(t, pace.OnStart(now, test.reading, call, test.work, test.waited), qt.Equals, test.onStarting)
		})
	}
}
