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

// checkInterval is the time between two comparisons of answers and run logs.
const checkInterval = time.Second

// checker compares callers' answers with the upstreams' run logs during a run.
type checker struct {
	mu      sync.Mutex
	records []loader.Record
}

// addRecord stores the result of a send that has ended.
func (c *checker) addRecord(record loader.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, record)
}

// run checks at intervals until ctx ends. At the first violated guarantee it calls onViolation and returns.
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
		if totals.Violated() {
			onViolation(totals)
			return nil
		}
	}
}

// check compares the sends that have ended so far with the run logs. It copies the records before it reads the runs, so
// that each answer is counted with its run. Stray is cleared, since runs of sends without an answer yet would count.
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
