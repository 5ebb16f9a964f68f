package model

import "github.com/pkg/errors"

// MarshalText encodes the verdict by name, for example "not_run".
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes a verdict by name.
func (v *Verdict) UnmarshalText(text []byte) error {
	return parse(v, text, "verdict", NotRun, Ran)
}

// MarshalText encodes the class by name, for example "long".
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText decodes a class by name.
func (c *Class) UnmarshalText(text []byte) error {
	return parse(c, text, "class", Short, Long)
}

// MarshalText encodes the tier by name, for example "background".
func (t Tier) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText decodes a tier by name.
func (t *Tier) UnmarshalText(text []byte) error {
	return parse(t, text, "tier", Standard, Background)
}

// MarshalText encodes the state by name, for example "leaving".
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a state by name.
func (s *State) UnmarshalText(text []byte) error {
	return parse(s, text, "state", Live, Gone)
}

// MarshalText encodes the reason by name, for example "queue_full".
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes a reason by name.
func (r *Reason) UnmarshalText(text []byte) error {
	return parse(r, text, "reason", NoReason, MemoryShort)
}

type enum interface {
	~int
	String() string
}

// parse sets target to the value between first and last whose name is text.
func parse[E enum](target *E, text []byte, kind string, first, last E) error {
	for value := first; value <= last; value++ {
		if value.String() == string(text) {
			*target = value
			return nil
		}
	}
	return errors.Errorf("unknown %s %q", kind, text)
}
