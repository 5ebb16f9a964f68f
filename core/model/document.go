package model

// Document is a complete published configuration: all routes and how their requests are served. It takes
// effect, and is replaced, as a whole.
type Document struct {
	// Version increases with each document, not always by one; never zero.
	Version uint64 `json:"version"`
	// Routes has all routes; no two have the same host and prefix.
	Routes []HostRoute `json:"routes"`
	// Services has the services that routes may name; names are unique.
	Services []DocumentService `json:"services"`
	// Intake limits what callers may send.
	Intake Intake `json:"intake"`
}

// HostRoute is a route selected by host and longest path prefix.
//
//	host "beds.example", prefix "/holds/" matches "beds.example/holds/7" and not "beds.example/holds"
type HostRoute struct {
	// Name is unique in the document.
	Name string `json:"name"`
	// Host is the host name that callers request, without a port.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash.
	PathPrefix string `json:"path_prefix"`
	// Idempotent marks requests that may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// TimeoutMs limits how long a caller waits for the answer; positive, in ms.
	TimeoutMs int `json:"timeout_ms"`
	// TargetMs is the time within which an answer has its full value; positive, in ms.
	TargetMs int `json:"target_ms"`
	// Rank is the route's priority when not all calls can be served; 0 is the highest. Never negative.
	Rank int `json:"rank"`
	// Attempts limits how many upstreams one request may reach; at least 1.
	Attempts int `json:"attempts"`
	// Targets has the services that serve the route, each with its share; at least one.
	Targets []Target `json:"targets"`
}

// Target is one service behind a route.
type Target struct {
	Service ServiceName `json:"service"`
	// Weight is the service's share relative to the route's other targets; positive.
	Weight int `json:"weight"`
}

// DocumentService is a service as declared in a document. Its upstreams are published one by one.
type DocumentService struct {
	Name ServiceName `json:"name"`
	// Connections is the total number of connections that one upstream accepts; at least 1.
	Connections int `json:"connections"`
	// HealthPath is the path at which an upstream reports its load without delay; it begins with a slash.
	HealthPath string `json:"health_path"`
	// WarmupPerS is how many requests a second an upstream tolerates while it is cold; zero when the service sets no such
	// limit.
	WarmupPerS float64 `json:"warmup_per_s,omitzero"`
	// WarmupMs is how long an upstream is cold after its start, in ms.
	WarmupMs int `json:"warmup_ms,omitzero"`
}

// Intake limits what a caller may send.
type Intake struct {
	// MaxBodyBytes is the largest request body accepted; positive.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeadBytes is the largest request head accepted, from the request line to the empty line; zero means the daemon's
	// default.
	MaxHeadBytes int `json:"max_head_bytes,omitzero"`
	// HeadTimeoutMs is how long a caller may take to send a head, in ms; zero means the daemon's default.
	HeadTimeoutMs int `json:"head_timeout_ms,omitzero"`
	// IdleTimeoutMs is how long a connection may stay idle between requests, in ms; zero means the daemon's default.
	IdleTimeoutMs int `json:"idle_timeout_ms,omitzero"`
}
