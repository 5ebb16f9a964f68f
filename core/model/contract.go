package model

// Contract is what an operator configures for one customer. Every limit of that customer is derived from it.
type Contract struct {
	// Customer is not empty and is unique among the contracts in force.
	Customer Customer `json:"customer"`
	// Weight is the customer's share relative to that of other customers; from 1 to 1000.
	Weight int `json:"weight"`
	// Tier is "standard" or "background".
	Tier Tier `json:"tier"`
	// DeadlineMs limits how long a call may take when the caller sets no shorter time; from 1 to 600000, in ms.
	DeadlineMs int `json:"deadline_ms"`
	// LongestMs limits how long one request of class Long may run; at least DeadlineMs, in ms.
	LongestMs int `json:"longest_ms"`
}

// Route defines how matching requests are treated.
type Route struct {
	// Method is an HTTP method, or empty for every method.
	Method string `json:"method,omitempty"`
	// PathPrefix starts with a slash.
	PathPrefix string `json:"path_prefix"`
	// Class is "short" or "long".
	Class Class `json:"class"`
	// Idempotent marks requests that may run more than once; GET, HEAD, OPTIONS and TRACE always may.
	Idempotent bool `json:"idempotent,omitempty"`
}

// Service is a published service and its upstream instances.
type Service struct {
	// Name is not empty.
	Name ServiceName `json:"name"`
	// Slots is how many requests one upstream handles at once; from 1 to 1000.
	Slots int `json:"slots"`
	// Connections is the total number of connections that one upstream accepts; at least Slots.
	Connections int `json:"connections"`
	// HealthPath is the path at which an upstream reports its load; empty when it has none.
	HealthPath string `json:"health_path,omitempty"`
	// WarmupPerS is how many requests a second an upstream tolerates while it is cold; zero when the service sets no such
	// limit.
	WarmupPerS float64 `json:"warmup_per_s,omitzero"`
	// WarmupMs is how long an upstream is cold after its start, in ms.
	WarmupMs int `json:"warmup_ms,omitzero"`
	// ShedStatus is the HTTP status with which upstreams refuse a request before any work, and which they use for
	// nothing else; zero when there is none. It differs from every status that the daemons themselves send.
	ShedStatus int `json:"shed_status,omitempty"`
	// Routes are tried in order; the first match wins.
	Routes []Route `json:"routes,omitempty"`
	// Upstreams has one entry for each instance; names are unique.
	Upstreams []Upstream `json:"upstreams"`
}

// Upstream is one entry of the instance list.
type Upstream struct {
	// Name is unique in the fleet.
	Name UpstreamName `json:"name"`
	// Incarnation increases each time the instance is replaced or restarted.
	Incarnation Incarnation `json:"incarnation"`
	// Service is the service that the instance runs.
	Service ServiceName `json:"service"`
	// Region contains FailureDomain; it may be empty in a deployment of one region.
	Region Region `json:"region,omitempty"`
	// FailureDomain is that of the instance's server.
	FailureDomain FailureDomain `json:"failure_domain"`
	// Gate is where the instance's daemon accepts calls from other daemons.
	Gate Address `json:"gate"`
	// Peer is where that daemon receives control messages from other daemons.
	Peer Address `json:"peer"`
	// Instance is the upstream's own name for itself; it refuses requests that name another instance. Empty
	// when upstreams have no such name.
	Instance InstanceID `json:"instance,omitempty"`
	// Slots is how many requests the upstream handles at once; zero means that its service's Slots applies.
	Slots int `json:"slots,omitempty"`
	// Sequence increases with each entry that one incarnation publishes about itself, so that an older entry that
	// arrives late does not replace a newer one. Zero when entries are not numbered.
	Sequence uint64 `json:"sequence,omitempty"`
	// WarmupLeftMs is how much longer the upstream is cold, by its own entry, in ms; zero when it is warm.
	WarmupLeftMs int `json:"warmup_left_ms,omitzero"`
	// State is "live" or "leaving" according to the instance list, which lags behind.
	State State `json:"state"`
}
