package relay_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/cftd/relay"
	"comfreytack/core/command/uplink"
)

// virtualClock is a clock in virtual time on which waiting takes no real time.
type virtualClock struct {
	now  time.Time
	gone error
}

func (c *virtualClock) Now() time.Time { return c.now }

func (c *virtualClock) Wait(wait time.Duration) error {
	c.now = c.now.Add(wait)
	return c.gone
}

// mbitPerS is the narrowest link of a machine.
const mbitPerS = 17

// carried returns how long the link needs for the given number of bytes.
func carried(count int) time.Duration {
	return time.Duration(float64(count) / (mbitPerS * 1e6 / 8) * float64(time.Second))
}

// TestSmallAnswerAmongDownloads checks how long a small answer waits on a narrow link on which large answers are sent.
func TestSmallAnswerAmongDownloads(t *testing.T) {
	tests := []struct {
		name string
		// downloads is how many answers of 540 KB are ready at once.
		downloads int
	}{
		{name: "an idle link"},
		{name: "one download", downloads: 1},
		{name: "five downloads", downloads: 5},
	}
	// A call inside another allows 400 ms; a fifth of it may be spent on the link.
	const most = 80 * time.Millisecond
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			link := uplink.New(mbitPerS)
			c := &virtualClock{now: time.Unix(1000, 0)}
			var queued time.Duration
			last := c.now
			for range test.downloads {
				body := relay.PaceBody(io.NopCloser(bytes.NewReader(make([]byte, 540_000))), link, c)
				part := make([]byte, 32<<10)
				for {
					n, err := body.Read(part)
					// The real link carries what was sent before while the reader waited.
					queued = max(0, queued-c.now.Sub(last)) + carried(n)
					last = c.now
					qt.Assert(t, queued < most, qt.IsTrue, qt.Commentf("%v in front of the link", queued))
					if err == io.EOF {
						break
					}
					qt.Assert(t, err, qt.IsNil)
				}
			}
			small := relay.PaceBody(io.NopCloser(bytes.NewReader(make([]byte, 2_000))), link, c)
			before := c.now
			_, err := io.ReadAll(small)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.now.Equal(before), qt.IsTrue)
		})
	}
}

// TestPacedBody checks what a reader does besides waiting.
func TestPacedBody(t *testing.T) {
	gone := errors.New("gone")
	tests := []struct {
		name     string
		mbitPerS float64
		gone     error
		want     int
		waits    bool
	}{
		{name: "an unknown link", want: 100_000},
		{name: "a wide link", mbitPerS: 10_000, want: 100_000},
		{name: "a narrow link", mbitPerS: mbitPerS, want: 100_000, waits: true},
		{name: "the caller leaves", mbitPerS: mbitPerS, gone: gone, want: uplink.PartBytes, waits: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &virtualClock{now: time.Unix(1000, 0), gone: test.gone}
			before := c.now
			read, err := io.ReadAll(relay.PaceBody(io.NopCloser(bytes.NewReader(make([]byte, 100_000))), uplink.New(test.mbitPerS), c))
			qt.Assert(t, err, qt.Equals, test.gone)
			qt.Assert(t, len(read) >= test.want, qt.IsTrue)
			qt.Assert(t, c.now.After(before), qt.Equals, test.waits)
		})
	}
}
