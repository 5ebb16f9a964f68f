// Package gate runs calls on the upstream beside this daemon.
package gate

import (
	"context"
	"net/http"
	"time"

	"comfreytack/cftd/meter"
	"comfreytack/cftd/relay"
	"comfreytack/core/command/admit"
	"comfreytack/core/model"
	"comfreytack/core/traffic/hold"
	"comfreytack/core/wire"
)

// Settings has the explicit dependencies of a gate.
type Settings struct {
	// Upstream is the address of the upstream beside the daemon.
	Upstream model.Address
	// Transport holds the connections to the upstream.
	Transport *http.Transport
	// Snapshot returns the control state.
	Snapshot func() *model.Snapshot
	// Now reads the clock, with its monotonic part.
	Now func() time.Time
	// Meter records waits.
	Meter *meter.Meter
}

// Gate runs calls.
type Gate[D admit.Discipline] struct {
	settings Settings
	hold     *hold.Gate[D]
}

// New returns a gate.
func New[D admit.Discipline](settings Settings, hold *hold.Gate[D]) *Gate[D] {
	return &Gate[D]{settings: settings, hold: hold}
}

// Run waits for a slot and sends the request to the upstream. Closing the answer's body frees the slot.
func (g *Gate[D]) Run(ctx context.Context, call model.Call, request relay.Request) (*http.Response, *model.Failure) {
	slot, failure := g.hold.Enter(ctx, call)
	if failure != nil {
		return nil, failure
	}
	g.settings.Meter.Wait(call, slot.Waited)
	request.Address = g.settings.Upstream
	wire.DropOwn(request.Header)
	wire.PutUpstream(request.Header, call, g.settings.Now())
	answer, failure := relay.Trip(ctx, g.settings.Transport, request, model.UpstreamDied)
	if failure != nil {
		slot.Release()
		return nil, failure
	}
	if g.shed(call, answer) {
		_ = answer.Body.Close()
		slot.Release()
		return nil, &model.Failure{Verdict: model.NotRun, Reason: model.UpstreamShed}
	}
	wire.DropOwn(answer.Header)
	answer.Body = relay.OnClose(answer.Body, slot.Release)
	return answer, nil
}

// Report describes the gate's load.
func (g *Gate[D]) Report() model.GateReport {
	return g.hold.Report()
}

// shed says whether the answer is the status by which the service promises that it did no work.
func (g *Gate[D]) shed(call model.Call, answer *http.Response) bool {
	status := g.settings.Snapshot().Services[call.Service].ShedStatus
	return status != 0 && answer.StatusCode == status
}
