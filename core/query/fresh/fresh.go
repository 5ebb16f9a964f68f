// Package fresh decides whether a snapshot is recent enough to act on.
package fresh

import (
	"time"

	"comfreytack/core/model"
)

// MaxGap is how long the control goroutine may go without a tick before the daemon counts as paused.
// The tick interval must be well below it.
const MaxGap = 1500 * time.Millisecond

// Paused reports whether new work must wait or be refused because the daemon has just resumed after a pause: its
// control goroutine has not run since then, or has not yet confirmed its state. A gate checks this again between taking
// work from its queue and starting it. The argument suspended is how long the machine has been suspended in total since
// the daemon started.
func Paused(now time.Time, suspended time.Duration, snapshot *model.Snapshot) bool {
	return snapshot.Suspect || now.Sub(snapshot.PublishedAt)+suspended-snapshot.Suspended > MaxGap
}
