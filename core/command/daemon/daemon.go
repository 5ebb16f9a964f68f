// Package daemon is the control state of one daemon: it hands each event to the command package
// that it concerns and builds the snapshot that traffic reads.
package daemon

import (
	"maps"
	"time"

	mapset "github.com/deckarep/golang-set/v2"

	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

// Event is something that the control goroutine is told.
type Event interface{ event() }

// ChangesRead tells of changes that the platform or a peer published.
type ChangesRead struct {
	// Revision is the newest revision that the source knows.
	Revision model.Revision
	// Contracts and Services are new values.
	Contracts []model.Contract
	Services  []model.Service
}

func (ChangesRead) event() {}

// StopAsked tells that the daemon has to stop.
type StopAsked struct{}

func (StopAsked) event() {}

// Effect is something that the daemon has to do outside its control state.
type Effect interface{ effect() }

// State is the control state. Only the control goroutine touches it.
type State struct {
	// Self is the upstream that the daemon stands beside.
	Self model.Upstream

	view model.Snapshot
}

// New returns the state of a daemon that has learnt nothing yet.
func New(self model.Upstream) *State {
	return &State{Self: self, view: model.Snapshot{
		Self:      self,
		Contracts: map[model.Customer]model.Contract{},
		Limits:    map[model.Customer]model.Limits{},
		Services:  map[model.ServiceName]model.Service{},
		Leaving:   mapset.NewThreadUnsafeSet[model.UpstreamName](),
	}}
}

// Apply implements loop.Machine.
func (s *State) Apply(_ time.Time, event Event) []Effect {
	switch e := event.(type) {
	case ChangesRead:
		s.changesRead(e)
	case StopAsked:
		s.view.Stopping = true
	}
	return nil
}

// Beat implements loop.Machine.
func (s *State) Beat(time.Time, time.Duration) []Effect {
	return nil
}

// Snapshot implements loop.Machine.
func (s *State) Snapshot(now time.Time) *model.Snapshot {
	view := s.view
	view.BeatAt = now
	return &view
}

func (s *State) changesRead(e ChangesRead) {
	contracts := maps.Clone(s.view.Contracts)
	for _, contract := range e.Contracts {
		contracts[contract.Customer] = contract
	}
	services := maps.Clone(s.view.Services)
	for _, service := range e.Services {
		services[service.Name] = service
	}
	s.view.Contracts = contracts
	s.view.Services = services
	s.view.Limits = limits.Of(contracts, services[s.Self.Service].Slots)
	s.view.Revision = max(s.view.Revision, e.Revision)
	s.view.Ready = true
}
