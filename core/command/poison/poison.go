// Package poison detects poison requests, which crash every upstream that runs them, and quarantines them.
//
// A request is identified by its fingerprint. One that was sent again after a crash and was in flight at another, with
// no success in between, is quarantined for a time. Two crashes that it was in flight at side by side may have one cause
// of their own, such as a failure of several machines, and count as one; a third quarantines it in any case. After its first crash it is a suspect, and a gate runs suspects
// one at a time: so the second crash points at one request, and those that were in flight beside it the
// first time are cleared by their next success.
//
// A Detector is safe for concurrent use: traffic goroutines query it while the control goroutine merges.
package poison

//go:generate go tool stringer -type=Admission -linecomment -output=enums_string.go

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"comfreytack/core/model"
)

const (
	// CrashesToQuarantine is how many crashes without a success in between put a request into quarantine that was sent
	// again in between.
	CrashesToQuarantine = 2
	// JointCrashesToQuarantine is how many put it into quarantine in any case.
	JointCrashesToQuarantine = 3
)

const (
	// sendsPerEntry is in how many messages a daemon passes on new evidence.
	sendsPerEntry = 16
	// maxNewPerMessage bounds the new evidence in one message.
	maxNewPerMessage = 16
)

// Settings has the bounds of a Detector.
type Settings struct {
	// CrashLifetime is how long a crash counts towards a quarantine, and how long a quarantine lasts.
	CrashLifetime time.Duration
	// Fingerprints bounds the fingerprints that are remembered; at least 1.
	Fingerprints int
	// CrashesPerFingerprint bounds the crashes remembered for one fingerprint; at least
	// JointCrashesToQuarantine.
	CrashesPerFingerprint int
	// GossipSize bounds the entries in a message that passes on everything.
	GossipSize int
}

// DefaultSettings returns the settings that a daemon uses.
func DefaultSettings() Settings {
	return Settings{CrashLifetime: 10 * time.Minute, Fingerprints: 1000, CrashesPerFingerprint: 4, GossipSize: 32}
}

// Crash identifies one crash of an upstream.
type Crash struct {
	// Upstream and Incarnation name the incarnation that crashed.
	Upstream    model.UpstreamName `json:"upstream"`
	Incarnation model.Incarnation  `json:"incarnation"`
}

// Run is a request in flight at a crash.
type Run struct {
	Fingerprint model.Fingerprint
	// StartedAt is when it was sent to the upstream; the time of the crash when it is known to have been sent after an
	// earlier crash.
	StartedAt time.Time
}

// Admission is the decision whether a gate may run a request.
type Admission int

// The admissions.
const (
	// Free means that the request is no suspect and may run beside others.
	Free Admission = iota // free
	// Alone means that the request is a suspect and may run now; EndAlone must follow.
	Alone // alone
	// Busy means that another suspect runs here, and this one has to wait or be sent to another gate.
	Busy // busy
	// Barred means that the request is in quarantine.
	Barred // barred
)

// Detector remembers crashes by fingerprint.
type Detector struct {
	settings Settings

	mu       sync.Mutex
	suspects map[model.Fingerprint][]record
	alone    bool
}

// New returns an empty Detector.
func New(settings Settings) *Detector {
	return &Detector{settings: settings, suspects: map[model.Fingerprint][]record{}}
}

// Crashed records that an upstream crashed with the given requests in flight. Requests without a
// fingerprint are skipped, since they cannot be told apart.
func (d *Detector) Crashed(
	now time.Time, upstream model.UpstreamName, incarnation model.Incarnation, inFlight []Run,
) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	crash := Crash{Upstream: upstream, Incarnation: incarnation}
	for _, run := range inFlight {
		added := record{crash: crash, until: now.Add(d.settings.CrashLifetime), ran: max(0, now.Sub(run.StartedAt))}
		d.add(now, run.Fingerprint, added)
	}
}

// Succeeded records that a request was answered in full. It clears the request of every crash known so far.
func (d *Detector) Succeeded(fingerprint model.Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := d.suspects[fingerprint]
	for i := range records {
		if !records[i].cleared {
			records[i].cleared = true
			records[i].sendsLeft = sendsPerEntry
		}
	}
}

// Quarantined returns the fingerprints that must not run, with the end of their quarantine.
func (d *Detector) Quarantined(now time.Time) map[model.Fingerprint]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	quarantined := map[model.Fingerprint]time.Time{}
	for fingerprint, records := range d.suspects {
		if until, barred := quarantine(now, records, d.settings.CrashLifetime); barred {
			quarantined[fingerprint] = until
		}
	}
	return quarantined
}

// Begin decides whether a request may start at this gate. The caller sets retriedAfterCrash on a request that is
// retried because its upstream crashed: such a request is a suspect even before gossip about that crash has arrived.
func (d *Detector) Begin(now time.Time, fingerprint model.Fingerprint, retriedAfterCrash bool) Admission {
	d.mu.Lock()
	defer d.mu.Unlock()
	records := d.suspects[fingerprint]
	if _, barred := quarantine(now, records, d.settings.CrashLifetime); barred {
		return Barred
	}
	if !retriedAfterCrash && countActive(now, records) == 0 {
		return Free
	}
	if d.alone {
		return Busy
	}
	d.alone = true
	return Alone
}

// Suspected reports whether the fingerprint was in flight at a crash that still counts.
func (d *Detector) Suspected(now time.Time, fingerprint model.Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return countActive(now, d.suspects[fingerprint]) > 0
}

// EndAlone records that the suspect admitted as Alone has ended.
func (d *Detector) EndAlone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alone = false
}

// Size returns how many fingerprints are remembered.
func (d *Detector) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.suspects)
}

// add records a crash, or merges the clearance of a known one, and says whether that changed anything. The
// time until which a known crash counts never changes.
func (d *Detector) add(now time.Time, fingerprint model.Fingerprint, added record) bool {
	if fingerprint == 0 {
		return false
	}
	records, known := d.suspects[fingerprint]
	for i := range records {
		if records[i].crash == added.crash {
			if !added.cleared || records[i].cleared {
				return false
			}
			records[i].cleared = true
			records[i].sendsLeft = sendsPerEntry
			return true
		}
	}
	if !known && len(d.suspects) >= d.settings.Fingerprints {
		d.evict(now)
	}
	added.sendsLeft = sendsPerEntry
	records = append(records, added)
	if len(records) > d.settings.CrashesPerFingerprint {
		records = records[1:]
	}
	d.suspects[fingerprint] = records
	return true
}

// evict drops the fingerprint with the fewest crashes that count, and of these the oldest.
func (d *Detector) evict(now time.Time) {
	var least model.Fingerprint
	for fingerprint, records := range d.suspects {
		if least == 0 || d.evictedBefore(now, fingerprint, records, least) {
			least = fingerprint
		}
	}
	delete(d.suspects, least)
}

func (d *Detector) evictedBefore(now time.Time, a model.Fingerprint, records []record, other model.Fingerprint) bool {
	others := d.suspects[other]
	order := cmp.Or(
		cmp.Compare(countActive(now, records), countActive(now, others)),
		newest(records).Compare(newest(others)),
		cmp.Compare(a, other),
	)
	return order < 0
}

// sweep drops expired records.
func (d *Detector) sweep(now time.Time) {
	for fingerprint, records := range d.suspects {
		records = slices.DeleteFunc(records, func(r record) bool {
			return now.Sub(r.until) >= 2*d.settings.CrashLifetime
		})
		d.suspects[fingerprint] = records
		if len(records) == 0 {
			delete(d.suspects, fingerprint)
		}
	}
}
