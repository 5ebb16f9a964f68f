package wire

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/model"
)

// The fields of HeaderCall, which is encoded like the query of a URL. Short names: the header goes along with
// every call between daemons, and those in other failure domains pay for each byte. A field that has its
// zero value is left out.
const (
	fieldID          = "i"
	fieldCustomer    = "c"
	fieldService     = "s"
	fieldDeadlineMs  = "d"
	fieldRunMs       = "e"
	fieldLong        = "l"
	fieldIdempotent  = "a"
	fieldSuspect     = "p"
	fieldFingerprint = "f"
	fieldRoute       = "r"
	fieldRank        = "k"
	fieldTargetMs    = "t"
	fieldInstance    = "n"
	fieldOrigin      = "o"
	fieldInsist      = "y"
	fieldNested      = "w"
)

const (
	flagSet        = "1"
	fingerprintHex = 16
)

// SetCall writes a call for another daemon's gate.
func SetCall(header http.Header, call model.Call, now time.Time) {
	fields := url.Values{}
	put := func(name, value string) {
		if value != "" {
			fields.Set(name, value)
		}
	}
	flag := func(name string, set bool) {
		if set {
			fields.Set(name, flagSet)
		}
	}
	put(fieldID, call.ID)
	put(fieldCustomer, string(call.Customer))
	put(fieldService, string(call.Service))
	put(fieldDeadlineMs, millisecondsTo(call.Deadline, now))
	if call.RunDeadline().After(call.Deadline) {
		put(fieldRunMs, millisecondsTo(call.RunDeadline(), now))
	}
	flag(fieldLong, call.Class == model.Long)
	flag(fieldIdempotent, call.Idempotent)
	flag(fieldSuspect, call.Suspect)
	flag(fieldInsist, call.Forced)
	flag(fieldNested, call.Nested)
	if call.Fingerprint != 0 {
		put(fieldFingerprint, strconv.FormatUint(uint64(call.Fingerprint), fingerprintHex))
	}
	if call.Route != "" {
		put(fieldRoute, call.Route)
		put(fieldRank, strconv.Itoa(call.Rank))
		put(fieldTargetMs, millisecondsTo(call.Target, now))
		put(fieldInstance, string(call.Instance))
		put(fieldOrigin, string(call.Origin))
	}
	header.Set(HeaderCall, fields.Encode())
}

// ReadCall reads what PutCall wrote. The error is a *model.Failure with verdict NotRun.
func ReadCall(r *http.Request, now time.Time) (model.Call, error) {
	fields, err := url.ParseQuery(r.Header.Get(HeaderCall))
	if err != nil {
		return model.Call{}, badRequest(err)
	}
	call := model.Call{
		ID:         fields.Get(fieldID),
		Customer:   model.Customer(fields.Get(fieldCustomer)),
		Service:    model.ServiceName(fields.Get(fieldService)),
		Method:     r.Method,
		Path:       r.URL.Path,
		Idempotent: fields.Get(fieldIdempotent) == flagSet,
		Suspect:    fields.Get(fieldSuspect) == flagSet,
		Forced:     fields.Get(fieldInsist) == flagSet,
		Nested:     fields.Get(fieldNested) == flagSet,
		Route:      fields.Get(fieldRoute),
		Instance:   model.InstanceID(fields.Get(fieldInstance)),
		Origin:     model.ServiceName(fields.Get(fieldOrigin)),
	}
	if fields.Get(fieldLong) == flagSet {
		call.Class = model.Long
	}
	if err := takeTimes(fields, &call, now); err != nil {
		return call, err
	}
	if text := fields.Get(fieldFingerprint); text != "" {
		value, err := strconv.ParseUint(text, fingerprintHex, 64)
		if err != nil {
			return call, badRequest(err)
		}
		call.Fingerprint = model.Fingerprint(value)
	}
	return call, takeRank(fields, &call)
}

// takeTimes reads the moments that a call has. Only its deadline is never missing.
func takeTimes(fields url.Values, call *model.Call, now time.Time) error {
	for _, field := range []struct {
		name   string
		target *time.Time
	}{
		{fieldDeadlineMs, &call.Deadline},
		{fieldRunMs, &call.RunUntil},
		{fieldTargetMs, &call.Target},
	} {
		text := fields.Get(field.name)
		if text == "" && field.name != fieldDeadlineMs {
			continue
		}
		left, err := milliseconds(text)
		if err != nil {
			return err
		}
		*field.target = now.Add(left)
	}
	return nil
}

func takeRank(fields url.Values, call *model.Call) error {
	text := fields.Get(fieldRank)
	if text == "" {
		return nil
	}
	rank, err := strconv.Atoi(text)
	if err != nil || rank < 0 {
		return badRequest(errors.Errorf("rank %q", text))
	}
	call.Rank = rank
	return nil
}
