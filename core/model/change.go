package model

import "github.com/go-json-experiment/json/jsontext"

// Change is one published change of one key, with its value not yet decoded.
type Change struct {
	// Key is "contracts/CUSTOMER", "services/NAME" or "marks/UPSTREAM".
	Key string `json:"key"`
	// Revision is where the change stands in the published order; never zero.
	Revision Revision `json:"revision"`
	// Value is the JSON as published; empty when Deleted.
	Value jsontext.Value `json:"value,omitempty"`
	// Deleted says that the key has no value any more.
	Deleted bool `json:"deleted,omitempty"`
}

// Delta is a complete run of changes: nothing that was published after After, up to and with Revision,
// is missing, but for values that a later change in the run replaced.
type Delta struct {
	// After is the revision that the run starts behind.
	After Revision `json:"after"`
	// Revision is the last revision of the run; not less than that of any change in it.
	Revision Revision `json:"revision"`
	// Changes are in rising order of revision.
	Changes []Change `json:"changes,omitempty"`
}

// Bytes is the size of all values of the run.
func (d *Delta) Bytes() int {
	size := 0
	for _, change := range d.Changes {
		size += len(change.Value)
	}
	return size
}

// Refusal says why a published value is not in force.
type Refusal struct {
	// Key and Revision name the change that was refused.
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
	// Line is where in the value the fault lies; the first line is 1.
	Line int `json:"line"`
	// Field is the path of the faulty field, for example "upstreams.3.gate"; empty for the whole value.
	Field string `json:"field,omitempty"`
	// Found says what stands there and Allowed what may stand there.
	Found   string `json:"found"`
	Allowed string `json:"allowed,omitempty"`
}

// Peer is how one daemon introduces itself to another.
type Peer struct {
	// Name and Incarnation are those of the upstream that the daemon stands beside.
	Name        UpstreamName `json:"name"`
	Incarnation Incarnation  `json:"incarnation"`
	// Service is the service of that upstream.
	Service ServiceName `json:"service"`
	// FailureDomain is where the daemon runs.
	FailureDomain FailureDomain `json:"failure_domain"`
	// Address takes control messages.
	Address Address `json:"address"`
}
