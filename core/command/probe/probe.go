// Package probe spends the one budget of a daemon for asking gates for their load.
//
// A Budget is shared by traffic goroutines and guards itself. Only gates are asked; the upstream itself
// is probed by the daemon beside it alone, at the pace of a Pacer.
package probe

import (
	"sync"
	"time"

	"comfreytack/core/model"
)

// Settings has the bounds of a budget.
type Settings struct {
	// CallsPerAsk is how many calls pay for one question; at least 1.
	CallsPerAsk int
	// Floor is the time in which one question is granted without any call; positive.
	Floor time.Duration
	// Burst bounds the questions that can be saved up; at least 1.
	Burst int
	// Stale is the age from which knowledge of an upstream is worth a question.
	Stale time.Duration
}

// DefaultSettings returns the settings that a daemon uses: questions are at most 1 in 100 calls and
// one a second besides.
func DefaultSettings() Settings {
	return Settings{CallsPerAsk: 100, Floor: time.Second, Burst: 5, Stale: 250 * time.Millisecond}
}

// Budget grants questions and chooses whom to ask.
type Budget struct {
	settings Settings

	mu sync.Mutex
	// calls counts those that no question was granted for yet, below CallsPerAsk.
	calls int
	// saved counts granted questions, from 0 to Burst.
	saved     int
	flooredAt time.Time
	asked     uint64
	known     map[model.UpstreamName]time.Time
}

// New returns a budget with nothing saved up. The floor counts from now.
func New(now time.Time, settings Settings) *Budget {
	return &Budget{settings: settings, flooredAt: now, known: map[model.UpstreamName]time.Time{}}
}

// Sent counts a call to an upstream; a share of it pays for a question.
func (b *Budget) Sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	if b.calls >= b.settings.CallsPerAsk {
		b.calls = 0
		b.grant(1)
	}
}

// Learned tells that the gate of an upstream has reported, on a reply or to a question.
func (b *Budget) Learned(now time.Time, upstream model.UpstreamName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, member := b.known[upstream]; member {
		b.known[upstream] = now
	}
}

// SetUpstreams replaces the upstreams that may be asked. What is known of those that stay is kept.
func (b *Budget) SetUpstreams(upstreams []model.UpstreamName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make(map[model.UpstreamName]time.Time, len(upstreams))
	for _, upstream := range upstreams {
		known[upstream] = b.known[upstream]
	}
	b.known = known
}

// Next returns the upstream whose gate is asked now, the one that was heard of least lately, and counts
// the question. It returns false when nothing is stale or the budget is used up. An upstream that was
// asked counts as heard of, so that one without an answer does not hold up the others.
func (b *Budget) Next(now time.Time) (model.UpstreamName, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantFloor(now)
	oldest, found := b.oldest(now)
	if b.saved < 1 || !found {
		return "", false
	}
	b.saved--
	b.asked++
	b.known[oldest] = now
	return oldest, true
}

// Asked counts all questions.
func (b *Budget) Asked() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asked
}

func (b *Budget) grantFloor(now time.Time) {
	periods := now.Sub(b.flooredAt) / b.settings.Floor
	if periods < 1 {
		return
	}
	b.flooredAt = b.flooredAt.Add(periods * b.settings.Floor)
	b.grant(int(min(periods, time.Duration(b.settings.Burst))))
}

func (b *Budget) grant(questions int) {
	b.saved = min(b.saved+questions, b.settings.Burst)
}

func (b *Budget) oldest(now time.Time) (model.UpstreamName, bool) {
	var oldest model.UpstreamName
	found := false
	for upstream, at := range b.known {
		if now.Sub(at) < b.settings.Stale {
			continue
		}
		if !found || at.Before(b.known[oldest]) || at.Equal(b.known[oldest]) && upstream < oldest {
			oldest, found = upstream, true
		}
	}
	return oldest, found
}

// Pacer allows one probe of the local upstream in each interval. It is used by one goroutine.
type Pacer struct {
	// Interval is the least time between two probes.
	Interval time.Duration
	// ProbedAt is when the last probe was allowed; zero before the first.
	ProbedAt time.Time
}

// Due says whether the upstream may be probed now, and counts the probe.
func (p *Pacer) Due(now time.Time) bool {
	if !p.ProbedAt.IsZero() && now.Sub(p.ProbedAt) < p.Interval {
		return false
	}
	p.ProbedAt = now
	return true
}
