// Package asks refreshes what this daemon knows of idle gates.
package asks

import (
	"context"
	"net/http"
	"time"

	"comfreytack/cftd/meter"
	"comfreytack/core/command/load"
	"comfreytack/core/command/probe"
	"comfreytack/core/model"
	"comfreytack/core/wire"
)

const (
	// every is the time between two looks at the budget.
	every = 100 * time.Millisecond
	// askTimeout bounds one question; a later answer would be worth little.
	askTimeout = 250 * time.Millisecond
)

// Settings has the explicit dependencies of an asker.
type Settings struct {
	// Self is the upstream beside this daemon; its gate needs no question.
	Self model.UpstreamName
	// Budget grants the questions.
	Budget *probe.Budget
	// Book keeps the answers.
	Book *load.Book
	// Transport holds the connections to other daemons' gates.
	Transport *http.Transport
	// Snapshot returns the control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Meter counts the questions.
	Meter *meter.Meter
}

// Asker asks gates.
type Asker struct {
	settings Settings
	// swept is the configuration at which services that are called no more were last forgotten.
	swept model.Revision
}

// New returns an asker.
func New(settings Settings) *Asker {
	return &Asker{settings: settings}
}

// Run asks, one gate at a time, until ctx ends.
func (a *Asker) Run(ctx context.Context) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.sweep()
			a.spend(ctx)
		}
	}
}

// sweep forgets the upstreams of services that this daemon does not call any more.
func (a *Asker) sweep() {
	snapshot := a.settings.Snapshot()
	if snapshot.Revision == a.swept {
		return
	}
	a.swept = snapshot.Revision
	a.settings.Book.Retain(func(service model.ServiceName) bool {
		_, called := snapshot.Services[service]
		return called
	})
}

// spend asks as many gates as the budget grants now.
func (a *Asker) spend(ctx context.Context) {
	addresses := a.members()
	for ctx.Err() == nil {
		upstream, granted := a.settings.Budget.Next(a.settings.Now())
		if !granted {
			return
		}
		a.settings.Meter.Asked.Inc()
		a.ask(ctx, addresses[upstream])
	}
}

// members tells the budget whom it may choose from, and returns where their gates are.
func (a *Asker) members() map[model.UpstreamName]model.Address {
	addresses := map[model.UpstreamName]model.Address{}
	var names []model.UpstreamName
	for _, upstream := range a.settings.Book.Upstreams() {
		if upstream.Name != a.settings.Self {
			addresses[upstream.Name] = upstream.Gate
			names = append(names, upstream.Name)
		}
	}
	a.settings.Budget.SetUpstreams(names)
	return addresses
}

func (a *Asker) ask(ctx context.Context, address model.Address) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+"/", nil)
	if err != nil {
		return
	}
	request.Header.Set(wire.HeaderAsk, "1")
	answer, err := a.settings.Transport.RoundTrip(request)
	if err != nil {
		return
	}
	_ = answer.Body.Close()
	if report, known := wire.ReadReport(answer.Header); known {
		now := a.settings.Now()
		a.settings.Book.Reported(now, report)
		a.settings.Budget.ReportReceived(now, report.Upstream)
	}
}
