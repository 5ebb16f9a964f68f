package stale_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/traffic/stale"
)

func TestMemory(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name   string
		reason model.Reason
		// asked is the instance that is listed later, and age how much later.
		asked model.InstanceID
		age   time.Duration
		want  bool
	}{
		{name: "the upstream's own word", reason: model.InstanceRefused, asked: "i-1", want: true},
		{name: "as its gate remembers it", reason: model.InstanceStale, asked: "i-1", want: true},
		{name: "a gate whose list differs", reason: model.UpstreamReplaced, asked: "i-1"},
		{name: "another failure", reason: model.UpstreamDown, asked: "i-1"},
		{name: "the list follows", reason: model.InstanceRefused, asked: "i-2"},
		{name: "just before the end", reason: model.InstanceRefused, asked: "i-1", age: stale.Lifetime - time.Millisecond, want: true},
		{name: "at the end", reason: model.InstanceRefused, asked: "i-1", age: stale.Lifetime},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var memory stale.Memory
			memory.Learn(start, "beds-1", "i-1", test.reason)
			now := start.Add(test.age)
			qt.Assert(t, memory.Refuses(now, "beds-1", test.asked), qt.Equals, test.want)
			qt.Assert(t, memory.Refuses(now, "beds-2", test.asked), qt.IsFalse)
		})
	}
}
