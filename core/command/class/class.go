// Package class classifies requests as short or long work.
//
// Routes that are configured for the service have a fixed class. All other routes start as short, and their class is
// learnt from their run times, relative to the mean run time of short work at that time. So a slow server, which
// slows all routes, does not make any of them long.
//
// A Classifier is not safe for concurrent use.
package class

import (
	"strings"
	"time"

	"comfreytack/core/cache"
	"comfreytack/core/model"
	"comfreytack/core/query/match"
)

const (
	// smoothing is the weight of one run in a route's moving average.
	smoothing = 1.0 / 4
	// longRatio and shortRatio are multiples of the mean run time of short work. A route becomes long at
	// longRatio, and short again below shortRatio.
	longRatio  = 8
	shortRatio = 4
	// maxRunRatio caps the ratio of a single run, so that at least two runs are needed to make a route long.
	maxRunRatio = 28
	// patternSegments is the number of path segments in the pattern of a RouteKey.
	patternSegments = 3
)

// Classifier learns the classes of routes that are not configured.
type Classifier struct {
	learnt *cache.Cache[RouteKey, RouteState]
}

// RouteKey identifies a route that is not configured.
type RouteKey struct {
	// Method is the HTTP method.
	Method string
	// Pattern has the first segments of the path, with "*" for each that contains a digit: "/beds/17/hold"
	// -> "/beds/*/hold".
	Pattern string
}

// RouteState is what a Classifier has learnt about one route.
type RouteState struct {
	// Class is the class of the route's next request.
	Class model.Class
	// Ratio is the moving average of the route's run times divided by the mean one of short work; it starts at 1.
	Ratio float64
}

// New returns a Classifier that keeps the state of up to the given number of routes.
func New(capacity int) *Classifier {
	return &Classifier{learnt: cache.New[RouteKey, RouteState](capacity)}
}

// Classify returns the class of a request to a service.
func (c *Classifier) Classify(service model.Service, method, path string) model.Class {
	if route, found := MatchRoute(service, method, path); found {
		return route.Class
	}
	known, _ := c.learnt.Get(keyOf(method, path))
	return known.Class
}

// RecordRun records that a request held a slot for the given time while the mean run time of short work was mean. It
// must only be called for runs that ended by themselves, and not for those already recorded with RecordOverrun. Routes
// that stay short are kept too, since they may become long later.
func (c *Classifier) RecordRun(service model.Service, method, path string, held, mean time.Duration) {
	if mean > 0 {
		c.learn(service, method, path, min(maxRunRatio, float64(held)/float64(mean)))
	}
}

// RecordOverrun records that a request that started as short takes long and is still running. It counts as a run of the
// maximum ratio: many more requests may start before this one ends.
func (c *Classifier) RecordOverrun(service model.Service, method, path string) {
	c.learn(service, method, path, maxRunRatio)
}

func (c *Classifier) learn(service model.Service, method, path string, ratio float64) {
	if _, found := MatchRoute(service, method, path); found {
		return
	}
	key := keyOf(method, path)
	known, found := c.learnt.Get(key)
	if !found {
		known.Ratio = 1
	}
	known.Ratio += smoothing * (ratio - known.Ratio)
	switch {
	case known.Ratio >= longRatio:
		known.Class = model.Long
	case known.Ratio < shortRatio:
		known.Class = model.Short
	}
	c.learnt.Set(key, known)
}

// MatchRoute returns the first configured route of the service that matches a request with the path as it was sent. A
// prefix matches whole segments: "/share" matches "/share" and "/share/7" but not "/shared" or "/share%2F7".
func MatchRoute(service model.Service, method, encodedPath string) (model.Route, bool) {
	path := match.Path(encodedPath)
	for _, route := range service.Routes {
		if route.Method != "" && route.Method != method {
			continue
		}
		prefix := strings.TrimSuffix(route.PathPrefix, "/")
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return route, true
		}
	}
	return model.Route{}, false
}

// keyOf returns the key of a route that is not configured.
func keyOf(method, path string) RouteKey {
	segments := strings.SplitN(strings.TrimPrefix(path, "/"), "/", patternSegments+1)
	segments = segments[:min(len(segments), patternSegments)]
	var pattern strings.Builder
	for _, segment := range segments {
		if strings.ContainsAny(segment, "0123456789") {
			segment = "*"
		}
		pattern.WriteString("/" + segment)
	}
	return RouteKey{Method: method, Pattern: pattern.String()}
}
