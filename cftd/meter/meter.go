// Package meter holds the daemon's metrics.
package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"comfreytack/core/model"
)

// callBuckets are upper bounds in seconds. They range from a short lookup to a settlement, which takes longest.
var callBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60}

// Meter has one field for each metric family.
type Meter struct {
	// Registry gathers every family below.
	Registry *prometheus.Registry
	// Calls is the time from a call's arrival at the entry to the end of its answer, in seconds.
	Calls *prometheus.HistogramVec
	// Waits is the time that a request waited at the gate, in seconds.
	Waits *prometheus.HistogramVec
	// Failures counts calls that ended without an answer, by the verdict and reason that the caller received instead.
	Failures *prometheus.CounterVec
	// Attempts counts the attempts that the entry sent to gates.
	Attempts *prometheus.CounterVec
	// Probes counts the requests to other daemons' gates for their load.
	Probes prometheus.Counter
	// Sends counts the sends of keys at their home by the action: run, join, replay (a re-send answered from
	// memory) or refuse.
	Sends *prometheus.CounterVec
	// Decisions counts the gate's decisions by reason; the reason is "none" for calls that it admitted.
	Decisions *prometheus.CounterVec
	// Truncated counts answers that ended before their framing said so.
	Truncated *prometheus.CounterVec
	// Refused counts the requests and connections that were refused or closed before a call began, by port and reason.
	Refused *prometheus.CounterVec
}

// New returns a meter with all its metric families registered.
func New() *Meter {
	m := &Meter{
		Registry: prometheus.NewRegistry(),
		Calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "comfreytack_call_seconds", Help: "Time from arrival at the entry to the end of the answer.", Buckets: callBuckets,
		}, []string{"customer", "class"}),
		Waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "comfreytack_gate_wait_seconds", Help: "Time that a request waited for a slot of the gate.", Buckets: callBuckets,
		}, []string{"customer", "class"}),
		Failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreytack_failures_total", Help: "Calls that ended without an answer.",
		}, []string{"customer", "class", "verdict", "reason"}),
		Attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreytack_attempts_total", Help: "Attempts sent to gates, by service.",
		}, []string{"service"}),
		Probes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "comfreytack_asks_total", Help: "Questions to other daemons' gates for their load.",
		}),
		Sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreytack_key_sends_total", Help: "Sends of idempotency keys at their home, by what was done.",
		}, []string{"customer", "action"}),
		Decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreytack_gate_decisions_total", Help: "Decisions of the gate, by reason; none for admitted calls.",
		}, []string{"customer", "reason"}),
		Truncated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreytack_truncated_answers_total", Help: "Answers that ended before their framing said so.",
		}, []string{"customer", "service"}),
		Refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "comfreytack_intake_refused_total", Help: "Requests and connections refused or closed before a call began, by reason.",
		}, []string{"port", "reason"}),
	}
	m.Registry.MustRegister(m.Calls, m.Waits, m.Failures, m.Attempts, m.Probes, m.Sends, m.Decisions, m.Truncated, m.Refused,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// unknownCustomer is the label of all customers without a contract. Callers can invent any number of names, and each
// label value would be a time series of its own.
const unknownCustomer = "unknown"

// Call records a call that has ended at the entry. The failure is nil if there was an answer; contracted says whether
// the customer has a contract.
func (m *Meter) Call(call model.Call, contracted bool, took time.Duration, failure *model.Failure) {
	class := call.Class.String()
	customer := unknownCustomer
	if contracted {
		customer = string(call.Customer)
	}
	m.Calls.WithLabelValues(customer, class).Observe(took.Seconds())
	if failure != nil {
		m.Failures.WithLabelValues(customer, class, failure.Verdict.String(), failure.Reason.String()).Inc()
	}
}

// Watch registers a counter whose value is read by the function whenever metrics are gathered.
func (m *Meter) Watch(name, help string, read func() uint64) {
	options := prometheus.CounterOpts{Name: name, Help: help}
	m.Registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(read()) }))
}

// WatchLevel registers a gauge whose value is read by the function whenever metrics are gathered.
func (m *Meter) WatchLevel(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Wait records how long a request waited at the gate.
func (m *Meter) Wait(call model.Call, waited time.Duration) {
	m.Waits.WithLabelValues(string(call.Customer), call.Class.String()).Observe(waited.Seconds())
}

// Decision records the gate's decision for a call; the reason is NoReason when the call was admitted.
func (m *Meter) Decision(call model.Call, reason model.Reason) {
	m.Decisions.WithLabelValues(string(call.Customer), reason.String()).Inc()
}

// Send records the action that the home of a key took for one send.
func (m *Meter) Send(call model.Call, action string) {
	m.Sends.WithLabelValues(string(call.Customer), action).Inc()
}

// TruncatedAnswer counts an answer that ended before its framing said so.
func (m *Meter) TruncatedAnswer(call model.Call) {
	m.Truncated.WithLabelValues(string(call.Customer), string(call.Service)).Inc()
}
