package model

import (
	"time"

	mapset "github.com/deckarep/golang-set/v2"
)

// Snapshot is the part of the control state that traffic goroutines may read.
// The control goroutine builds a new one for each change; a published snapshot is never modified.
type Snapshot struct {
	// Self is the daemon's local upstream: the one instance that the daemon serves. Its Instance is empty while none is
	// listed.
	Self Upstream
	// Revision is that of the newest configuration in force; it never decreases while the daemon runs.
	Revision Revision
	// Contracts has the contracts in force by customer.
	Contracts map[Customer]Contract
	// Limits has the limits at this daemon's gate by customer; it has the same keys as Contracts.
	Limits map[Customer]Limits
	// Routes has the routes of the document in force by host, longest prefix first.
	Routes map[string][]HostRoute
	// Document is the version of the document in force; zero when there is none.
	Document uint64
	// Intake limits what callers may send; its zero value sets no limit.
	Intake Intake
	// Slots is how many requests the local upstream handles at once; zero when unknown.
	Slots int
	// Services has the services that this daemon calls, and that of its local upstream.
	Services map[ServiceName]Service
	// Leaving has the upstreams that accept no new work, according to any source.
	Leaving mapset.Set[UpstreamName]
	// Evacuated has the failure domains whose upstreams take no new work until an operator takes them back; nil means
	// none.
	Evacuated mapset.Set[FailureDomain]
	// Open has the upstreams of each service that are outside evacuated failure domains; nil means all of Services. A
	// slice in it is replaced, never modified.
	Open map[ServiceName][]Upstream
	// Quarantine maps fingerprints of requests that crash upstreams to the end of their quarantine, until which such
	// requests are refused.
	Quarantine map[Fingerprint]time.Time
	// Refusals explains by key why the newest published value is not in force; an older one may be.
	Refusals map[string]Refusal
	// Ready is false until the daemon has received a configuration that it may trust.
	Ready bool
	// Suspect is true after a pause of the daemon, until a peer has confirmed its state or pause.MaxSuspicion has
	// passed.
	Suspect bool
	// Stopping is true once the daemon has been asked to stop.
	Stopping bool
	// PublishedAt is when the control goroutine published this snapshot; an old one indicates that the daemon was
	// paused.
	PublishedAt time.Time
	// Suspended is how long the machine had been suspended between the daemon's start and PublishedAt, whose clock does
	// not count suspensions.
	Suspended time.Duration
}

// IsEvacuated reports whether the upstreams of a failure domain take no new work.
func (s *Snapshot) IsEvacuated(domain FailureDomain) bool {
	return s.Evacuated != nil && s.Evacuated.Contains(domain)
}

// OpenUpstreams returns the upstreams of a service that are outside evacuated failure domains.
func (s *Snapshot) OpenUpstreams(service ServiceName) []Upstream {
	if s.Open == nil {
		return s.Services[service].Upstreams
	}
	return s.Open[service]
}

// Limits are the limits of one customer at one gate. They are derived from the contracts alone.
type Limits struct {
	// Guaranteed is the customer's share of the gate's slots, in thousandths of a slot; 0 for Background.
	// Over all customers it sums to at most 1000 times the gate's slots.
	Guaranteed int `json:"guaranteed_millislots"`
	// Weight orders customers in the gate's queue; at least 1.
	Weight int `json:"weight"`
	// Queue limits the customer's waiting requests at the gate; at least 1.
	Queue int `json:"queue"`
	// LongSlots limits the slots that all long work at the gate may use; at least 1.
	LongSlots int `json:"long_slots"`
	// RetryPercent limits retries as a percentage of the customer's first attempts.
	RetryPercent int `json:"retry_percent"`
	// Deadline is how long a short call may take when it names no shorter time.
	Deadline time.Duration `json:"deadline_ns"`
	// Longest is how long a long call may run.
	Longest time.Duration `json:"longest_ns"`
}
