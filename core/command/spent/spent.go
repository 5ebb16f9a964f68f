// Package spent estimates how much of its time a caller has spent before it sent a request.
//
// A caller that was refused and sends again asks for less time than callers of the same route usually do. What
// it lacks is gone, and the answer's target is that much nearer:
//
//	callers of "beds" ask for 1200 ms  ->  0 ms spent
//	one asks for 900 ms                ->  300 ms spent
//
// A Book is shared by traffic goroutines and guards itself.
package spent

import (
	"sync"
	"time"

	"comfreytack/core/cache"
)

const (
	// window is how long the longest time asked for is remembered at least; at most twice as long.
	window = 5 * time.Second
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 1024
)

// Estimator remembers the longest time that callers of each route asked for lately.
type Estimator struct {
	mu     sync.Mutex
	routes *cache.Cache[string, longest]
}

// longest has the longest times of the current window and of the one before.
type longest struct {
	since         time.Time
	current, last time.Duration
}

// New returns an empty book.
func New() *Estimator {
	return &Estimator{routes: cache.New[string, longest](maxRoutes)}
}

// Estimate returns how much time a caller has spent before it asked for the given time; zero when it asked for
// none.
func (b *Estimator) Estimate(now time.Time, route string, asked time.Duration) time.Duration {
	if asked <= 0 || route == "" {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known, _ := b.routes.Get(route)
	if now.Sub(known.since) >= window {
		known.last, known.current, known.since = known.current, 0, now
	}
	known.current = max(known.current, asked)
	b.routes.Set(route, known)
	return max(known.current, known.last) - asked
}
