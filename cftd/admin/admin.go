// Package admin serves the operators' port.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"comfreytack/cftd/meter"
	"comfreytack/core/model"
	"comfreytack/core/query/status"
)

// Settings has the explicit dependencies of the operators' port.
type Settings struct {
	// Snapshot returns the control state.
	Snapshot func() *model.Snapshot
	// LameDuck reports whether the daemon has been asked to stop, so that callers have to turn elsewhere, though it still
	// serves those who have not.
	LameDuck func() bool
	// Report returns the load of the gate.
	Report func() model.GateReport
	// Meter has the metrics that /metrics serves.
	Meter *meter.Meter
	// Version is the program's version.
	Version string
}

// view returns the control state as operators and callers have to see it: a lame duck is stopping.
func (s Settings) view() *model.Snapshot {
	view := *s.Snapshot()
	view.Stopping = view.Stopping || s.LameDuck()
	return &view
}

// Handler serves /metrics, /status, /ready and the profiles below /debug.
func Handler(settings Settings) http.Handler {
	router := chi.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(settings.Meter.Registry, promhttp.HandlerOpts{}))
	router.Mount("/debug", middleware.Profiler())
	router.Get("/status", func(w http.ResponseWriter, _ *http.Request) {
		view := status.Of(settings.view(), settings.Report(), settings.Version)
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(view)
	})
	router.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := status.Ready(settings.view())
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(reason + "\n"))
	})
	return router
}
