package model

import (
	"time"

	mapset "github.com/deckarep/golang-set/v2"
)

// Snapshot is everything that traffic goroutines may read of the control state.
// The control goroutine builds a new one for each change; nobody writes to one that is published.
type Snapshot struct {
	// Self is the upstream that this daemon stands beside. Its Instance is empty while none is listed.
	Self Upstream
	// Revision is the newest configuration in force; it never falls during the daemon's life.
	Revision Revision
	// Contracts has the contracts in force by customer.
	Contracts map[Customer]Contract
	// Limits has the limits at this daemon's gate by customer; it has the same keys as Contracts.
	Limits map[Customer]Limits
	// Routes has the routes of the document in force by host, those with the longest prefix first.
	Routes map[string][]HostRoute
	// Document is the version of the document in force; zero when there is none.
	Document uint64
	// Intake bounds what callers may send; its zero value sets no bound.
	Intake Intake
	// Slots is how many requests the upstream beside this daemon works on at once; zero when unknown.
	Slots int
	// Services has the services that this daemon calls, and its own.
	Services map[ServiceName]Service
	// Leaving names upstreams that take no new work, from any of the sources.
	Leaving mapset.Set[UpstreamName]
	// Quarantine maps fingerprints of requests that crash upstreams to the end of their quarantine.
	Quarantine map[Fingerprint]time.Time
	// Refusals says by key why the newest published value is not in force; an older one may be.
	Refusals map[string]Refusal
	// Ready is false until the daemon has learnt a configuration it may trust.
	Ready bool
	// Suspect is true after a pause, until marks and revision have been re-read.
	Suspect bool
	// Stopping is true once the daemon was told to stop.
	Stopping bool
	// PublishedAt is when the control goroutine published this snapshot; an old one shows a pause.
	PublishedAt time.Time
	// Slept is how long the machine had been suspended by then since the daemon's start; BeatAt does not count it.
	Slept time.Duration
}

// Limits are what one gate grants one customer. They follow from the contracts alone.
type Limits struct {
	// Guaranteed is the customer's share of the gate's slots, in thousandths of a slot; 0 for Background.
	// Over all customers it sums to at most 1000 times the gate's slots.
	Guaranteed int `json:"guaranteed_millislots"`
	// Weight orders customers in the gate's queue; at least 1.
	Weight int `json:"weight"`
	// Queue bounds the customer's waiting requests at the gate; at least 1.
	Queue int `json:"queue"`
	// LongSlots bounds the slots that all long work of the gate may hold; at least 1.
	LongSlots int `json:"long_slots"`
	// RetryPercent bounds retries as a share of the customer's first attempts, in percent.
	RetryPercent int `json:"retry_percent"`
	// Deadline applies to short calls that name no shorter one.
	Deadline time.Duration `json:"deadline_ns"`
	// Longest applies to long calls.
	Longest time.Duration `json:"longest_ns"`
}
