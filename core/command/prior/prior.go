// Package prior estimates how much of its waiting time a caller had used before it sent a request.
//
// A caller that was refused and retries allows less time for the answer than callers of the same route usually do.
// The difference is the time that it has used, and the answer's target is earlier by as much:
//
//	callers of "beds" ask for 1200 ms  ->  0 ms used
//	one asks for 900 ms                ->  300 ms used
//
// An Estimator is safe for concurrent use.
package prior

import (
	"sync"
	"time"

	"comfreytack/core/cache"
)

const (
	// The longest requested time is kept for at least window and at most twice that.
	window = 5 * time.Second
	// maxRoutes bounds the number of routes that are kept.
	maxRoutes = 1024
)

// Estimator keeps the longest time that callers of each route have asked for recently.
type Estimator struct {
	mu     sync.Mutex
	routes *cache.Cache[string, maxima]
}

// maxima holds the longest requested times of the current window and of the previous one.
type maxima struct {
	since             time.Time
	current, previous time.Duration
}

// New returns an estimator without any routes.
func New() *Estimator {
	return &Estimator{routes: cache.New[string, maxima](maxRoutes)}
}

// Estimate records the time that a caller asks for, and returns how much time the caller has probably used before;
// zero if it asks for none or the route is empty.
func (e *Estimator) Estimate(now time.Time, route string, asked time.Duration) time.Duration {
	if asked <= 0 || route == "" {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	known, _ := e.routes.Get(route)
	switch age := now.Sub(known.since); {
	case age >= 2*window:
		known = maxima{since: now}
	case age >= window:
		known.previous, known.current, known.since = known.current, 0, now
	}
	known.current = max(known.current, asked)
	e.routes.Set(route, known)
	return max(known.current, known.previous) - asked
}
