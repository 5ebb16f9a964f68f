// Package fresh tells whether a snapshot is young enough to act on.
package fresh

import (
	"time"

	"comfreytack/core/model"
)

// LongestGap is how long the control goroutine may be silent before the daemon counts as paused.
// The beat of the loop must be well below it.
const LongestGap = 1500 * time.Millisecond

// Paused tells whether new work must wait or be refused because the daemon has just woken from a
// pause: its control goroutine has not run since, or has not yet confirmed what it knows.
// A gate asks again between taking work from its queue and starting it. The machine has been suspended for slept
// since the daemon's start.
func Paused(now time.Time, slept time.Duration, snapshot *model.Snapshot) bool {
	return snapshot.Suspect || now.Sub(snapshot.PublishedAt)+slept-snapshot.Slept > LongestGap
}
