package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"comfreytack/cftlab/suite"
)

var compareVerb = Verb{
	Name:    "compare",
	Summary: "run an experiment: the same load against several variants, repeatedly",
	New:     func() Action { return &compare{} },
}

type compare struct {
	Plan    []string `long:"plan" required:"true" value-name:"FILE" description:"an experiment, for example cftlab/plans/slow_server.json; may be repeated"`
	Repeats int      `long:"repeats" default:"3" description:"runs of each variant"`
	Seed    uint64   `long:"seed" default:"1" description:"seed of the first repeat"`
	Bin     string   `long:"bin" default:"bin" value-name:"FOLDER" description:"folder of the programs"`
	JSON    bool     `long:"json" description:"print JSON in place of a table"`
}

// Run runs the experiments one after the other and prints a table for each.
func (c *compare) Run(ctx context.Context, streams Streams) error {
	for _, path := range c.Plan {
		if err := c.runOne(ctx, streams, path); err != nil {
			return errors.Wrap(err, path)
		}
	}
	return nil
}

func (c *compare) runOne(ctx context.Context, streams Streams, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.WithStack(err)
	}
	defer file.Close()
	experiment, err := suite.Parse(file)
	if err != nil {
		return err
	}
	results, err := suite.Run(ctx, suite.Settings{
		Bin:      c.Bin,
		Repeats:  c.Repeats,
		Seed:     c.Seed,
		Progress: func(text string) { fmt.Fprintln(streams.Errs, text) },
	}, experiment)
	if err != nil {
		return err
	}
	lines := suite.Lines(experiment, results)
	if err := c.print(streams.Out, experiment, lines); err != nil {
		return err
	}
	return checkGuarantees(results)
}

func (c *compare) print(out io.Writer, experiment suite.Experiment, lines []suite.Line) error {
	if c.JSON {
		return errors.WithStack(json.NewEncoder(out).Encode(lines))
	}
	return suite.Print(out, experiment, lines, c.Repeats)
}

// checkGuarantees returns an error if the run logs of a run show a violated guarantee.
func checkGuarantees(results []suite.Result) error {
	for _, result := range results {
		if result.Totals.Violated() {
			return errors.Wrapf(errViolation, "%s: %+v", result.Variant, result.Totals)
		}
	}
	return nil
}
