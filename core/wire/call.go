package wire

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"comfreytack/core/model"
)

// The fields of HeaderCall, which is encoded like a URL query. The names are short because every call between
// daemons carries the header, and traffic between failure domains is paid by the byte. Fields with their zero
// value are omitted.
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
	fieldPrefix      = "b"
	fieldRoute       = "r"
	fieldRank        = "k"
	fieldTargetMs    = "t"
	fieldInstance    = "n"
	fieldOrigin      = "o"
	fieldForced      = "y"
	fieldNested      = "w"
)

const (
	flagTrue        = "1"
	fingerprintBase = 16
)

// SetCall encodes a call for another daemon's gate into HeaderCall.
func SetCall(header http.Header, call model.Call, now time.Time) {
	fields := url.Values{}
	setText := func(name, value string) {
		if value != "" {
			fields.Set(name, value)
		}
	}
	setFlag := func(name string, set bool) {
		if set {
			fields.Set(name, flagTrue)
		}
	}
	setText(fieldID, call.ID)
	setText(fieldCustomer, string(call.Customer))
	setText(fieldService, string(call.Service))
	setText(fieldDeadlineMs, formatMillisecondsUntil(call.Deadline, now))
	if call.RunDeadline().After(call.Deadline) {
		setText(fieldRunMs, formatMillisecondsUntil(call.RunDeadline(), now))
	}
	setFlag(fieldLong, call.Class == model.Long)
	setFlag(fieldIdempotent, call.Idempotent)
	setFlag(fieldSuspect, call.Suspect)
	setFlag(fieldForced, call.Forced)
	setFlag(fieldNested, call.Nested)
	setText(fieldFingerprint, formatFingerprint(call.Fingerprint))
	setText(fieldPrefix, formatFingerprint(call.Prefix))
	if call.Route != "" {
		setText(fieldRoute, call.Route)
		setText(fieldRank, strconv.Itoa(call.Rank))
		setText(fieldTargetMs, formatMillisecondsUntil(call.Target, now))
		setText(fieldInstance, string(call.Instance))
		setText(fieldOrigin, string(call.Origin))
	}
	header.Set(HeaderCall, fields.Encode())
}

// ReadCall decodes the call that SetCall encoded. The error is a *model.Failure with verdict NotRun.
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
		Path:       EncodedPath(r.URL),
		Idempotent: fields.Get(fieldIdempotent) == flagTrue,
		Suspect:    fields.Get(fieldSuspect) == flagTrue,
		Forced:     fields.Get(fieldForced) == flagTrue,
		Nested:     fields.Get(fieldNested) == flagTrue,
		Route:      fields.Get(fieldRoute),
		Instance:   model.InstanceID(fields.Get(fieldInstance)),
		Origin:     model.ServiceName(fields.Get(fieldOrigin)),
	}
	if fields.Get(fieldLong) == flagTrue {
		call.Class = model.Long
	}
	if err := readTimes(fields, &call, now); err != nil {
		return call, err
	}
	if call.Fingerprint, err = parseFingerprint(fields.Get(fieldFingerprint)); err != nil {
		return call, badRequest(err)
	}
	if call.Prefix, err = parseFingerprint(fields.Get(fieldPrefix)); err != nil {
		return call, badRequest(err)
	}
	return call, readRank(fields, &call)
}

// formatFingerprint returns the text of a fingerprint; that of zero is empty.
func formatFingerprint(fingerprint model.Fingerprint) string {
	if fingerprint == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(fingerprint), fingerprintBase)
}

func parseFingerprint(text string) (model.Fingerprint, error) {
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, fingerprintBase, 64)
	return model.Fingerprint(value), err
}

// readTimes decodes the times of a call. Only the deadline is mandatory.
func readTimes(fields url.Values, call *model.Call, now time.Time) error {
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
		left, err := parseMilliseconds(text)
		if err != nil {
			return err
		}
		*field.target = now.Add(left)
	}
	return nil
}

func readRank(fields url.Values, call *model.Call) error {
	text := fields.Get(fieldRank)
	if text == "" {
		return nil
	}
	rank, err := strconv.Atoi(text)
	if err != nil || rank < 0 {
		return badRequest(errors.Errorf("rank is %q, not a number from 0", text))
	}
	call.Rank = rank
	return nil
}
