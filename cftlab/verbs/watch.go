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

// checkInterval is the time between two looks at what callers were told and what upstreams ran.
const checkInterval = time.Second

// checker compares callers' answers with the upstreams' run logs while a run goes on.
type checker struct {
	mu      sync.Mutex
	records []loader.Record
}

// addRecord takes the end of one send.
func (c *checker) addRecord(record loader.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, record)
}

// run looks until ctx ends, and tells of the first broken promise at once.
func (c *checker) run(ctx context.Context, running *fleet.Fleet, onViolation func(tally.Totals)) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		totals, err := c.check(running)
		if err != nil {
			return err
		}
		if totals.Broken() {
			onViolation(totals)
			return nil
		}
	}
}

// check counts what is over so far. The records are taken before the runs, so that no answer is counted without its
// run; the runs of sends that are still under way are not strays.
func (c *checker) check(running *fleet.Fleet) (tally.Totals, error) {
	c.mu.Lock()
	records := slices.Clone(c.records)
	c.mu.Unlock()
	runs, err := running.Runs()
	if err != nil {
		return tally.Totals{}, err
	}
	totals := tally.Count(records, runs)
	totals.Stray = 0
	return totals, nil
}
