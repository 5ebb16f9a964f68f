package status_test

import (
	"testing"

	mapset "github.com/deckarep/golang-set/v2"
	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/status"
)

func TestState(t *testing.T) {
	tests := []struct {
		name      string
		evacuated []model.FailureDomain
		gate      model.GateReport
		want      string
	}{
		{name: "ready", want: "ready"},
		{name: "its own domain and another are evacuated", evacuated: []model.FailureDomain{"sur", "norte"}, want: "ready; evacuated: norte; evacuated"},
		{name: "cold", gate: model.GateReport{ColdMs: 1200, ColdRoom: 3}, want: "ready; cold for 1200 ms, room for 3"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			snapshot := &model.Snapshot{Self: model.Upstream{FailureDomain: "sur"}, Leaving: mapset.NewThreadUnsafeSet[model.UpstreamName](), Ready: true}
			if len(test.evacuated) > 0 {
				snapshot.Evacuated = mapset.NewThreadUnsafeSet(test.evacuated...)
			}
			view := status.Of(snapshot, test.gate, "0.1.0")
			qt.Assert(t, view.State(), qt.Equals, test.want)
			qt.Assert(t, view.Evacuated, qt.HasLen, len(test.evacuated))
		})
	}
}
