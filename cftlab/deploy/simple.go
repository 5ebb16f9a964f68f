package deploy

import (
	"fmt"

	"comfreytack/cftlab/stub"
	"comfreytack/core/model"
	"comfreytack/core/setup"
)

const (
	simpleSlots       = 10
	simpleConnections = 250
	simpleStopMs      = 5000
)

// SimpleService is a service of an experiment.
type SimpleService struct {
	// Name is not empty.
	Name model.ServiceName `json:"name"`
	// Upstreams is the number of instances, each in a failure domain of its own; positive.
	Upstreams int `json:"upstreams"`
	// Routes are those of the published service.
	Routes []model.Route `json:"routes,omitempty"`
}

// Simple returns a deployment for an experiment, without a load.
func Simple(services []SimpleService, contracts []model.Contract) Deployment {
	deployment := Deployment{
		Contracts: contracts,
		Daemon:    setup.Settings{StopMs: simpleStopMs, Log: setup.Log{Format: "text", Level: "warn"}},
	}
	for _, simple := range services {
		service := model.Service{
			Name:        simple.Name,
			Slots:       simpleSlots,
			Connections: simpleConnections,
			ShedStatus:  stub.StatusShed,
			Routes:      simple.Routes,
		}
		for number := 1; number <= simple.Upstreams; number++ {
			service.Upstreams = append(service.Upstreams, model.Upstream{
				Name:          model.UpstreamName(fmt.Sprintf("%s-%d", simple.Name, number)),
				Incarnation:   1,
				Service:       simple.Name,
				Region:        "lab",
				FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", number)),
			})
		}
		deployment.Services = append(deployment.Services, service)
	}
	return deployment
}
