// Package uplink shares a machine's link among the answers that its daemon sends.
//
// What is sent faster than the link carries it queues in front of the link, where a small answer waits behind all the
// large ones. So the parts of large answers are sent no faster than the link carries them, and small answers, reports and
// refusals find the link nearly idle:
//
//	2 MB/s, three large answers begin  ->  their parts of 16 KB are sent 8 ms apart, in the order in which they are ready
//	a small answer meanwhile           ->  is sent at once, and the next part 8 ms later for each 16 KB of it
//
// A Link is safe for concurrent use.
package uplink

import (
	"sync"
	"time"
)

const (
	// PartBytes is the size of the parts in which large answers are sent.
	PartBytes = 16 << 10
	// usableShare is the share of the link that answers may use. The rest is for the headers of packets, requests and
	// control messages.
	usableShare = 0.85
	// ahead is how much may be queued in front of the link, as time to carry it, so that the link does not idle while
	// the next part is read.
	ahead = 10 * time.Millisecond
)

// Link is the link of a machine.
type Link struct {
	bytesPerS float64

	mu sync.Mutex
	// freeAt is when the link will have carried all that was sent.
	freeAt time.Time
	// delayed is the sum of all waits.
	delayed time.Duration
}

// New returns a link with the given bandwidth in Mbit/s. If it is zero, nothing is known of the link and nothing waits.
func New(mbitPerS float64) *Link {
	return &Link{bytesPerS: usableShare * mbitPerS * 1e6 / 8}
}

// Send counts the next bytes of an answer, of which earlier ones were sent already, and returns how long to wait before
// sending them. Nothing waits within the first PartBytes of an answer.
func (l *Link) Send(now time.Time, earlier, bytes int) time.Duration {
	if l.bytesPerS <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	begin := now
	if l.freeAt.After(now) {
		begin = l.freeAt
	}
	l.freeAt = begin.Add(time.Duration(float64(bytes) / l.bytesPerS * float64(time.Second)))
	if earlier+bytes <= PartBytes {
		return 0
	}
	wait := max(0, begin.Sub(now)-ahead)
	l.delayed += wait
	return wait
}

// Delayed returns for how long parts of answers have waited for the link, summed over all.
func (l *Link) Delayed() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delayed
}
