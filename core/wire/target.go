package wire

import (
	"cmp"
	"net/url"
)

// EncodedPath returns the path of a request's URL in the bytes that were received. url.URL.EscapedPath encodes some of them
// in another way.
func EncodedPath(u *url.URL) string {
	// RawPath is set where the default encoding of Path differs from what was received.
	return cmp.Or(u.RawPath, u.EscapedPath())
}
