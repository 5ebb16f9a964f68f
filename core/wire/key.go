package wire

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/samber/mo"

	"comfreytack/core/model"
)

// HeaderSend numbers the sends of a key from 1. Both callers and daemons send it.
const HeaderSend = "Comfreytack-Send"

// HeaderIssue asks another daemon to issue the given number of new keys.
const HeaderIssue = "Comfreytack-Issue"

const (
	maxSendNumber     = 1_000_000
	maxKeyBytes       = 200
	keyFields         = 4
	incarnationDigits = 16
	checksumDigits    = 8
	checksumMask      = 1<<32 - 1
	maxHomeBytes      = 128
)

// FormatKey encodes a key. The last field is a checksum of the rest, so that a mistyped key is refused instead of
// being taken for another one.
//
//	{reservas-2 0x9f3c21d07b55e0a4 17} -> "reservas-2.9f3c21d07b55e0a4.17.CHECK" with 8 hex digits of CHECK
func FormatKey(key model.Key) string {
	body := fmt.Sprintf("%s.%016x.%d", key.Home, uint64(key.Incarnation), key.Sequence)
	return body + "." + checksum(body)
}

// ParseKey decodes a key. It accepts only what FormatKey returns for a valid key.
func ParseKey(text string) (model.Key, error) {
	if len(text) > maxKeyBytes {
		return model.Key{}, errors.Errorf("key has %d bytes, at most %d are allowed", len(text), maxKeyBytes)
	}
	body, check, found := splitAtLastDot(text)
	if !found {
		return model.Key{}, errors.Errorf("key has fewer than %d fields", keyFields)
	}
	if check != checksum(body) {
		return model.Key{}, errors.New("key has a wrong checksum")
	}
	rest, sequence, found := splitAtLastDot(body)
	home, incarnation, foundHome := splitAtLastDot(rest)
	if !found || !foundHome {
		return model.Key{}, errors.Errorf("key has fewer than %d fields", keyFields)
	}
	return parseFields(home, incarnation, sequence)
}

// ReadKey sets the call's key and send number from the named header and HeaderSend; a call without the named
// header has no key. The error is a *model.Failure with verdict NotRun: no call with such a key ever ran.
func ReadKey(header http.Header, name string, call *model.Call) error {
	texts := header.Values(name)
	if len(texts) == 0 {
		return nil
	}
	if len(texts) > 1 {
		return badRequest(errors.Errorf("%s header occurs %d times, at most once is allowed", name, len(texts)))
	}
	key, err := ParseKey(texts[0])
	if err != nil {
		return &model.Failure{Verdict: model.NotRun, Reason: model.KeyUnknown, Cause: err}
	}
	send, err := parseSendNumber(header.Get(HeaderSend))
	if err != nil {
		return badRequest(err)
	}
	call.Key = mo.Some(key)
	call.Send = send
	return nil
}

// SetKey encodes the key and send number of a keyed call for the key's home.
func SetKey(header http.Header, call model.Call) {
	header.Set(HeaderKey, FormatKey(call.Key.OrEmpty()))
	header.Set(HeaderSend, strconv.Itoa(call.Send))
}

// parseSendNumber decodes a send number; zero, or no text, means that the caller does not number its sends.
func parseSendNumber(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	send, err := strconv.Atoi(text)
	if err != nil || send < 0 || send > maxSendNumber {
		return 0, errors.Errorf("%s is %q, not a number from 1 to %d, or 0 for a send without a number", HeaderSend, text, maxSendNumber)
	}
	return send, nil
}

func parseFields(home, incarnation, sequence string) (model.Key, error) {
	if err := checkHome(home); err != nil {
		return model.Key{}, err
	}
	parsedIncarnation, err := strconv.ParseUint(incarnation, 16, 64)
	if err != nil || len(incarnation) != incarnationDigits || incarnation != strings.ToLower(incarnation) {
		return model.Key{}, errors.Errorf("incarnation %q in key is not %d lower-case hex digits", incarnation, incarnationDigits)
	}
	parsedSequence, err := strconv.ParseUint(sequence, 10, 64)
	if err != nil || parsedSequence == 0 || strconv.FormatUint(parsedSequence, 10) != sequence {
		return model.Key{}, errors.Errorf("sequence %q in key is not a positive decimal number", sequence)
	}
	return model.Key{Home: model.UpstreamName(home), Incarnation: model.Incarnation(parsedIncarnation), Sequence: parsedSequence}, nil
}

func checkHome(home string) error {
	if home == "" || len(home) > maxHomeBytes {
		return errors.Errorf("home in key has %d bytes, not 1 to %d", len(home), maxHomeBytes)
	}
	for _, r := range home {
		if r <= ' ' || r > '~' {
			return errors.Errorf("home in key contains the invalid character %q", r)
		}
	}
	return nil
}

func checksum(body string) string {
	return fmt.Sprintf("%0*x", checksumDigits, xxhash.Sum64String(body)&checksumMask)
}

// splitAtLastDot splits at the last dot: "a.b.c" -> "a.b", "c".
func splitAtLastDot(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, '.')
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}
