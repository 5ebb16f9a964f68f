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
	"io"
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

// Send counts bytes that are to be sent and returns how long to wait before sending them.
func (l *Link) Send(now time.Time, bytes int) time.Duration {
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
	return max(0, begin.Sub(now)-ahead)
}

// Delayed returns for how long parts of answers have waited for the link, summed over all.
func (l *Link) Delayed() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delayed
}

// waited adds to the sum of all waits.
func (l *Link) waited(wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delayed += wait
}

// Clock is how a Reader tells the time and waits.
type Clock interface {
	// Now reads the clock.
	Now() time.Time
	// Wait returns after the given time, or with an error when the answer is no longer wanted.
	Wait(time.Duration) error
}

// Reader is the body of an answer that is read no faster than the link carries it, after its first part.
type Reader struct {
	io.ReadCloser
	link  *Link
	clock Clock
	read  int
}

// Read returns a reader of the body.
func (l *Link) Read(body io.ReadCloser, clock Clock) *Reader {
	return &Reader{ReadCloser: body, link: l, clock: clock}
}

// Read implements io.Reader. It reads at most PartBytes.
func (r *Reader) Read(data []byte) (int, error) {
	n, err := r.ReadCloser.Read(data[:min(len(data), PartBytes)])
	wait := r.link.Send(r.clock.Now(), n)
	r.read += n
	if r.read <= PartBytes || wait == 0 {
		return n, err
	}
	r.link.waited(wait)
	if gone := r.clock.Wait(wait); gone != nil {
		return 0, gone
	}
	return n, err
}
