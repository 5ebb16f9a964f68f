package relay

import (
	"io"
	"time"

	"comfreytack/core/command/uplink"
)

// Clock tells the time and waits.
type Clock interface {
	// Now reads the clock.
	Now() time.Time
	// Wait returns after the given time, or with an error when the answer is no longer wanted.
	Wait(time.Duration) error
}

// pacedBody is the body of an answer that is read no faster than the machine's link carries it, after its first part.
type pacedBody struct {
	io.ReadCloser
	link  *uplink.Link
	clock Clock
	// read counts the bytes so far.
	read int
}

// PaceBody returns the body so that it is read no faster than the link carries it.
func PaceBody(body io.ReadCloser, link *uplink.Link, clock Clock) io.ReadCloser {
	return &pacedBody{ReadCloser: body, link: link, clock: clock}
}

// Read implements io.Reader. It reads at most uplink.PartBytes.
func (b *pacedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data[:min(len(data), uplink.PartBytes)])
	wait := b.link.Send(b.clock.Now(), b.read, n)
	b.read += n
	if wait == 0 {
		return n, err
	}
	if gone := b.clock.Wait(wait); gone != nil {
		return 0, gone
	}
	return n, err
}
