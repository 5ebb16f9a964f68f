// Package suite runs experiments: the same load against several variants, in turn and repeatedly.
//
// model.go describes an experiment, run.go runs it and table.go summarises its results.
package suite

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"comfreytack/cftlab/deploy"
	"comfreytack/cftlab/loader"
	"comfreytack/cftlab/stub"
	"comfreytack/core/model"
)

// Experiment is the content of a file in cftlab/plans.
type Experiment struct {
	// Name is the heading of the table, and About says what is compared.
	Name  string `json:"name"`
	About string `json:"about"`
	// Services and Contracts are published at the start. Callers use the daemons of the first service.
	Services  []deploy.ExperimentService `json:"services"`
	Contracts []model.Contract           `json:"contracts"`
	// Streams are the load of every variant.
	Streams []loader.Stream `json:"streams"`
	// Ms is how long load is sent, in milliseconds.
	Ms int `json:"ms"`
	// FromMs and ToMs bound the intended send times that count, in milliseconds; ToMs may be 0 for the end.
	FromMs int `json:"from_ms"`
	ToMs   int `json:"to_ms"`
	// Faults happen in every variant that does not name its own.
	Faults []Fault `json:"faults,omitempty"`
	// Variants are compared; the first one is the baseline.
	Variants []Variant `json:"variants"`
}

// Variant is one row of the comparison.
type Variant struct {
	// Name is unique in the experiment.
	Name string `json:"name"`
	// Flags go to every daemon.
	Flags []string `json:"flags,omitempty"`
	// Scale multiplies all rates; zero means 1.
	Scale float64 `json:"scale,omitempty"`
	// Healthy leaves out the faults of the experiment.
	Healthy bool `json:"healthy,omitempty"`
	// Without leaves out the streams of one class.
	Without string `json:"without,omitempty"`
	// OneClass publishes all routes as short, so that short and long work share one queue.
	OneClass bool `json:"one_class,omitempty"`
}

// Fault changes one upstream of the first service.
type Fault struct {
	// AtMs is the time since the start of the load, in milliseconds.
	AtMs int `json:"at_ms"`
	// Upstream counts from 0.
	Upstream int `json:"upstream"`
	// Change is sent to the upstream's control port.
	Change stub.Change `json:"change"`
}

// Parse reads an experiment and refuses unknown fields.
func Parse(source io.Reader) (Experiment, error) {
	var experiment Experiment
	decoder := json.NewDecoder(source)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&experiment); err != nil {
		return Experiment{}, errors.Wrap(err, "read the experiment")
	}
	if len(experiment.Services) == 0 || len(experiment.Variants) == 0 || experiment.Ms <= 0 {
		return Experiment{}, errors.New("an experiment needs services, variants and ms")
	}
	for _, fault := range experiment.Faults {
		if fault.Upstream < 0 || fault.Upstream >= experiment.Services[0].Upstreams {
			return Experiment{}, errors.Errorf("faults: no upstream %d", fault.Upstream)
		}
	}
	for index := range experiment.Streams {
		if err := experiment.Streams[index].Complete(); err != nil {
			return Experiment{}, errors.Wrapf(err, "stream %d", index)
		}
	}
	return experiment, nil
}
