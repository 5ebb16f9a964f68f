// Package load keeps what this daemon knows of the load of each upstream that it calls.
//
// A Book is shared by traffic goroutines and guards itself.
package load

import (
	"sync"
	"time"

	"comfreytack/core/model"
	"comfreytack/core/query/route"
)

// Book counts calls in flight and keeps the newest report of each gate.
type Book struct {
	mu      sync.Mutex
	entries map[model.UpstreamName]*entry
}

type entry struct {
	inFlight int
	report   model.GateReport
	reportAt time.Time
}

// New returns an empty book.
func New() *Book {
	return &Book{entries: map[model.UpstreamName]*entry{}}
}

// Began counts a call that is about to be sent.
func (b *Book) Began(upstream model.UpstreamName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(upstream).inFlight++
}

// Ended counts a call that is over.
func (b *Book) Ended(upstream model.UpstreamName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(upstream).inFlight--
}

// Reported keeps a gate's report.
func (b *Book) Reported(now time.Time, report model.GateReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(report.Upstream)
	e.report = report
	e.reportAt = now
}

// Candidates adds what is known to each of the upstreams.
func (b *Book) Candidates(upstreams []model.Upstream) []route.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := make([]route.Candidate, 0, len(upstreams))
	for _, upstream := range upstreams {
		candidate := route.Candidate{Upstream: upstream}
		if e, known := b.entries[upstream.Name]; known {
			candidate.InFlight = e.inFlight
			candidate.Report = e.report
			candidate.ReportAt = e.reportAt
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

func (b *Book) entry(upstream model.UpstreamName) *entry {
	e, known := b.entries[upstream]
	if !known {
		e = &entry{}
		b.entries[upstream] = e
	}
	return e
}
