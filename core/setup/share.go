package setup

import "cmp"

const (
	// overheadMB is the memory of the process that is not Go's: its text and data, and what the kernel counts to it.
	overheadMB = 20
	// connectionShare is the part of the memory that accepted connections may hold together. The garbage of as much, the
	// control state and the connections to upstreams and to other daemons take the rest.
	connectionShare = 4
	// descriptorShare is the part of the descriptors that accepted connections may use. The connections to upstreams and
	// to other daemons use the rest.
	descriptorShare = 2
	megabyte        = 1 << 20
)

// OrDefault returns the limits with the defaults for what is not set.
func (l Limits) OrDefault() Limits {
	l.MemoryMB = cmp.Or(l.MemoryMB, defaultMemoryMB)
	l.Descriptors = cmp.Or(l.Descriptors, defaultDescriptors)
	return l
}

// RuntimeBytes returns the memory that Go may use before it collects garbage more often.
func (l Limits) RuntimeBytes() int64 {
	return int64(max(l.MemoryMB-overheadMB, l.MemoryMB/2)) * megabyte
}

// ConnectionBytes returns the memory that accepted connections may hold together.
func (l Limits) ConnectionBytes() int64 {
	return int64(l.MemoryMB) * megabyte / connectionShare
}

// Connections returns how many accepted connections may be open.
func (l Limits) Connections() int {
	return l.Descriptors / descriptorShare
}
