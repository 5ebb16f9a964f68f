package faults

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	shortestSpan = 200 * time.Millisecond
	longestSpan  = 4 * time.Second
	// quietTail is left without faults at the end, so that what was broken can recover.
	quietTail = time.Second
)

// Draw returns count faults within span in the order of their times; the same random source gives the same.
func Draw(random *rand.Rand, kinds []Kind, places, count int, span time.Duration) []Fault {
	drawn := []Fault{}
	for range count {
		at := between(random, 0, max(1, span-quietTail))
		drawn = append(drawn, Fault{
			Kind:  kinds[random.IntN(len(kinds))],
			At:    at,
			Span:  min(between(random, shortestSpan, longestSpan), max(0, span-quietTail-at)),
			Place: random.IntN(places),
		})
	}
	slices.SortFunc(drawn, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return drawn
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}
