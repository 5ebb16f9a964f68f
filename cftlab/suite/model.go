// Package suite runs experiments, which compare several variants under the same load, one run after the other and
// repeatedly.
//
// model.go describes an experiment, run.go runs it and table.go summarizes its results.
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
	// Name heads the table, and About says in a sentence what is compared.
	Name  string `json:"name"`
	About string `json:"about"`
	// Services and Contracts are published at the start. Callers use the daemons of the first service.
	Services  []deploy.ExperimentService `json:"services"`
	Contracts []model.Contract           `json:"contracts"`
	// Streams are the load of each variant, unless the variant changes it.
	Streams []loader.Stream `json:"streams"`
	// Ms is how long load is sent, in milliseconds.
	Ms int `json:"ms"`
	// FromMs and ToMs bound the measurement window, in milliseconds since the start of the load: only requests whose
	// intended send time is in it count. ToMs may be 0 for the end of the load.
	FromMs int `json:"from_ms"`
	ToMs   int `json:"to_ms"`
	// Faults happen in every variant that is not Healthy.
	Faults []Fault `json:"faults,omitempty"`
	// Variants are compared; the first one is the baseline.
	Variants []Variant `json:"variants"`
}

// Variant is one row of the comparison.
type Variant struct {
	// Name is unique in the experiment.
	Name string `json:"name"`
	// Flags are passed to every daemon.
	Flags []string `json:"flags,omitempty"`
	// Scale multiplies all rates; zero means 1.
	Scale float64 `json:"scale,omitempty"`
	// Healthy omits the faults of the experiment.
	Healthy bool `json:"healthy,omitempty"`
	// Without is the name of a class whose streams are omitted.
	Without string `json:"without,omitempty"`
	// OneClass publishes all routes as short, so that short and long work share one queue.
	OneClass bool `json:"one_class,omitempty"`
}

// Fault changes one upstream of the first service.
type Fault struct {
	// AtMs is the time since the start of the load, in milliseconds.
	AtMs int `json:"at_ms"`
	// Upstream is an index among the upstreams of the first service.
	Upstream int `json:"upstream"`
	// Change is sent to the upstream's control address.
	Change stub.Change `json:"change"`
}

// Parse reads and checks an experiment; unknown fields are an error.
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
