// Package model has the plain types that commands and queries share.
//
// It performs no I/O and reads no clock: every function that needs the time takes it as an argument.
package model

// Customer names a customer, who has one contract, for example "policia-norte".
type Customer string

// ServiceName names a service, for example "reservas".
type ServiceName string

// InstanceID is an upstream's own name for itself; it may stay the same over several incarnations.
type InstanceID string

// UpstreamName names an upstream instance; a replacement at the same place keeps it.
type UpstreamName string

// Incarnation distinguishes successive starts of the upstream of one UpstreamName. Later ones compare greater.
type Incarnation uint64

// FailureDomain names a set of servers that fail together, for example "quito-sur".
type FailureDomain string

// Region names a set of failure domains that can be cut off from other regions together.
type Region string

// Address is an IP address and port, for example "127.0.0.1:7001".
type Address string

// Fingerprint is the same for requests with the same customer, method, path and body.
// Zero means that the request has no fingerprint.
type Fingerprint uint64
