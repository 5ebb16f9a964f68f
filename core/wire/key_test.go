package wire_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/wire"
)

var sampleKey = model.Key{Home: "reservas-2", Incarnation: 0x9f3c21d07b55e0a4, Sequence: 17}

func TestParseKey(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{name: "no dots", text: "abc", want: "key has fewer than 4 fields"},
		{name: "a caller's own UUID", text: "7b1c2c9e-0f4e-4a53-9f0e-5f4d1f6f7a10", want: "key has fewer than 4 fields"},
		{name: "wrong checksum", text: "reservas-2.9f3c21d07b55e0a4.17.00000000", want: "key has a wrong checksum"},
		{name: "too long", text: string(make([]byte, 201)), want: "key has 201 bytes, at most 200 are allowed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := wire.ParseKey(test.text)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

// TestEveryTypingErrorIsRefused replaces each character of a key by each other one: the checksum must reject them all.
func TestEveryTypingErrorIsRefused(t *testing.T) {
	text := wire.FormatKey(sampleKey)
	for i := range len(text) {
		for c := byte('!'); c <= '~'; c++ {
			typed := text[:i] + string(c) + text[i+1:]
			key, err := wire.ParseKey(typed)
			if typed == text {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, key, qt.Equals, sampleKey)
				continue
			}
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", typed))
		}
	}
}

// FuzzParseKey checks that a key that parses is formatted as the same text.
func FuzzParseKey(f *testing.F) {
	for _, seed := range []string{"", ".", "...", wire.FormatKey(sampleKey), wire.FormatKey(model.Key{Home: "a.b", Sequence: 1}), "a.0.1.x"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		key, err := wire.ParseKey(text)
		if err != nil {
			return
		}
		qt.Assert(t, wire.FormatKey(key), qt.Equals, text)
	})
}

func BenchmarkParseKey(b *testing.B) {
	text := wire.FormatKey(sampleKey)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = wire.ParseKey(text)
	}
}
