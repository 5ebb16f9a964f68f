package deploy

import (
	"fmt"

	"comfreytack/cftlab/stub"
	"comfreytack/core/model"
	"comfreytack/core/setup"
)

const (
	experimentSlots       = 10
	experimentConnections = 250
	experimentStopMs      = 5000
)

// ExperimentService is a service of an experiment.
type ExperimentService struct {
	// Name must not be empty.
	Name model.ServiceName `json:"name"`
	// Upstreams is the number of upstreams, each in a failure domain of its own; positive.
	Upstreams int `json:"upstreams"`
	// Routes are the routes of the published service.
	Routes []model.Route `json:"routes,omitempty"`
}

// ForExperiment returns a deployment for an experiment. Its Plan is empty: the load is part of the experiment.
func ForExperiment(services []ExperimentService, contracts []model.Contract) Deployment {
	deployment := Deployment{
		Contracts: contracts,
		Daemon:    setup.Settings{StopMs: experimentStopMs, Log: setup.Log{Format: "text", Level: "warn"}},
	}
	for _, wanted := range services {
		service := model.Service{
			Name:        wanted.Name,
			Slots:       experimentSlots,
			Connections: experimentConnections,
			ShedStatus:  stub.StatusShed,
			Routes:      wanted.Routes,
		}
		for number := 1; number <= wanted.Upstreams; number++ {
			service.Upstreams = append(service.Upstreams, model.Upstream{
				Name:          model.UpstreamName(fmt.Sprintf("%s-%d", wanted.Name, number)),
				Incarnation:   1,
				Service:       wanted.Name,
				Region:        "lab",
				FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", number)),
			})
		}
		deployment.Services = append(deployment.Services, service)
	}
	return deployment
}
