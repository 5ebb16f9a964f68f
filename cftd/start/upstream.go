package start

import (
	"log/slog"
	"time"

	"comfreytack/cftd/meter"
	"comfreytack/cftd/relay"
	"comfreytack/core/command/warm"
	"comfreytack/core/field"
	"comfreytack/core/model"
)

// upstreamWatch passes on what the control state says of the local upstream, and logs when it becomes cold or warm. Only
// the control goroutine uses it.
type upstreamWatch struct {
	address model.Address
	warmth  *warm.Limiter
	// refuseWaiting refuses the calls that wait for the upstream.
	refuseWaiting func(model.Reason)
	now           func() time.Time
	log           *slog.Logger
	// cold is what was logged last.
	cold bool
}

// down reports whether the upstream's process does not run. It may be called by any goroutine.
func (w *upstreamWatch) down() bool {
	askedAt := w.now()
	refuses := relay.RefusesConnections(w.address)
	if refuses {
		w.warmth.Gone(askedAt)
	}
	return refuses
}

// changed handles a new snapshot.
func (w *upstreamWatch) changed(before, after *model.Snapshot) {
	now := w.now()
	w.warmth.Listed(now, after.Self, after.Services[after.Self.Service])
	if domain := after.Self.FailureDomain; after.IsEvacuated(domain) && !before.IsEvacuated(domain) {
		w.refuseWaiting(model.DomainEvacuated)
	}
	w.logWarmth(w.warmth.State(now), after)
}

// registerMetrics exports how much longer the upstream is cold, and how many failure domains are evacuated.
func (w *upstreamWatch) registerMetrics(m *meter.Meter, snapshot func() *model.Snapshot) {
	m.WatchLevel("comfreytack_upstream_cold_seconds", "How much longer the upstream is cold.", func() float64 {
		return w.warmth.State(w.now()).Left.Seconds()
	})
	m.WatchLevel("comfreytack_evacuated_failure_domains", "Failure domains that are evacuated.", func() float64 {
		if evacuated := snapshot().Evacuated; evacuated != nil {
			return float64(evacuated.Cardinality())
		}
		return 0
	})
}

func (w *upstreamWatch) logWarmth(state warm.State, snapshot *model.Snapshot) {
	cold := state.Left > 0
	if cold == w.cold {
		return
	}
	w.cold = cold
	message := "upstream_warm"
	if cold {
		message = "upstream_cold"
	}
	w.log.Warn(message, field.Revision, snapshot.Revision, field.Upstream, snapshot.Self.Name, field.Instance, snapshot.Self.Instance,
		field.WarmupLeftMs, state.Left.Milliseconds())
}
