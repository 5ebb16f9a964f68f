package verbs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"comfreytack/cftlab/deploy"
	"comfreytack/cftlab/faults"
	"comfreytack/cftlab/fleet"
	"comfreytack/cftlab/loader"
	"comfreytack/cftlab/tally"
)

var faultsVerb = Verb{
	Name:    "faults",
	Summary: "run a deployment under load and overlapping faults drawn from a seed, and check the run logs",
	New:     func() Action { return &faultRun{} },
}

type faultRun struct {
	Deployment  string   `long:"deployment" default:"quito" description:"folder of a deployment below --deployments"`
	Deployments string   `long:"deployments" default:"deployments" value-name:"FOLDER" description:"folder of all deployments"`
	Seconds     float64  `long:"seconds" default:"15" description:"how long to send load in each round"`
	Scale       float64  `long:"scale" default:"1" description:"multiplies all rates"`
	Seed        uint64   `long:"seed" default:"1" description:"seed of the first round"`
	Rounds      int      `long:"rounds" default:"1" description:"how many rounds, each with the next seed"`
	Count       int      `long:"count" default:"20" description:"faults in each round"`
	Kind        []string `long:"kind" description:"only faults of this kind; may be repeated"`
	StopMs      float64  `long:"stop-ms" default:"6000" description:"longest graceful stop of a daemon, in milliseconds"`
	CrashRate   float64  `long:"crash-rate" description:"rate per second of a repeated request that crashes every upstream that runs it"`
	Bin         string   `long:"bin" default:"bin" value-name:"FOLDER" description:"folder of the programs"`
	Flag        []string `long:"flag" value-name:"FLAG" description:"passed to every daemon; may be repeated"`
}

// Run runs all rounds. It continues after a round with a violated guarantee, and then fails at the end.
func (f *faultRun) Run(ctx context.Context, streams Streams) error {
	kinds, err := f.kinds()
	if err != nil {
		return err
	}
	deployment, err := deploy.Load(os.DirFS(filepath.Join(f.Deployments, f.Deployment)))
	if err != nil {
		return err
	}
	deployment.Daemon.StopMs = f.StopMs
	failed := []uint64{}
	for round := range f.Rounds {
		seed := f.Seed + uint64(round)
		err := f.round(ctx, streams, deployment, kinds, seed)
		if errors.Is(err, errViolation) {
			failed = append(failed, seed)
		} else if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
	}
	if len(failed) > 0 {
		return errors.Wrapf(errViolation, "seeds %v", failed)
	}
	return nil
}

// kinds returns the kinds of faults that the options allow.
func (f *faultRun) kinds() ([]faults.Kind, error) {
	if len(f.Kind) == 0 {
		return faults.AllKinds(), nil
	}
	kinds := []faults.Kind{}
	for _, name := range f.Kind {
		kind, err := faults.ParseKind(name)
		if err != nil {
			return nil, err
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// round runs the deployment once, with the arrivals and faults of one seed.
func (f *faultRun) round(
	ctx context.Context, streams Streams, deployment deploy.Deployment, kinds []faults.Kind, seed uint64,
) error {
	folder, err := os.MkdirTemp("", "cftlab-faults-")
	if err != nil {
		return errors.WithStack(err)
	}
	ports := fleet.NewPorts(os.Getpid())
	site := deployment.Place(ports.Next).WithLinks(ports.Next)
	running, err := fleet.Launch(ctx, fleet.Settings{Bin: f.Bin, Folder: folder, Site: site, Flags: f.Flag, Respawn: true})
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "seed %d\n", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	drawn := faults.Draw(random, kinds, len(site.Nodes), f.Count, seconds(f.Seconds))
	applier := faults.New(running, site, func(text string) { fmt.Fprintln(streams.Out, text) })
	records, err := f.load(ctx, streams, running, loader.Settings{
		Targets: site.Callers(),
		Span:    seconds(f.Seconds),
		Seed:    seed,
		Prefix:  prefix(time.Now()),
	}, deployment, func(ctx context.Context) error { return applier.Run(ctx, drawn) })
	running.Stop()
	if err == nil && ctx.Err() != nil {
		err = errors.New("interrupted; all processes were stopped")
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "upstreams that crashed: %d, daemons that did not stop in time: %d\n",
		running.Crashes(), running.StopTimeouts())
	if err := report(streams, "faults", records, running); err != nil {
		fmt.Fprintf(streams.Errs, "logs and run logs: %s\n", folder)
		return err
	}
	return errors.WithStack(os.RemoveAll(folder))
}

// load sends the load, and meanwhile applies faults and compares answers with the run logs.
func (f *faultRun) load(
	ctx context.Context, streams Streams, running *fleet.Fleet, settings loader.Settings, deployment deploy.Deployment,
	apply func(context.Context) error,
) ([]loader.Record, error) {
	var checking checker
	settings.OnRecord = checking.addRecord
	checkCtx, stop := context.WithCancel(ctx)
	defer stop()
	var background errgroup.Group
	background.Go(func() error { return apply(ctx) })
	background.Go(func() error {
		return checking.run(checkCtx, running, func(totals tally.Totals) {
			fmt.Fprintf(streams.Out, "guarantee violated: %+v\n", totals)
		})
	})
	records, err := loader.Run(ctx, settings, f.withCrashStream(deployment.Plan.Scaled(f.Scale)))
	stop()
	if failure := background.Wait(); err == nil {
		err = failure
	}
	return records, err
}

// withCrashStream adds a stream whose requests crash the upstream that runs them. They all have the same body, and use
// the route of the first non-idempotent stream.
func (f *faultRun) withCrashStream(plan loader.Plan) loader.Plan {
	if f.CrashRate <= 0 {
		return plan
	}
	for _, stream := range plan.Streams {
		if !stream.Idempotent {
			stream.Rate, stream.Steps = f.CrashRate, nil
			stream.Body, stream.Keyed, stream.Resend = "Lab-Crash", false, 0
			plan.Streams = append(plan.Streams, stream)
			return plan
		}
	}
	return plan
}
