package model_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-json-experiment/json"

	"comfreytack/core/model"
)

// TestChangeKeepsItsValue checks that a value survives the way from one daemon to another, also one that JSON counts as
// empty.
func TestChangeKeepsItsValue(t *testing.T) {
	tests := []struct {
		name   string
		change model.Change
	}{
		{name: "an object", change: model.Change{Key: "marks/a", Revision: 7, Value: []byte(`{"incarnation":1}`)}},
		{name: "an empty object", change: model.Change{Key: "evacuations/quito-sur", Revision: 7, Value: []byte(`{}`)}},
		{name: "null", change: model.Change{Key: "marks/a", Revision: 7, Value: []byte(`null`)}},
		{name: "deleted", change: model.Change{Key: "evacuations/quito-sur", Revision: 7, Deleted: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := json.Marshal(test.change)
			qt.Assert(t, err, qt.IsNil)
			var got model.Change
			qt.Assert(t, json.Unmarshal(encoded, &got), qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, test.change)
		})
	}
}
