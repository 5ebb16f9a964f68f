// Package deploy reads the example deployments and assigns their processes addresses on one machine.
package deploy

import (
	"encoding/json"
	"io/fs"
	"maps"
	"path"
	"slices"

	"github.com/pkg/errors"

	"comfreytack/cftlab/loader"
	"comfreytack/core/model"
	"comfreytack/core/setup"
)

// Deployment is the content of a deployment's folder.
type Deployment struct {
	// Contracts and Services are the initial documents of the platform, ordered by file name.
	Contracts []model.Contract
	Services  []model.Service
	// Daemon has the settings that all daemons share. Place replaces names and addresses for each daemon.
	Daemon setup.Settings
	// Plan is the load of the demo and of the runs with faults.
	Plan loader.Plan
}

// Load reads the folder of a deployment, for example deployments/quito.
func Load(folder fs.FS) (Deployment, error) {
	var deployment Deployment
	var err error
	if deployment.Contracts, err = readAll[model.Contract](folder, "keys/contracts"); err != nil {
		return Deployment{}, err
	}
	if deployment.Services, err = readAll[model.Service](folder, "keys/services"); err != nil {
		return Deployment{}, err
	}
	settings, err := fs.ReadFile(folder, "daemon.json")
	if err != nil {
		return Deployment{}, errors.WithStack(err)
	}
	if deployment.Daemon, err = setup.Parse("daemon.json", settings); err != nil {
		return Deployment{}, err
	}
	file, err := folder.Open("load.json")
	if err != nil {
		return Deployment{}, errors.WithStack(err)
	}
	defer file.Close()
	deployment.Plan, err = loader.Parse(file)
	return deployment, err
}

// readAll decodes the JSON files of a folder, ordered by file name.
func readAll[T any](folder fs.FS, name string) ([]T, error) {
	files, err := fs.Glob(folder, path.Join(name, "*.json"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	values := []T{}
	for _, file := range files {
		data, err := fs.ReadFile(folder, file)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		var value T
		if err := json.Unmarshal(data, &value); err != nil {
			return nil, errors.Wrap(err, file)
		}
		values = append(values, value)
	}
	return values, nil
}

// Site is a deployment with the addresses of its processes on one machine.
type Site struct {
	// Platform is the address at which daemons read, and PlatformControl the one at which cftlab changes keys and faults.
	Platform        model.Address
	PlatformControl model.Address
	// PlatformLink is the link from the daemons to the platform; empty in a site without links.
	PlatformLink Link
	// Keys has the platform's initial documents, by key.
	Keys map[string]any
	// Nodes has one entry for each upstream, ordered by service.
	Nodes []Node
}

// Node is one upstream and its daemon.
type Node struct {
	// Daemon has the settings of the daemon, with the upstream's name and address.
	Daemon setup.Settings
	// Control is the address at which cftlab changes the faults of the fake upstream.
	Control model.Address
	// GateLink is the link from other daemons to the gate, and UpstreamLink the one from the daemon to its upstream. Both
	// are empty in a site without links.
	GateLink, UpstreamLink Link
	// Slots and Connections are the limits that the service sets for each of its upstreams.
	Slots       int
	Connections int
}

const maxSeeds = 3

// Place assigns addresses to every process; next returns an unused one.
func (d Deployment) Place(next func() model.Address) Site {
	site := Site{Platform: next(), PlatformControl: next(), Keys: map[string]any{}}
	for _, contract := range d.Contracts {
		site.Keys["contracts/"+string(contract.Customer)] = contract
	}
	calls := []model.ServiceName{}
	for _, service := range d.Services {
		calls = append(calls, service.Name)
		service.Upstreams = slices.Clone(service.Upstreams)
		for index := range service.Upstreams {
			upstream := &service.Upstreams[index]
			upstream.Gate, upstream.Peer = next(), next()
			site.Nodes = append(site.Nodes, d.newNode(site, service, *upstream, next))
		}
		site.Keys["services/"+string(service.Name)] = service
	}
	for index := range site.Nodes {
		site.Nodes[index].Daemon.Calls = calls
		site.Nodes[index].Daemon.Seeds = seeds(site.Nodes, index)
	}
	return site
}

func (d Deployment) newNode(site Site, service model.Service, upstream model.Upstream, next func() model.Address) Node {
	settings := d.Daemon
	settings.Name = upstream.Name
	settings.Service = service.Name
	settings.Region = upstream.Region
	settings.FailureDomain = upstream.FailureDomain
	settings.Callers = next()
	settings.Gate = upstream.Gate
	settings.Peer = upstream.Peer
	settings.Operators = next()
	settings.Upstream = next()
	settings.Platform = []model.Address{site.Platform}
	return Node{Daemon: settings, Control: next(), Slots: service.Slots, Connections: service.Connections}
}

// seeds returns the peer addresses of the first daemons other than the one at index self.
func seeds(nodes []Node, self int) []model.Address {
	addresses := []model.Address{}
	for index, node := range nodes {
		if index != self && len(addresses) < maxSeeds {
			addresses = append(addresses, node.Daemon.Peer)
		}
	}
	return addresses
}

// Callers returns the addresses at which the daemons accept callers, one for each daemon.
func (s Site) Callers() []string {
	addresses := []string{}
	for _, node := range s.Nodes {
		addresses = append(addresses, string(node.Daemon.Callers))
	}
	return addresses
}

// NodesOf returns the nodes of one service.
func (s Site) NodesOf(service model.ServiceName) []Node {
	nodes := []Node{}
	for _, node := range s.Nodes {
		if node.Daemon.Service == service {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// KeyNames returns the platform's keys in ascending order.
func (s Site) KeyNames() []string {
	return slices.Sorted(maps.Keys(s.Keys))
}
