// Package poison finds requests that crash each upstream that runs them, and keeps them out.
//
// A request is identified by its fingerprint. One that was in flight at two crashes, with no success in
// between, is quarantined for a time. After its first crash it is a suspect, and a gate runs suspects
// one at a time: so the second crash points at one request, and those that were in flight beside it the
// first time are cleared by their next success.
//
// A Book guards itself, so that traffic may ask it while the control goroutine merges.
package poison

//go:generate go tool stringer -type=Turn -linecomment -output=enums_string.go

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"comfreytack/core/model"
)

// CrashesToQuarantine is how many crashes without a success in between make a quarantine.
const CrashesToQuarantine = 2

// Settings has the bounds of a book.
type Settings struct {
	// Term is how long a crash counts.
	Term time.Duration
	// Fingerprints bounds the fingerprints that are remembered; at least 1.
	Fingerprints int
	// CrashesEach bounds the crashes remembered of one fingerprint; at least CrashesToQuarantine.
	CrashesEach int
	// GossipSize bounds the entries of one gossip message.
	GossipSize int
}

// DefaultSettings returns the settings that a daemon uses.
func DefaultSettings() Settings {
	return Settings{Term: 10 * time.Minute, Fingerprints: 1000, CrashesEach: 4, GossipSize: 32}
}

// Crash names one death of an upstream.
type Crash struct {
	// Upstream and Incarnation name the life that ended.
	Upstream    model.UpstreamName `json:"upstream"`
	Incarnation model.Incarnation  `json:"incarnation"`
}

// Evidence is what daemons tell each other: a fingerprint was in flight at a crash.
type Evidence struct {
	// Fingerprint is never zero.
	Fingerprint model.Fingerprint `json:"fingerprint"`
	// Crash is the death that it was in flight at.
	Crash Crash `json:"crash"`
	// Cleared says that the request has succeeded since; it never turns false again.
	Cleared bool `json:"cleared"`
	// RemainingMs is how long the crash still counts, in milliseconds. It is negative, down to one
	// term, for a crash that is kept because a later one may have made a quarantine with it.
	RemainingMs int64 `json:"remaining_ms"`
}

// Turn is what a gate may do with a request.
type Turn int

// The turns.
const (
	// Free means that the request is no suspect.
	Free Turn = iota // free
	// Alone means that the request is a suspect and may run now; EndAlone must follow.
	Alone // alone
	// Busy means that another suspect runs here, and this one has to wait or go elsewhere.
	Busy // busy
	// Barred means that the request is in quarantine.
	Barred // barred
)

// Book remembers crashes by fingerprint.
type Book struct {
	settings Settings

	mu       sync.Mutex
	suspects map[model.Fingerprint][]record
	alone    bool
}

// record is a crash of one fingerprint. It is told to others for one term after it has stopped to count,
// because it may have made a quarantine with a later one, and kept for one term more, so that a message
// that is under way for less than a term does not bring it back.
type record struct {
	crash   Crash
	cleared bool
	until   time.Time
}

// New returns an empty book.
func New(settings Settings) *Book {
	return &Book{settings: settings, suspects: map[model.Fingerprint][]record{}}
}

// Crashed tells that an upstream died with the given requests in flight. Requests without a
// fingerprint are skipped: nothing can tell them apart.
func (b *Book) Crashed(
	now time.Time, upstream model.UpstreamName, incarnation model.Incarnation, inFlight []model.Fingerprint,
) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	crash := Crash{Upstream: upstream, Incarnation: incarnation}
	for _, fingerprint := range inFlight {
		b.learn(now, fingerprint, record{crash: crash, until: now.Add(b.settings.Term)})
	}
}

// Succeeded tells that a request was answered in full. It clears every crash known until now.
func (b *Book) Succeeded(fingerprint model.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	records := b.suspects[fingerprint]
	for i := range records {
		records[i].cleared = true
	}
}

// Merge takes in what a peer has told, and says whether any of it was news. The order and the number of
// messages do not matter.
func (b *Book) Merge(now time.Time, told []Evidence) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	news := false
	for _, e := range told {
		remaining := min(time.Duration(e.RemainingMs)*time.Millisecond, b.settings.Term)
		if remaining > -b.settings.Term {
			learnt := record{crash: e.Crash, cleared: e.Cleared, until: now.Add(remaining)}
			news = b.learn(now, e.Fingerprint, learnt) || news
		}
	}
	return news
}

// Gossip returns the newest evidence, of at most GossipSize crashes.
func (b *Book) Gossip(now time.Time) []Evidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	var told []Evidence
	for fingerprint, records := range b.suspects {
		for _, r := range records {
			if now.Sub(r.until) < b.settings.Term {
				told = append(told, evidence(now, fingerprint, r))
			}
		}
	}
	slices.SortFunc(told, newestFirst)
	return told[:min(len(told), b.settings.GossipSize)]
}

// Quarantined returns the fingerprints that must not run, with the end of their quarantine.
func (b *Book) Quarantined(now time.Time) map[model.Fingerprint]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	quarantined := map[model.Fingerprint]time.Time{}
	for fingerprint, records := range b.suspects {
		if until, barred := quarantine(now, records, b.settings.Term); barred {
			quarantined[fingerprint] = until
		}
	}
	return quarantined
}

// Begin decides whether a request may start at this gate. The caller sets marked on a request that is
// tried again because an upstream died, before gossip of that crash can have come.
func (b *Book) Begin(now time.Time, fingerprint model.Fingerprint, marked bool) Turn {
	b.mu.Lock()
	defer b.mu.Unlock()
	records := b.suspects[fingerprint]
	if _, barred := quarantine(now, records, b.settings.Term); barred {
		return Barred
	}
	if !marked && countingAt(now, records) == 0 {
		return Free
	}
	if b.alone {
		return Busy
	}
	b.alone = true
	return Alone
}

// EndAlone tells that the suspect that ran alone is over.
func (b *Book) EndAlone() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.alone = false
}

// Size returns how many fingerprints are remembered.
func (b *Book) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.suspects)
}

// learn adds a crash, or clears it when it is known already, and says whether that changed anything. The
// end of a known crash never moves.
func (b *Book) learn(now time.Time, fingerprint model.Fingerprint, learnt record) bool {
	if fingerprint == 0 {
		return false
	}
	records, known := b.suspects[fingerprint]
	for i := range records {
		if records[i].crash == learnt.crash {
			news := learnt.cleared && !records[i].cleared
			records[i].cleared = records[i].cleared || learnt.cleared
			return news
		}
	}
	if !known && len(b.suspects) >= b.settings.Fingerprints {
		b.evict(now)
	}
	records = append(records, learnt)
	if len(records) > b.settings.CrashesEach {
		records = records[1:]
	}
	b.suspects[fingerprint] = records
	return true
}

// evict drops the fingerprint with the fewest crashes that count, and of these the oldest.
func (b *Book) evict(now time.Time) {
	var least model.Fingerprint
	for fingerprint, records := range b.suspects {
		if least == 0 || b.lessWorth(now, fingerprint, records, least) {
			least = fingerprint
		}
	}
	delete(b.suspects, least)
}

func (b *Book) lessWorth(now time.Time, a model.Fingerprint, records []record, other model.Fingerprint) bool {
	others := b.suspects[other]
	order := cmp.Or(
		cmp.Compare(countingAt(now, records), countingAt(now, others)),
		newest(records).Compare(newest(others)),
		cmp.Compare(a, other),
	)
	return order < 0
}

// sweep drops the records that are kept no longer.
func (b *Book) sweep(now time.Time) {
	for fingerprint, records := range b.suspects {
		records = slices.DeleteFunc(records, func(r record) bool {
			return now.Sub(r.until) >= 2*b.settings.Term
		})
		b.suspects[fingerprint] = records
		if len(records) == 0 {
			delete(b.suspects, fingerprint)
		}
	}
}

// quarantine returns the end of a quarantine: a term after the newest crash that found another one
// still counting.
func quarantine(now time.Time, records []record, term time.Duration) (time.Time, bool) {
	var ends []time.Time
	for _, r := range records {
		if !r.cleared {
			ends = append(ends, r.until)
		}
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	for i := 0; i+1 < len(ends) && ends[i].After(now); i++ {
		if ends[i].Sub(ends[i+1]) < term {
			return ends[i], true
		}
	}
	return time.Time{}, false
}

func countingAt(now time.Time, records []record) int {
	count := 0
	for _, r := range records {
		if r.counts(now) {
			count++
		}
	}
	return count
}

func (r record) counts(now time.Time) bool {
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

func evidence(now time.Time, fingerprint model.Fingerprint, r record) Evidence {
	return Evidence{
		Fingerprint: fingerprint,
		Crash:       r.crash,
		Cleared:     r.cleared,
		RemainingMs: r.until.Sub(now).Milliseconds(),
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
