package verbs

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/mo"

	"comfreytack/cftlab/deploy"
	"comfreytack/cftlab/fleet"
	"comfreytack/cftlab/loader"
	"comfreytack/cftlab/stub"
	"comfreytack/cftlab/tally"
	"comfreytack/core/model"
)

var demoVerb = Verb{
	Name:    "demo",
	Summary: "run a whole deployment under load while upstreams fail, and check the run logs",
	New:     func() Action { return &demo{} },
}

type demo struct {
	Deployment  string   `long:"deployment" default:"quito" description:"folder of a deployment below --deployments"`
	Deployments string   `long:"deployments" default:"deployments" value-name:"FOLDER" description:"folder of all deployments"`
	Seconds     float64  `long:"seconds" default:"10" description:"how long to send load"`
	Scale       float64  `long:"scale" default:"1" description:"multiplies all rates"`
	Seed        uint64   `long:"seed" default:"1" description:"seed of arrivals and work times"`
	Bin         string   `long:"bin" default:"bin" value-name:"FOLDER" description:"folder of the programs"`
	Keep        bool     `long:"keep" description:"keep the folder of settings, logs and run logs"`
	Flag        []string `long:"flag" value-name:"FLAG" description:"passed to every daemon; may be repeated"`
}

// errViolation means that the run logs show a violated guarantee, for example work that was answered not_run but ran.
var errViolation = errors.New("the run logs show a violated guarantee")

// Run starts the deployment, sends the load and compares the answers that callers got with the run logs.
func (d *demo) Run(ctx context.Context, streams Streams) error {
	deployment, err := deploy.Load(os.DirFS(filepath.Join(d.Deployments, d.Deployment)))
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "cftlab-"+d.Deployment+"-")
	if err != nil {
		return errors.WithStack(err)
	}
	site := deployment.Place(fleet.NewPorts(os.Getpid()).Next)
	running, err := fleet.Launch(ctx, fleet.Settings{Bin: d.Bin, Folder: folder, Site: site, Flags: d.Flag})
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "%s: %d upstreams and their daemons are ready\n", d.Deployment, len(site.Nodes))
	records, err := d.send(ctx, streams, deployment, site, running)
	killed := running.Stop()
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		_ = os.RemoveAll(folder) // an interrupted demo has nothing to show
		return errors.New("interrupted; all processes were stopped")
	}
	err = report(streams, "demo", records, running)
	if err == nil && len(killed) > 0 {
		err = errors.Errorf("did not stop in time and were killed: %v", killed)
	}
	if err != nil {
		fmt.Fprintf(streams.Errs, "logs of the daemons:\n")
		for _, log := range running.Logs() {
			fmt.Fprintf(streams.Errs, "  %s\n", log)
		}
		return err
	}
	if d.Keep {
		fmt.Fprintf(streams.Errs, "kept %s\n", folder)
		return nil
	}
	return errors.WithStack(os.RemoveAll(folder))
}

// send sends the load while the planned faults are applied.
func (d *demo) send(
	ctx context.Context, streams Streams, deployment deploy.Deployment, site deploy.Site, running *fleet.Fleet,
) ([]loader.Record, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	faultErr := make(chan error, 1)
	go func() { faultErr <- d.applyFaults(ctx, streams, plannedFaults(deployment, site, running)) }()
	records, err := loader.Run(ctx, loader.Settings{
		Targets: site.Callers(),
		Span:    seconds(d.Seconds),
		Seed:    d.Seed,
		Prefix:  prefix(time.Now()),
	}, deployment.Plan.Scaled(d.Scale))
	cancel()
	if failure := <-faultErr; err == nil {
		err = failure
	}
	return records, err
}

// timedFault is a fault at a given time of the demo.
type timedFault struct {
	// fraction is when the fault begins, as a fraction of the demo's length.
	fraction float64
	// text is printed when the fault has begun.
	text  string
	apply func(ctx context.Context) error
}

// slowFactor multiplies the work times of the slow upstream.
const slowFactor = 10

// plannedFaults returns the faults of the demo. They drain the first upstream and slow down the last one of the
// first service with idempotent requests, and kill the first upstream of the first service with non-idempotent ones.
func plannedFaults(deployment deploy.Deployment, site deploy.Site, running *fleet.Fleet) []timedFault {
	readNodes := site.NodesOf(firstService(deployment.Plan, true))
	writeNodes := site.NodesOf(firstService(deployment.Plan, false))
	drained, slowed, killed := readNodes[0], readNodes[len(readNodes)-1], writeNodes[0]
	return []timedFault{
		{fraction: 0.2, text: fmt.Sprintf("%s drains", drained.Daemon.Name), apply: func(ctx context.Context) error {
			return running.ChangeFaults(ctx, drained, stub.Change{Drain: mo.Some(true)})
		}},
		{fraction: 0.35, text: fmt.Sprintf("%s slows down tenfold", slowed.Daemon.Name),
			apply: func(ctx context.Context) error {
				return running.ChangeFaults(ctx, slowed, stub.Change{SlowFactor: mo.Some(float64(slowFactor))})
			}},
		{fraction: 0.5, text: fmt.Sprintf("%s is killed", killed.Daemon.Name), apply: func(context.Context) error {
			running.KillUpstream(killed)
			return nil
		}},
	}
}

// firstService returns the service of the first stream whose requests are idempotent, or are not, as asked. If the plan
// has no such stream, it returns the service of the first one.
func firstService(plan loader.Plan, idempotent bool) model.ServiceName {
	for _, stream := range plan.Streams {
		if stream.Idempotent == idempotent {
			return stream.Service
		}
	}
	return plan.Streams[0].Service
}

// applyFaults applies the faults at their times, until ctx ends.
func (d *demo) applyFaults(ctx context.Context, streams Streams, faults []timedFault) error {
	start := time.Now()
	for _, fault := range faults {
		at := seconds(d.Seconds * fault.fraction)
		select {
		case <-time.After(time.Until(start.Add(at))):
		case <-ctx.Done():
			return nil
		}
		if err := fault.apply(ctx); err != nil {
			return errors.Wrap(err, fault.text)
		}
		fmt.Fprintf(streams.Out, "%5.1f s  %s\n", at.Seconds(), fault.text)
	}
	return nil
}

// report prints the table of results, errors of callers and the line of totals. It returns errViolation if the run logs
// show a violated guarantee.
func report(streams Streams, verb string, records []loader.Record, running *fleet.Fleet) error {
	runs, err := running.Runs()
	if err != nil {
		return err
	}
	if err := tally.Print(streams.Out, tally.Rows(records)); err != nil {
		return errors.WithStack(err)
	}
	for _, line := range tally.Errors(records) {
		fmt.Fprintf(streams.Out, "without an answer: %s\n", line)
	}
	totals := tally.Count(records, runs)
	if totals.Stray > 0 {
		fmt.Fprintf(streams.Out, "runs that no caller sent: %d\n", totals.Stray)
	}
	if totals.LaterNotRun > 0 {
		fmt.Fprintf(streams.Out, "answered not_run after another send of the same work ran: %d\n", totals.LaterNotRun)
	}
	fmt.Fprintf(streams.Out,
		"%s: sent=%d served=%d not_run=%d may_have_run=%d wrong_answer=%d ran_twice=%d false_not_run=%d\n",
		verb, totals.Sent, totals.Served, totals.NotRun, totals.MayHaveRun,
		totals.WrongAnswer, totals.RanTwice, totals.FalseNotRun)
	if totals.Violated() {
		return errViolation
	}
	return nil
}
