package final_test

import (
	"testing"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/final"
	"comfreytack/core/query/fresh"
)

func TestCheck(t *testing.T) {
	const self = model.UpstreamName("reservas-1")
	published := time.Unix(1000, 0)
	tests := []struct {
		name string
		act  func(s *model.Snapshot, call *model.Call, now *time.Time, suspended *time.Duration)
		want model.Reason
	}{
		{name: "nothing has changed", act: func(*model.Snapshot, *model.Call, *time.Time, *time.Duration) {}},
		{
			name: "the upstream leaves",
			act:  func(s *model.Snapshot, _ *model.Call, _ *time.Time, _ *time.Duration) { s.Leaving.Add(self) },
			want: model.UpstreamLeaving,
		},
		{
			name: "another upstream leaves",
			act:  func(s *model.Snapshot, _ *model.Call, _ *time.Time, _ *time.Duration) { s.Leaving.Add("reservas-2") },
		},
		{
			name: "its failure domain is evacuated",
			act: func(s *model.Snapshot, _ *model.Call, _ *time.Time, _ *time.Duration) {
				s.Evacuated = mapset.NewThreadUnsafeSet[model.FailureDomain]("quito-sur")
			},
			want: model.DomainEvacuated,
		},
		{
			name: "another failure domain is evacuated",
			act: func(s *model.Snapshot, _ *model.Call, _ *time.Time, _ *time.Duration) {
				s.Evacuated = mapset.NewThreadUnsafeSet[model.FailureDomain]("cumbaya")
			},
		},
		{
			name: "another instance",
			act:  func(_ *model.Snapshot, c *model.Call, _ *time.Time, _ *time.Duration) { c.Instance = "i-2" },
			want: model.UpstreamReplaced,
		},
		{
			name: "no instance is listed any more",
			act:  func(s *model.Snapshot, _ *model.Call, _ *time.Time, _ *time.Duration) { s.Self.Instance = "" },
			want: model.UpstreamReplaced,
		},
		{
			name: "any instance will do",
			act: func(s *model.Snapshot, c *model.Call, _ *time.Time, _ *time.Duration) {
				c.Instance, s.Self.Instance = "", "i-2"
			},
		},
		{
			name: "the daemon stops",
			act:  func(s *model.Snapshot, _ *model.Call, _ *time.Time, _ *time.Duration) { s.Stopping = true },
			want: model.Stopping,
		},
		{
			name: "the deadline is reached",
			act:  func(_ *model.Snapshot, c *model.Call, now *time.Time, _ *time.Duration) { c.Deadline = *now },
			want: model.TooLate,
		},
		{
			name: "the control state is old",
			act: func(_ *model.Snapshot, _ *model.Call, now *time.Time, _ *time.Duration) {
				*now = now.Add(fresh.MaxGap + time.Millisecond)
			},
			want: model.DaemonPaused,
		},
		{
			name: "the machine was suspended",
			act: func(_ *model.Snapshot, _ *model.Call, _ *time.Time, suspended *time.Duration) {
				*suspended = 2 * fresh.MaxGap
			},
			want: model.DaemonPaused,
		},
		{
			name: "the state is not confirmed after a pause",
			act:  func(s *model.Snapshot, _ *model.Call, _ *time.Time, _ *time.Duration) { s.Suspect = true },
			want: model.DaemonPaused,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			snapshot := model.Snapshot{
				Self:        model.Upstream{Name: self, Instance: "i-1", FailureDomain: "quito-sur"},
				Leaving:     mapset.NewThreadUnsafeSet[model.UpstreamName](),
				PublishedAt: published,
			}
			call := model.Call{Instance: "i-1", Deadline: published.Add(time.Minute)}
			now, suspended := published, time.Duration(0)
			test.act(&snapshot, &call, &now, &suspended)
			failure := final.Check(now, suspended, &snapshot, call)
			if test.want == model.NoReason {
				qt.Assert(t, failure == nil, qt.IsTrue)
				return
			}
			qt.Assert(t, *failure, qt.DeepEquals, model.Failure{Verdict: model.NotRun, Reason: test.want})
		})
	}
}
