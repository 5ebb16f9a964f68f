package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/poison"
	"comfreytack/core/model"
)

// TestJointCrashes has requests in flight at crashes that may have one cause of their own.
func TestJointCrashes(t *testing.T) {
	const innocent = model.Fingerprint(1)
	second := start.Add(2 * time.Second)
	joint := func(detectors []*poison.Detector, upstreams ...model.UpstreamName) {
		for i, upstream := range upstreams {
			detectors[i].Crashed(second, upstream, 1, sentAt(start, innocent))
		}
	}
	tests := []struct {
		name string
		act  func(detectors []*poison.Detector)
		want poison.Admission
	}{
		{
			name: "two at once",
			act:  func(d []*poison.Detector) { joint(d, "reservas-0", "reservas-1") },
			want: poison.Alone,
		},
		{
			name: "two at once, and a success",
			act: func(d []*poison.Detector) {
				joint(d, "reservas-0", "reservas-1")
				share(second, d)
				d[0].Succeeded(innocent)
			},
			want: poison.Free,
		},
		{
			name: "one after the other, with one long run at both",
			act: func(d []*poison.Detector) {
				joint(d, "reservas-0")
				d[1].Crashed(second.Add(time.Second), "reservas-1", 1, sentAt(start, innocent))
			},
			want: poison.Alone,
		},
		{
			name: "two at once, and sent again",
			act: func(d []*poison.Detector) {
				joint(d, "reservas-0", "reservas-1")
				d[2].Crashed(second.Add(time.Second), "reservas-2", 1, sentAt(second.Add(time.Millisecond), innocent))
			},
			want: poison.Barred,
		},
		{
			name: "three at once",
			act:  func(d []*poison.Detector) { joint(d, "reservas-0", "reservas-1", "reservas-2") },
			want: poison.Barred,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			detectors := make([]*poison.Detector, 3)
			for i := range detectors {
				detectors[i] = poison.New(poison.DefaultSettings())
			}
			test.act(detectors)
			share(second, detectors)
			for _, detector := range detectors {
				qt.Assert(t, detector.Begin(second.Add(3*time.Second), innocent, false), qt.Equals, test.want)
			}
		})
	}
}

// share lets all detectors learn what each of them knows.
func share(now time.Time, detectors []*poison.Detector) {
	for _, from := range detectors {
		for _, to := range detectors {
			to.Merge(now, from.Gossip(now))
		}
	}
}
