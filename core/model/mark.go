package model

//go:generate go tool stringer -type=Intent -linecomment -output=intent_string.go

// Intent is what an operator asks of an upstream.
type Intent int

// The intents of operators' marks.
const (
	// Joining revokes an earlier Leave.
	Joining Intent = iota // joining
	// Leave asks the upstream to accept no new work.
	Leave // leaving
)

// Mark is an instruction about one upstream that an operator has published.
type Mark struct {
	// Incarnation is the incarnation that the mark applies to; it does not apply to later ones.
	Incarnation Incarnation `json:"incarnation"`
	// State is "joining" or "leaving".
	State Intent `json:"state"`
}

// Evacuation is an operator's request that the upstreams of one failure domain get no new work until it is withdrawn.
// Its key says all.
type Evacuation struct{}

// MarshalText encodes the intent by name, for example "leaving".
func (i Intent) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText decodes an intent by name.
func (i *Intent) UnmarshalText(text []byte) error {
	return parse(i, text, "state", Joining, Leave)
}
