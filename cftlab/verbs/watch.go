package verbs

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreytack/cftlab/fleet"
	"comfreytack/cftlab/loader"
	"comfreytack/cftlab/tally"
)

// watchEvery is the time between two looks at what callers were told and what upstreams ran.
const watchEvery = time.Second

// watcher compares callers' answers with the upstreams' run logs while a run goes on.
type watcher struct {
	mu      sync.Mutex
	records []loader.Record
}

// ended takes the end of one send.
func (w *watcher) ended(record loader.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, record)
}

// run looks until ctx ends, and tells of the first broken promise at once.
func (w *watcher) run(ctx context.Context, running *fleet.Fleet, tell func(tally.Totals)) error {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		totals, err := w.look(running)
		if err != nil {
			return err
		}
		if totals.Violated() {
			tell(totals)
			return nil
		}
	}
}

// look counts what is over so far. The records are taken before the runs, so that no answer is counted without its
// run; the runs of sends that are still under way are not strays.
func (w *watcher) look(running *fleet.Fleet) (tally.Totals, error) {
	w.mu.Lock()
	records := slices.Clone(w.records)
	w.mu.Unlock()
	runs, err := running.Runs()
	if err != nil {
		return tally.Totals{}, err
	}
	totals := tally.Count(records, runs)
	totals.Stray = 0
	return totals, nil
}
