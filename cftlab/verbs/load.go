package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"comfreytack/cftlab/loader"
	"comfreytack/cftlab/tally"
)

var loadVerb = Verb{
	Name:    "load",
	Summary: "send the open-loop load of a plan file and print latencies and verdicts",
	New:     func() Action { return &load{} },
}

type load struct {
	Plan    string   `long:"plan" required:"true" value-name:"FILE" description:"streams of requests, for example deployments/quito/load.json"`
	Target  []string `long:"target" required:"true" value-name:"ADDRESS" description:"callers' port of a daemon; may be repeated"`
	Seconds float64  `long:"seconds" default:"10" description:"how long to send"`
	Scale   float64  `long:"scale" default:"1" description:"multiplies all rates"`
	Seed    uint64   `long:"seed" default:"1" description:"seed of arrivals and work times"`
	JSON    bool     `long:"json" description:"print JSON in place of a table"`
}

// Run sends the load and prints one row for each customer and class.
func (l *load) Run(ctx context.Context, streams Streams) error {
	plan, err := readPlan(l.Plan)
	if err != nil {
		return err
	}
	records, err := loader.Run(ctx, loader.Settings{
		Targets: l.Target,
		Span:    seconds(l.Seconds),
		Seed:    l.Seed,
		Prefix:  prefix(time.Now()),
	}, plan.Scaled(l.Scale))
	if err != nil {
		return err
	}
	rows := tally.Rows(records)
	if l.JSON {
		return json.NewEncoder(streams.Out).Encode(rows)
	}
	return tally.Print(streams.Out, rows)
}

func readPlan(path string) (loader.Plan, error) {
	file, err := os.Open(path)
	if err != nil {
		return loader.Plan{}, errors.WithStack(err)
	}
	defer file.Close()
	plan, err := loader.Parse(file)
	return plan, errors.Wrap(err, path)
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// prefix returns a prefix of request ids that is unique among runs that start at different times.
func prefix(now time.Time) string {
	return fmt.Sprintf("%x", now.UnixNano())
}
