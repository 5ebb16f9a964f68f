package suite

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"comfreytack/cftlab/deploy"
	"comfreytack/cftlab/fleet"
	"comfreytack/cftlab/loader"
	"comfreytack/cftlab/tally"
	"comfreytack/core/model"
)

// Settings says how to run an experiment.
type Settings struct {
	// Bin is the folder of the programs cftd and cftlab.
	Bin string
	// Repeats is how many times each variant runs.
	Repeats int
	// Seed is the seed of the first repeat, and each further repeat uses the next. Within a repeat all variants have the
	// same arrivals.
	Seed uint64
	// Progress is called with a line of text after each run.
	Progress func(text string)
}

// Result is one run of one variant.
type Result struct {
	// Variant is the name of the variant.
	Variant string
	// Rows has one row for each customer and class, over the measurement window.
	Rows []tally.Row
	// Totals compare the callers' records of the whole run with the run logs.
	Totals tally.Totals
}

// Run runs every variant once in each repeat, one after the other.
func Run(ctx context.Context, settings Settings, experiment Experiment) ([]Result, error) {
	results := []Result{}
	for repeat := range settings.Repeats {
		for _, variant := range experiment.Variants {
			result, err := runVariant(ctx, settings, experiment, variant, settings.Seed+uint64(repeat))
			if err != nil {
				return results, errors.Wrap(err, variant.Name)
			}
			results = append(results, result)
			settings.Progress(fmt.Sprintf("%s %d/%d: %s: %+v",
				experiment.Name, repeat+1, settings.Repeats, variant.Name, result.Totals))
		}
	}
	return results, nil
}

func runVariant(
	ctx context.Context, settings Settings, experiment Experiment, variant Variant, seed uint64,
) (Result, error) {
	folder, err := os.MkdirTemp("", "cftlab-"+experiment.Name+"-")
	if err != nil {
		return Result{}, errors.WithStack(err)
	}
	defer os.RemoveAll(folder)
	site := deploy.ForExperiment(experiment.services(variant), experiment.Contracts).
		Place(fleet.NewPorts(os.Getpid()).Next)
	running, err := fleet.Launch(ctx, fleet.Settings{
		Bin: settings.Bin, Folder: folder, Site: site, Flags: variant.Flags,
	})
	if err != nil {
		return Result{}, err
	}
	records, err := send(ctx, experiment, variant, site, running, seed)
	running.Stop()
	if err != nil {
		return Result{}, err
	}
	if ctx.Err() != nil {
		return Result{}, errors.New("interrupted; all processes were stopped")
	}
	runs, err := running.Runs()
	if err != nil {
		return Result{}, err
	}
	return Result{
		Variant: variant.Name,
		Rows:    tally.Rows(experiment.inWindow(records)),
		Totals:  tally.Count(records, runs),
	}, nil
}

// send sends the load of a variant while its faults are applied.
func send(
	ctx context.Context, experiment Experiment, variant Variant, site deploy.Site, running *fleet.Fleet, seed uint64,
) ([]loader.Record, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nodes := site.NodesOf(experiment.Services[0].Name)
	faultErr := make(chan error, 1)
	go func() { faultErr <- applyFaults(ctx, experiment.faults(variant), nodes, running) }()
	records, err := loader.Run(ctx, loader.Settings{
		Targets: deploy.Site{Nodes: nodes}.Callers(),
		Span:    time.Duration(experiment.Ms) * time.Millisecond,
		Seed:    seed,
		Prefix:  fmt.Sprintf("%x", time.Now().UnixNano()),
	}, experiment.plan(variant))
	cancel()
	if failure := <-faultErr; err == nil {
		err = failure
	}
	return records, err
}

// applyFaults applies the faults at their times, until ctx ends.
func applyFaults(ctx context.Context, faults []Fault, nodes []deploy.Node, running *fleet.Fleet) error {
	start := time.Now()
	for _, fault := range faults {
		at := start.Add(time.Duration(fault.AtMs) * time.Millisecond)
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return nil
		}
		if err := running.ChangeFaults(ctx, nodes[fault.Upstream], fault.Change); err != nil {
			return err
		}
	}
	return nil
}

// services returns the services of a variant.
func (e Experiment) services(variant Variant) []deploy.ExperimentService {
	services := slices.Clone(e.Services)
	if !variant.OneClass {
		return services
	}
	for index := range services {
		services[index].Routes = slices.Clone(services[index].Routes)
		for route := range services[index].Routes {
			services[index].Routes[route].Class = model.Short
		}
	}
	return services
}

// faults returns the faults of a variant.
func (e Experiment) faults(variant Variant) []Fault {
	if variant.Healthy {
		return nil
	}
	return e.Faults
}

// plan returns the load of a variant.
func (e Experiment) plan(variant Variant) loader.Plan {
	plan := loader.Plan{}
	for _, stream := range e.Streams {
		if variant.Without != stream.Class.String() {
			plan.Streams = append(plan.Streams, stream)
		}
	}
	if variant.Scale == 0 {
		return plan
	}
	return plan.Scaled(variant.Scale)
}

// inWindow returns the records whose intended send time is in the measurement window.
func (e Experiment) inWindow(records []loader.Record) []loader.Record {
	found := []loader.Record{}
	for _, record := range records {
		ms := int(record.Intended.Milliseconds())
		if ms >= e.FromMs && ms < e.windowEndMs() {
			found = append(found, record)
		}
	}
	return found
}

// windowEndMs returns the end of the measurement window, in milliseconds since the start of the load.
func (e Experiment) windowEndMs() int {
	if e.ToMs > 0 {
		return e.ToMs
	}
	return e.Ms
}

// Window returns the length of the measurement window.
func (e Experiment) Window() time.Duration {
	return time.Duration(e.windowEndMs()-e.FromMs) * time.Millisecond
}
