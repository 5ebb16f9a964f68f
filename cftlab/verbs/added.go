package verbs

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"comfreytack/cftlab/deploy"
	"comfreytack/cftlab/fleet"
	"comfreytack/cftlab/loader"
	"comfreytack/cftlab/suite"
	"comfreytack/cftlab/tally"
	"comfreytack/core/model"
)

var addedVerb = Verb{
	Name:    "added",
	Summary: "measure what entry and gate add to a direct call",
	New:     func() Action { return &added{} },
}

type added struct {
	Rate    float64  `long:"rate" default:"500" description:"requests per second"`
	WorkMs  float64  `long:"work-ms" default:"2" description:"work of each request at the upstream, in milliseconds"`
	Size    int      `long:"size" default:"200" description:"payload of each answer, in bytes"`
	Seconds float64  `long:"seconds" default:"4" description:"how long to send on each path in each repeat"`
	Repeats int      `long:"repeats" default:"5" description:"rounds over all paths"`
	Seed    uint64   `long:"seed" default:"1" description:"seed of the first round"`
	Bin     string   `long:"bin" default:"bin" value-name:"FOLDER" description:"folder of the programs"`
	Flag    []string `long:"flag" value-name:"FLAG" description:"passed to every daemon; may be repeated"`
}

// addedPath is a path to the upstream, with one row of results for each round.
type addedPath struct {
	name   string
	target model.Address
	direct bool
	rows   []tally.Row
}

const (
	addedCustomer   = "clerk"
	addedDeadlineMs = 2000
	// addedWarmUp is how long each path is used before the first round, so that its connections are open.
	addedWarmUp = time.Second
)

// Run sends the same load over each path in turn, and prints the latencies and what each path adds to the direct one.
func (a *added) Run(ctx context.Context, streams Streams) error {
	folder, err := os.MkdirTemp("", "cftlab-added-")
	if err != nil {
		return errors.WithStack(err)
	}
	defer os.RemoveAll(folder)
	contracts := []model.Contract{{
		Customer: addedCustomer, Weight: 1, DeadlineMs: addedDeadlineMs, LongestMs: addedDeadlineMs,
	}}
	services := []deploy.ExperimentService{{Name: "work", Upstreams: 1}, {Name: "front", Upstreams: 1}}
	site := deploy.ForExperiment(services, contracts).Place(fleet.NewPorts(os.Getpid()).Next)
	running, err := fleet.Launch(ctx, fleet.Settings{Bin: a.Bin, Folder: folder, Site: site, Flags: a.Flag})
	if err != nil {
		return err
	}
	defer running.Stop()
	work, front := site.NodesOf("work")[0].Daemon, site.NodesOf("front")[0].Daemon
	paths := []*addedPath{
		{name: "direct", target: work.Upstream, direct: true},
		{name: "entry is gate", target: work.Callers},
		{name: "entry and gate", target: front.Callers},
	}
	if err := a.measure(ctx, paths); err != nil {
		return err
	}
	return a.print(streams, paths)
}

// measure sends over the paths in turn in each round, after a warm-up round that opens connections and does not count.
func (a *added) measure(ctx context.Context, paths []*addedPath) error {
	for _, path := range paths {
		if _, err := a.send(ctx, path, addedWarmUp, a.Seed); err != nil {
			return err
		}
	}
	for repeat := range a.Repeats {
		for _, path := range paths {
			row, err := a.send(ctx, path, seconds(a.Seconds), a.Seed+uint64(repeat))
			if err != nil {
				return err
			}
			path.rows = append(path.rows, row)
		}
	}
	return nil
}

// send sends the load over one path for span and summarizes the results.
func (a *added) send(ctx context.Context, path *addedPath, span time.Duration, seed uint64) (tally.Row, error) {
	plan := loader.Plan{Streams: []loader.Stream{{
		Customer:   addedCustomer,
		Service:    "work",
		Method:     "GET",
		Path:       "/lookup",
		Idempotent: true,
		Rate:       a.Rate,
		DeadlineMs: addedDeadlineMs,
		WorkUs:     int(a.WorkMs * 1000),
		Size:       a.Size,
		Direct:     path.direct,
	}}}
	records, err := loader.Run(ctx, loader.Settings{
		Targets: []string{string(path.target)},
		Span:    span,
		Seed:    seed,
		Prefix:  prefix(time.Now()),
	}, plan)
	if err == nil && ctx.Err() != nil {
		err = errors.New("interrupted; all processes were stopped")
	}
	return tally.Sum(records), err
}

// print shows the latencies of each path, and by how much they exceed those of the direct path in the same round.
func (a *added) print(streams Streams, paths []*addedPath) error {
	fmt.Fprintf(streams.Out, "%g requests/s, %g ms work, %d bytes; median [least..most] of %d rounds of %g s, in ms\n",
		a.Rate, a.WorkMs, a.Size, a.Repeats, a.Seconds)
	for _, basis := range []struct {
		text     string
		p50, p99 func(tally.Row) float64
	}{
		{
			text: "from the real send time",
			p50:  func(r tally.Row) float64 { return r.SendP50 },
			p99:  func(r tally.Row) float64 { return r.SendP99 },
		},
		{
			text: "from the intended send time",
			p50:  func(r tally.Row) float64 { return r.P50 },
			p99:  func(r tally.Row) float64 { return r.P99 },
		},
	} {
		fmt.Fprintf(streams.Out, "%s:\n", basis.text)
		table := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "path\tsent\tserved\tp50\tp99\tadded p50\tadded p99\tsent late p99")
		for _, path := range paths {
			printPath(table, path, paths[0], basis.p50, basis.p99)
		}
		if err := table.Flush(); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// printPath writes the line of one path.
func printPath(table io.Writer, path, direct *addedPath, p50, p99 func(tally.Row) float64) {
	spread := func(value func(tally.Row) float64) suite.Spread {
		return suite.SpreadOver(path.rows, value)
	}
	addedSpread := func(value func(tally.Row) float64) suite.Spread {
		values := []float64{}
		for index, row := range path.rows {
			values = append(values, value(row)-value(direct.rows[index]))
		}
		return suite.NewSpread(values)
	}
	sent, served := 0, 0
	for _, row := range path.rows {
		sent += row.Sent
		served += row.Served
	}
	late := spread(func(r tally.Row) float64 { return r.LateP99 })
	fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\n",
		path.name, sent, served, spread(p50), spread(p99), addedSpread(p50), addedSpread(p99), late)
}
