// Package evict decides which connection is closed when a daemon is short of memory or of descriptors.
//
// For memory, the connection that has held most for longest goes first. A newcomer that would hold much competes too:
// when it would hold most itself, nobody is closed for it.
//
//	900 connections with unfinished heads of 16 KB, a new caller needs 40 KB  ->  the oldest of the 900
//	the same, one of them needs 100 KB more                                  ->  none; it is closed itself
//	200 running requests of 40 KB, another one needs 40 KB                   ->  none; it is refused
//	the same, one of them holds 8 MB                                         ->  that one
package evict

//go:generate go tool stringer -type=Phase -linecomment -output=enums_string.go

import (
	"iter"
	"time"
)

// Phase says what a connection is doing.
type Phase int

// The phases, in the order in which connections are closed.
const (
	// Idle connections wait for a request.
	Idle Phase = iota // idle
	// Reading connections have sent a part of a request's head.
	Reading // reading
	// Running connections have a request in progress.
	Running // running
)

const (
	// runningFactor is how many times as much as the newcomer, and as an ordinary request, a running connection has to hold
	// to be closed for it: to close it loses work, to refuse the newcomer does not.
	runningFactor = 2
	// ordinaryBytes is what an ordinary request holds. A newcomer that holds no more does not compete.
	ordinaryBytes = 96 << 10
	// ageOffset counts as age of every connection, so that a new one that holds much goes before an old one that holds
	// little.
	ageOffset = time.Second
	// maxAge is the age beyond which a connection does not count as holding for longer.
	maxAge = 8 * time.Second
)

// Holder is a connection that holds memory and a descriptor.
type Holder struct {
	// Port groups the connections that were accepted on the same port.
	Port string
	// Phase is what the connection is doing.
	Phase Phase
	// Bytes is the memory that it holds; never negative.
	Bytes int64
	// Since is when the phase began.
	Since time.Time
}

// cost is the memory times the time for which the holder has had it.
func (h Holder) cost(now time.Time) float64 {
	age := min(now.Sub(h.Since), maxAge) + ageOffset
	return float64(h.Bytes) * age.Seconds()
}

// ForMemory returns the holder to close so that the newcomer gets the bytes that it holds by its description. It returns
// false when none may be closed for it.
func ForMemory[K any](now time.Time, holders iter.Seq2[K, Holder], newcomer Holder) (K, bool) {
	var victim K
	found := false
	most := newcomer.cost(now)
	if newcomer.Bytes <= ordinaryBytes {
		most = 0
	}
	for key, holder := range holders {
		if holder.Phase == Running && holder.Bytes < runningFactor*max(newcomer.Bytes, ordinaryBytes) {
			continue
		}
		if cost := holder.cost(now); cost > most {
			victim, found, most = key, true, cost
		}
	}
	return victim, found
}

// ForDescriptor returns the holder to close so that a new connection gets its descriptor: of the port with most
// connections the one that has been idle for longest, or else the one that has been sending a head for longest. It
// returns false when all are running requests.
func ForDescriptor[K any](holders iter.Seq2[K, Holder]) (K, bool) {
	ports := map[string]int{}
	for _, holder := range holders {
		ports[holder.Port]++
	}
	var victim K
	var chosen Holder
	found := false
	for key, holder := range holders {
		if holder.Phase == Running || found && !goesBefore(holder, chosen, ports) {
			continue
		}
		victim, chosen, found = key, holder, true
	}
	return victim, found
}

func goesBefore(a, b Holder, ports map[string]int) bool {
	if ports[a.Port] != ports[b.Port] {
		return ports[a.Port] > ports[b.Port]
	}
	if a.Phase != b.Phase {
		return a.Phase < b.Phase
	}
	return a.Since.Before(b.Since)
}
