package match

import (
	"net/url"
	"strings"
)

const (
	separator        = "/"
	encodedSeparator = "%2F"
)

// Path returns the form of a path that prefixes are compared with: decoded, but for encoded slashes. Those are data of a
// segment and separate nothing.
//
//	"/hold/b%65d"   ->  "/hold/bed"
//	"/hold/list%2f7" ->  "/hold/list%2F7"
func Path(encoded string) string {
	if !strings.Contains(encoded, "%") {
		return encoded
	}
	segments := strings.Split(encoded, separator)
	for i, segment := range segments {
		if decoded, err := url.PathUnescape(segment); err == nil {
			segments[i] = strings.ReplaceAll(decoded, separator, encodedSeparator)
		}
	}
	return strings.Join(segments, separator)
}
