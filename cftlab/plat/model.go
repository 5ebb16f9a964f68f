// Package plat implements a fake platform: the configuration service and the instance list that daemons read.
//
// load.go reads the initial keys, commands.go changes the state, queries.go reads it and serve.go serves HTTP.
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
	// Revision is the revision at which the key last changed.
	Revision model.Revision `json:"revision"`
	// Value is a JSON document; it is absent when the key is deleted.
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted means that the key no longer has a value.
	Deleted bool `json:"deleted,omitempty"`
}

// Changes is the answer to a read or a watch.
type Changes struct {
	// Revision is the newest revision of the content that readers see.
	Revision model.Revision `json:"revision"`
	// Changes is ordered by revision unless Faults.Reordered is on.
	Changes []Change `json:"changes"`
}

// Faults are the simulated faults of the platform.
type Faults struct {
	// Down refuses every read with 503.
	Down bool `json:"down"`
	// Stale answers every read from State.Frozen.
	Stale bool `json:"stale"`
	// Reordered shuffles the changes of each answer.
	Reordered bool `json:"reordered"`
	// Slow delays every answer.
	Slow time.Duration `json:"slow"`
}

// State is the state of the platform. A command copies a map to change it, so that a published state is never modified.
type State struct {
	// Revision is incremented by each change.
	Revision model.Revision
	// Keys has the newest change of each key, including deleted keys.
	Keys map[string]Change
	// Frozen is the content at the time when Faults.Stale was switched on.
	Frozen mo.Option[Content]
	// Faults are switched through POST /control.
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

// Counts are the counts of reads.
type Counts struct {
	// Reads counts the calls within the read limit, including watches.
	Reads int `json:"reads"`
	// Waiting counts the watches that are waiting now.
	Waiting int `json:"waiting"`
	// Refused counts the calls above the read limit.
	Refused int `json:"refused"`
	// Callers counts the calls by the value of their User-Agent header.
	Callers map[string]int `json:"callers"`
}
