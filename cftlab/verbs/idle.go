package verbs

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"comfreytack/cftlab/deploy"
	"comfreytack/cftlab/fleet"
	"comfreytack/cftlab/suite"
)

var idleVerb = Verb{
	Name:    "idle",
	Summary: "measure memory and processor time of daemons without load",
	New:     func() Action { return &idle{} },
}

type idle struct {
	Deployment  string  `long:"deployment" default:"quito" description:"folder of a deployment below --deployments"`
	Deployments string  `long:"deployments" default:"deployments" value-name:"FOLDER" description:"folder of all deployments"`
	Seconds     float64 `long:"seconds" default:"10" description:"how long to measure"`
	Bin         string  `long:"bin" default:"bin" value-name:"FOLDER" description:"folder of the programs"`
}

const (
	mebibyte = 1 << 20
	// idleSettleTime passes after all daemons are ready and before the measurement.
	idleSettleTime = 2 * time.Second
)

// Run starts a deployment and prints the memory and CPU time that its daemons use without load.
func (i *idle) Run(ctx context.Context, streams Streams) error {
	deployment, err := deploy.Load(os.DirFS(filepath.Join(i.Deployments, i.Deployment)))
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "cftlab-idle-")
	if err != nil {
		return errors.WithStack(err)
	}
	defer os.RemoveAll(folder)
	site := deployment.Place(fleet.NewPorts(os.Getpid()).Next)
	running, err := fleet.Launch(ctx, fleet.Settings{Bin: i.Bin, Folder: folder, Site: site})
	if err != nil {
		return err
	}
	defer running.Stop()
	memory, cpu, err := i.measure(ctx, site.Nodes, running)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "%d idle daemons over %g s, median [least..most] of a daemon\n", len(site.Nodes), i.Seconds)
	fmt.Fprintf(streams.Out, "resident memory: %s MiB\n", suite.NewSpread(memory))
	fmt.Fprintf(streams.Out, "processor: %s %% of a core\n", suite.NewSpread(cpu))
	return nil
}

// measure returns the resident memory of each daemon in MiB and its CPU use in percent of a core.
func (i *idle) measure(ctx context.Context, nodes []deploy.Node, running *fleet.Fleet) (memory, cpu []float64, err error) {
	if !sleep(ctx, idleSettleTime) {
		return nil, nil, ctx.Err()
	}
	before := []time.Duration{}
	for _, node := range nodes {
		_, used, err := running.Usage(node)
		if err != nil {
			return nil, nil, err
		}
		before = append(before, used)
	}
	if !sleep(ctx, seconds(i.Seconds)) {
		return nil, nil, ctx.Err()
	}
	for index, node := range nodes {
		resident, used, err := running.Usage(node)
		if err != nil {
			return nil, nil, err
		}
		memory = append(memory, float64(resident)/mebibyte)
		cpu = append(cpu, 100*(used-before[index]).Seconds()/i.Seconds)
	}
	return memory, cpu, nil
}

// sleep waits for span and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-time.After(span):
		return true
	case <-ctx.Done():
		return false
	}
}
