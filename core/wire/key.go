package wire

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"comfreytack/core/model"
)

const (
	longestKey       = 200
	keyFields        = 4
	incarnationHex   = 16
	checkHex         = 8
	checkMask        = 1<<32 - 1
	longestHomeInKey = 128
)

// FormatKey encodes a key. The last field is a checksum of the rest, so that a mistyped key is refused and
// does not reach the entry of another one.
//
//	{reservas-2 0x9f3c21d07b55e0a4 17} -> "reservas-2.9f3c21d07b55e0a4.17.CHECK" with 8 hex digits of CHECK
func FormatKey(key model.Key) string {
	body := fmt.Sprintf("%s.%016x.%d", key.Home, uint64(key.Incarnation), key.Sequence)
	return body + "." + checksum(body)
}

// ParseKey decodes a key. It accepts only what FormatKey returns for a valid key.
func ParseKey(text string) (model.Key, error) {
	if len(text) > longestKey {
		return model.Key{}, errors.Errorf("key has %d bytes, at most %d are allowed", len(text), longestKey)
	}
	body, check, found := cutLast(text)
	if !found {
		return model.Key{}, errors.Errorf("key has fewer than %d fields", keyFields)
	}
	if check != checksum(body) {
		return model.Key{}, errors.New("key has a wrong checksum")
	}
	rest, sequence, found := cutLast(body)
	home, incarnation, foundTwo := cutLast(rest)
	if !found || !foundTwo {
		return model.Key{}, errors.Errorf("key has fewer than %d fields", keyFields)
	}
	return keyOf(home, incarnation, sequence)
}

func keyOf(home, incarnation, sequence string) (model.Key, error) {
	if err := checkHome(home); err != nil {
		return model.Key{}, err
	}
	life, err := strconv.ParseUint(incarnation, 16, 64)
	if err != nil || len(incarnation) != incarnationHex || incarnation != strings.ToLower(incarnation) {
		return model.Key{}, errors.Errorf("incarnation %q in key is not %d lower-case hex digits", incarnation, incarnationHex)
	}
	number, err := strconv.ParseUint(sequence, 10, 64)
	if err != nil || number == 0 || strconv.FormatUint(number, 10) != sequence {
		return model.Key{}, errors.Errorf("sequence %q in key is not a positive decimal number", sequence)
	}
	return model.Key{Home: model.UpstreamName(home), Incarnation: model.Incarnation(life), Sequence: number}, nil
}

func checkHome(home string) error {
	if home == "" || len(home) > longestHomeInKey {
		return errors.Errorf("home in key has %d bytes, not 1 to %d", len(home), longestHomeInKey)
	}
	for _, r := range home {
		if r <= ' ' || r > '~' {
			return errors.Errorf("home in key has the character %q", r)
		}
	}
	return nil
}

func checksum(body string) string {
	return fmt.Sprintf("%0*x", checkHex, xxhash.Sum64String(body)&checkMask)
}

// cutLast splits at the last dot: "a.b.c" -> "a.b", "c".
func cutLast(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, '.')
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}
