package start

import (
	"cmp"
	"log/slog"
	"net/http"
	"time"

	"comfreytack/cftd/entry"
	"comfreytack/cftd/intake"
	"comfreytack/cftd/meter"
	"comfreytack/cftd/talk"
	"comfreytack/core/setup"
)

const (
	// These apply unless the document in force sets others for callers.
	maxHeadBytes = 64 << 10
	headTimeout  = 5 * time.Second
	idleTimeout  = 2 * time.Minute
	// A call between daemons has the caller's head, written in full, and the call.
	gateHeadFactor = 2
	gateHeadBytes  = 16 << 10
)

// newBudget returns a budget for a part of the process's memory and descriptors.
func newBudget(settings setup.Settings, metrics *meter.Meter, log *slog.Logger) *intake.Budget {
	limits := settings.Limits.OrDefault()
	budget := intake.NewBudget(intake.BudgetSettings{
		Bytes: limits.ConnectionBytes(),
		Conns: limits.Connections(),
		Now:   time.Now,
		Count: func(port, reason string) { metrics.Refused.WithLabelValues(port, reason).Inc() },
		Log:   log,
	})
	metrics.WatchLevel("comfreytack_intake_bytes", "Estimated memory held by accepted connections.", func() float64 {
		bytes, _ := budget.Used()
		return float64(bytes)
	})
	metrics.WatchLevel("comfreytack_intake_connections", "Accepted connections.", func() float64 {
		_, conns := budget.Used()
		return float64(conns)
	})
	return budget
}

// newServers returns the servers of the callers', the gate's and the operators' port, in this order.
func newServers[D talk.Dialect](deps dependencies[D], callers *entry.Entry[D], gate, operators http.Handler) []*intake.Server {
	return []*intake.Server{callersServer(deps, callers), gateServer(deps, gate), operatorsServer(deps, operators)}
}

// callersServer returns the server of the callers' port.
func callersServer[D talk.Dialect](deps dependencies[D], callers *entry.Entry[D]) *intake.Server {
	return intake.New(intake.Settings{
		Port:    "callers",
		Handler: callers.Handler(),
		Ahead:   callers.RunsAhead,
		Limits: func() intake.Limits {
			inForce := deps.control.Snapshot().Intake
			return intake.Limits{
				HeadBytes: cmp.Or(inForce.MaxHeadBytes, maxHeadBytes),
				Head:      cmp.Or(milliseconds(inForce.HeadTimeoutMs), headTimeout),
				Idle:      cmp.Or(milliseconds(inForce.IdleTimeoutMs), idleTimeout),
			}
		},
		Closing: deps.stopper.lameDuck.Load,
		Budget:  deps.budget,
		Log:     deps.log,
	})
}

// gateServer returns the server of the port for other daemons' calls.
func gateServer[D talk.Dialect](deps dependencies[D], handler http.Handler) *intake.Server {
	return intake.New(intake.Settings{
		Port:    "gate",
		Handler: handler,
		Limits: func() intake.Limits {
			callers := cmp.Or(deps.control.Snapshot().Intake.MaxHeadBytes, maxHeadBytes)
			return intake.Limits{HeadBytes: gateHeadFactor*callers + gateHeadBytes, Head: headTimeout, Idle: idleTimeout}
		},
		Closing: deps.stopper.refusing.Load,
		Budget:  deps.budget,
		Log:     deps.log,
	})
}

// operatorsServer returns the server of the operators' port.
func operatorsServer[D talk.Dialect](deps dependencies[D], handler http.Handler) *intake.Server {
	return intake.New(intake.Settings{
		Port:    "operators",
		Handler: handler,
		Limits: func() intake.Limits {
			return intake.Limits{HeadBytes: maxHeadBytes, Head: headTimeout, Idle: idleTimeout}
		},
		Budget: deps.budget,
		Log:    deps.log,
	})
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
