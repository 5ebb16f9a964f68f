package poison

import (
	"slices"
	"time"
)

// record is a crash of one fingerprint. It counts until the time until. For one CrashLifetime more it is passed on by
// gossip, because it may have caused a quarantine together with a later crash. For another one it is only kept, so that
// a message that was delayed for less than CrashLifetime does not add it again.
type record struct {
	crash   Crash
	cleared bool
	until   time.Time
	// ran is how long the request had run at the crash; never negative.
	ran time.Duration
	// sendsLeft is in how many more messages the record is passed on as new.
	sendsLeft int
}

// quarantine returns the end of the quarantine, if there is one: one lifetime after the newest crash that completes the
// evidence while the earlier ones still counted.
func quarantine(now time.Time, records []record, lifetime time.Duration) (time.Time, bool) {
	uncleared := slices.DeleteFunc(slices.Clone(records), func(r record) bool { return r.cleared })
	slices.SortFunc(uncleared, func(a, b record) int { return b.until.Compare(a.until) })
	for i := 0; i < len(uncleared) && uncleared[i].until.After(now); i++ {
		if convicts(uncleared[i], uncleared[i+1:], lifetime) {
			return uncleared[i].until, true
		}
	}
	return time.Time{}, false
}

// convicts reports whether a crash completes the evidence: the request had been sent after one of the earlier crashes
// that still counted, or it was in flight at enough of them.
func convicts(last record, earlier []record, lifetime time.Duration) bool {
	counted := 1
	for _, r := range earlier {
		if last.until.Sub(r.until) >= lifetime {
			break
		}
		if last.startedAfter(r) {
			return true
		}
		counted++
	}
	return counted >= JointCrashesToQuarantine
}

// startedAfter reports whether the request was sent after another crash.
func (r record) startedAfter(earlier record) bool {
	return !r.until.Add(-r.ran).Before(earlier.until)
}

func countActive(now time.Time, records []record) int {
	count := 0
	for _, r := range records {
		if r.active(now) {
			count++
		}
	}
	return count
}

func (r record) active(now time.Time) bool {
	return !r.cleared && r.until.After(now)
}

func newest(records []record) time.Time {
	latest := records[0].until
	for _, r := range records[1:] {
		if r.until.After(latest) {
			latest = r.until
		}
	}
	return latest
}
