// Package probe limits the probes of a daemon: load probes, which ask the gates of upstreams for a load report, and
// health probes of the local upstream.
//
// A Budget limits load probes with one token bucket for the whole daemon, and is safe for concurrent use by traffic
// goroutines. Load probes go to gates only: an upstream itself is probed by nobody but the daemon beside it, as
// often as a Pacer allows.
package probe

import (
	"sync"
	"time"

	"comfreytack/core/model"
)

// Settings has the bounds of a Budget.
type Settings struct {
	// CallsPerProbe is how many calls earn one load probe; at least 1.
	CallsPerProbe int
	// BaseInterval is the interval at which one load probe is granted even without calls; positive.
	BaseInterval time.Duration
	// Burst is the capacity of the token bucket; at least 1.
	Burst int
	// StaleAfter is the age from which the newest report of an upstream is worth a load probe.
	StaleAfter time.Duration
}

// DefaultSettings returns the settings that a daemon uses: at most one load probe for each 100 calls, plus one per
// second.
func DefaultSettings() Settings {
	return Settings{CallsPerProbe: 100, BaseInterval: time.Second, Burst: 5, StaleAfter: 250 * time.Millisecond}
}

// Budget grants load probes and chooses which gate to ask.
type Budget struct {
	settings Settings

	mu sync.Mutex
	// calls counts the calls since the last token that calls earned; below CallsPerProbe.
	calls int
	// tokens counts the load probes that may be sent now, from 0 to Burst.
	tokens        int
	baseGrantedAt time.Time
	granted       uint64
	// heardAt has the time of the last report or load probe of each upstream that may be probed; zero before the first.
	heardAt map[model.UpstreamName]time.Time
}

// New returns a Budget without tokens. BaseInterval counts from now.
func New(now time.Time, settings Settings) *Budget {
	return &Budget{settings: settings, baseGrantedAt: now, heardAt: map[model.UpstreamName]time.Time{}}
}

// Sent counts a call to an upstream; every CallsPerProbe calls earn a token.
func (b *Budget) Sent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls++
	if b.calls >= b.settings.CallsPerProbe {
		b.calls = 0
		b.grant(1)
	}
}

// ReportReceived records that the gate of an upstream has reported its load, with the answer to a call or to a load
// probe.
func (b *Budget) ReportReceived(now time.Time, upstream model.UpstreamName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, member := b.heardAt[upstream]; member {
		b.heardAt[upstream] = now
	}
}

// SetUpstreams replaces the upstreams that may be probed. Those that stay keep the time of their last report.
func (b *Budget) SetUpstreams(upstreams []model.UpstreamName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	heardAt := make(map[model.UpstreamName]time.Time, len(upstreams))
	for _, upstream := range upstreams {
		heardAt[upstream] = b.heardAt[upstream]
	}
	b.heardAt = heardAt
}

// Next returns the upstream whose gate is to be probed now, the one with the oldest report, and takes a token. It
// returns false when no report is stale or no token is left. A probed upstream counts as having reported, so that one
// that does not answer does not hold up the others.
func (b *Budget) Next(now time.Time) (model.UpstreamName, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grantBase(now)
	stalest, found := b.stalest(now)
	if b.tokens < 1 || !found {
		return "", false
	}
	b.tokens--
	b.granted++
	b.heardAt[stalest] = now
	return stalest, true
}

// Granted returns the number of load probes granted so far.
func (b *Budget) Granted() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.granted
}

func (b *Budget) grantBase(now time.Time) {
	periods := now.Sub(b.baseGrantedAt) / b.settings.BaseInterval
	if periods < 1 {
		return
	}
	b.baseGrantedAt = b.baseGrantedAt.Add(periods * b.settings.BaseInterval)
	b.grant(int(min(periods, time.Duration(b.settings.Burst))))
}

func (b *Budget) grant(count int) {
	b.tokens = min(b.tokens+count, b.settings.Burst)
}

func (b *Budget) stalest(now time.Time) (model.UpstreamName, bool) {
	var stalest model.UpstreamName
	found := false
	for upstream, at := range b.heardAt {
		if now.Sub(at) < b.settings.StaleAfter {
			continue
		}
		if !found || at.Before(b.heardAt[stalest]) || at.Equal(b.heardAt[stalest]) && upstream < stalest {
			stalest, found = upstream, true
		}
	}
	return stalest, found
}

// Pacer allows one health probe of the local upstream per interval. It is not safe for concurrent use.
type Pacer struct {
	// Interval is the minimum time between two probes.
	Interval time.Duration
	// ProbedAt is when the last probe was allowed; zero before the first.
	ProbedAt time.Time
}

// Due reports whether the upstream may be probed now, and if so starts a new interval.
func (p *Pacer) Due(now time.Time) bool {
	if !p.ProbedAt.IsZero() && now.Sub(p.ProbedAt) < p.Interval {
		return false
	}
	p.ProbedAt = now
	return true
}
