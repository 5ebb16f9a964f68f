package model

//go:generate go tool stringer -type=Intent -linecomment -output=intent_string.go

// Intent is what an operator wants of an upstream.
type Intent int

// The intents of operators' marks.
const (
	// Joining takes an earlier leaving back.
	Joining Intent = iota // joining
	// Leave asks that the upstream takes no new work.
	Leave // leaving
)

// Mark is an operator's word on one upstream.
type Mark struct {
	// Incarnation is the life that the mark speaks of; later lives are not marked.
	Incarnation Incarnation `json:"incarnation"`
	// State is "joining" or "leaving".
	State Intent `json:"state"`
}

// MarshalText encodes the intent by name, for example "leaving".
func (i Intent) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText decodes an intent by name.
func (i *Intent) UnmarshalText(text []byte) error {
	return parse(i, text, "state", Joining, Leave)
}
