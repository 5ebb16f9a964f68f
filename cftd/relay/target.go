package relay

import (
	"net/url"
	"strings"

	"comfreytack/core/model"
	"comfreytack/core/wire"
)

// Target is what a request asks for. It is sent in the bytes in which it was received.
type Target struct {
	// Path is encoded.
	Path string
	// Query is encoded, without its question mark.
	Query string
	// EmptyQuery is true when there is a question mark with nothing behind it.
	EmptyQuery bool
}

// TargetOf returns the target of a request that was received.
func TargetOf(u *url.URL) Target {
	return Target{Path: wire.EncodedPath(u), Query: u.RawQuery, EmptyQuery: u.ForceQuery}
}

// url returns the URL of the target at an address.
func (t Target) url(address model.Address) *url.URL {
	u := &url.URL{Scheme: "http", Host: string(address), RawQuery: t.Query, ForceQuery: t.EmptyQuery}
	if strings.HasPrefix(t.Path, "//") {
		// The library would take an opaque path for one with a host. What was received can be decoded.
		u.Path, _ = url.PathUnescape(t.Path)
		u.RawPath = t.Path
		return u
	}
	u.Opaque = t.Path
	return u
}
