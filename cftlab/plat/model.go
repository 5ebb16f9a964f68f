// Package plat stands in for the configuration service and the instance list of the platform.
//
// commands.go changes its state, queries.go reads it and serve.go serves HTTP.
package plat

import (
	"encoding/json"
	"time"

	"github.com/samber/mo"

	"comfreytack/core/model"
)

// Change is the newest value of one key.
type Change struct {
	// Key is for example "services/reservas".
	Key string `json:"key"`
	// Revision is when the key changed last.
	Revision model.Revision `json:"revision"`
	// Value is a JSON document; absent when Deleted.
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted says that the key has no value any more.
	Deleted bool `json:"deleted,omitempty"`
}

// Changes is the answer to a read or a watch.
type Changes struct {
	// Revision is the newest that this replica knows.
	Revision model.Revision `json:"revision"`
	// Changes is ordered by revision, unless the platform is switched to reordering.
	Changes []Change `json:"changes"`
}

// Faults are what is wrong with the platform.
type Faults struct {
	// Down refuses every read with 503.
	Down bool `json:"down"`
	// Stale answers every read from Frozen.
	Stale bool `json:"stale"`
	// Reordered shuffles the changes of each answer.
	Reordered bool `json:"reordered"`
	// Slow delays every answer.
	Slow time.Duration `json:"slow"`
}

// State is the content of the platform. Its maps are replaced whole, never written to.
type State struct {
	// Revision rises by one with each change.
	Revision model.Revision
	// Keys has the newest change of each key, deleted ones too.
	Keys map[string]Change
	// Frozen is the content when Stale was switched on.
	Frozen mo.Option[Content]
	// Faults are switched by operators of the lab.
	Faults Faults
}

// Content is the keys at one revision.
type Content struct {
	Revision model.Revision
	Keys     map[string]Change
}

// FaultChange is the body of POST /control. Fields that are absent stay as they are.
type FaultChange struct {
	Down      mo.Option[bool] `json:"down"`
	Stale     mo.Option[bool] `json:"stale"`
	Reordered mo.Option[bool] `json:"reordered"`
	SlowMs    mo.Option[int]  `json:"slow_ms"`
}

// Counts says how often the platform was asked.
type Counts struct {
	// Reads counts all calls that were let through, watches too.
	Reads int `json:"reads"`
	// Waiting counts the watches that wait now.
	Waiting int `json:"waiting"`
	// Refused counts the calls above the read limit.
	Refused int `json:"refused"`
	// Callers counts the calls by the value of their User-Agent header.
	Callers map[string]int `json:"callers"`
}
