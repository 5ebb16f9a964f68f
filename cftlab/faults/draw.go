package faults

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minDuration and maxDuration bound the duration drawn for a fault; recoveryTime may cut it shorter.
	minDuration = 200 * time.Millisecond
	maxDuration = 4 * time.Second
	// recoveryTime is how long the end of a run stays without faults, so that the deployment can recover.
	recoveryTime = time.Second
)

// Draw returns count faults within span, ordered by their times. The same random source gives the same faults.
func Draw(random *rand.Rand, kinds []Kind, nodes, count int, span time.Duration) []Fault {
	drawn := []Fault{}
	for range count {
		at := between(random, 0, max(1, span-recoveryTime))
		drawn = append(drawn, Fault{
			Kind:     kinds[random.IntN(len(kinds))],
			At:       at,
			Duration: min(between(random, minDuration, maxDuration), max(0, span-recoveryTime-at)),
			Node:     random.IntN(nodes),
		})
	}
	slices.SortFunc(drawn, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return drawn
}

// between returns a uniformly distributed duration that is at least low and below high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}
