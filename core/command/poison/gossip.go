package poison

import (
	"cmp"
	"slices"
	"time"

	"comfreytack/core/model"
)

// Evidence is one entry of the gossip between daemons: a fingerprint was in flight at a crash.
type Evidence struct {
	// Fingerprint is never zero.
	Fingerprint model.Fingerprint `json:"fingerprint"`
	// Crash is the crash that it was in flight at.
	Crash Crash `json:"crash"`
	// Cleared says that the request has succeeded since; it never turns false again.
	Cleared bool `json:"cleared"`
	// RemainingMs is how long the crash still counts, in milliseconds. It is negative, down to minus
	// CrashLifetime, for a crash that is kept because it may have caused a quarantine together with a later one.
	RemainingMs int64 `json:"remaining_ms"`
	// RanMs is how long the request had run at the crash, in milliseconds; zero for one known to have been sent after an
	// earlier crash.
	RanMs int64 `json:"ran_ms,omitzero"`
}

// Merge adds the evidence that a peer reported, and says whether any of it was new. It is commutative and idempotent,
// so the order of messages and repeated ones make no difference.
func (d *Detector) Merge(now time.Time, reported []Evidence) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	changed := false
	for _, e := range reported {
		remaining := min(time.Duration(e.RemainingMs)*time.Millisecond, d.settings.CrashLifetime)
		if remaining > -d.settings.CrashLifetime {
			ran := time.Duration(max(0, e.RanMs)) * time.Millisecond
			added := record{crash: e.Crash, cleared: e.Cleared, until: now.Add(remaining), ran: ran}
			changed = d.add(now, e.Fingerprint, added) || changed
		}
	}
	return changed
}

// Gossip returns the newest evidence for a peer that may lack all of it, at most GossipSize entries.
func (d *Detector) Gossip(now time.Time) []Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []Evidence
	for _, passed := range d.passedOn(now) {
		entries = append(entries, passed.evidence)
	}
	return entries[:min(len(entries), d.settings.GossipSize)]
}

// NextEvidence returns the evidence for the next message: what is new, or one other entry if nothing is. The caller
// chooses start at random.
func (d *Detector) NextEvidence(now time.Time, start int) []Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	passed := d.passedOn(now)
	if len(passed) == 0 {
		return nil
	}
	var entries []Evidence
	for _, p := range passed {
		if p.record.sendsLeft > 0 && len(entries) < maxNewPerMessage {
			p.record.sendsLeft--
			entries = append(entries, p.evidence)
		}
	}
	if len(entries) == 0 {
		return []Evidence{passed[start%len(passed)].evidence}
	}
	return entries
}

// passed is a record that gossip passes on, with its encoding for peers.
type passed struct {
	record   *record
	evidence Evidence
}

// passedOn returns the records that gossip still passes on, the newest first. The caller holds the lock.
func (d *Detector) passedOn(now time.Time) []passed {
	d.sweep(now)
	var all []passed
	for fingerprint, records := range d.suspects {
		for i := range records {
			if now.Sub(records[i].until) < d.settings.CrashLifetime {
				all = append(all, passed{record: &records[i], evidence: evidence(now, fingerprint, records[i])})
			}
		}
	}
	slices.SortFunc(all, func(a, b passed) int { return newestFirst(a.evidence, b.evidence) })
	return all
}

func evidence(now time.Time, fingerprint model.Fingerprint, r record) Evidence {
	return Evidence{
		Fingerprint: fingerprint,
		Crash:       r.crash,
		Cleared:     r.cleared,
		RemainingMs: r.until.Sub(now).Milliseconds(),
		RanMs:       r.ran.Milliseconds(),
	}
}

func newestFirst(a, b Evidence) int {
	return cmp.Or(
		cmp.Compare(b.RemainingMs, a.RemainingMs),
		cmp.Compare(a.Fingerprint, b.Fingerprint),
		cmp.Compare(a.Crash.Upstream, b.Crash.Upstream),
		cmp.Compare(a.Crash.Incarnation, b.Crash.Incarnation),
	)
}
