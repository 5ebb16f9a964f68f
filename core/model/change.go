package model

import "github.com/go-json-experiment/json/jsontext"

// Change is one published change of one key; its value is not decoded yet.
type Change struct {
	// Key is "contracts/CUSTOMER", "services/NAME", "marks/UPSTREAM", "instances/ID", "document" or
	// "evacuations/DOMAIN".
	Key string `json:"key"`
	// Revision is the position of the change in the published order; never zero.
	Revision Revision `json:"revision"`
	// Value is the JSON as published; empty when Deleted.
	Value jsontext.Value `json:"value,omitzero"`
	// Deleted is true when the key no longer has a value.
	Deleted bool `json:"deleted,omitempty"`
}

// Delta is a complete range of changes: every change published after revision After, up to and including
// Revision, except values that a later change of the range replaced.
type Delta struct {
	// After is the revision before the range.
	After Revision `json:"after"`
	// Revision is the last revision of the range; not less than that of any change in it.
	Revision Revision `json:"revision"`
	// Exact is true when the range has only what differs between After and some later revision, so that it leads on from After
	// alone and not from a revision in between.
	Exact bool `json:"exact,omitempty"`
	// Changes are in ascending order of revision.
	Changes []Change `json:"changes,omitempty"`
}

// Bytes returns the total size of the values.
func (d *Delta) Bytes() int {
	size := 0
	for _, change := range d.Changes {
		size += len(change.Value)
	}
	return size
}

// Refusal explains why a published value was rejected and is not in force.
type Refusal struct {
	// Key and Revision identify the rejected change.
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
	// Line is the line of the value that is wrong; the first line is 1.
	Line int `json:"line"`
	// Field is the path of the invalid field, for example "upstreams.3.gate"; empty for the whole value.
	Field string `json:"field,omitempty"`
	// Found describes the value found there, and Allowed the values that are valid.
	Found   string `json:"found"`
	Allowed string `json:"allowed,omitempty"`
}

// Peer is how one daemon introduces itself to another.
type Peer struct {
	// Name and Incarnation are those of the daemon's local upstream.
	Name        UpstreamName `json:"name"`
	Incarnation Incarnation  `json:"incarnation"`
	// Service is the service of that upstream.
	Service ServiceName `json:"service"`
	// FailureDomain is where the daemon runs.
	FailureDomain FailureDomain `json:"failure_domain"`
	// Address is where the daemon receives control messages.
	Address Address `json:"address"`
}
