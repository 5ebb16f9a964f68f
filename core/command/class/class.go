// Package class tells short work from long work.
//
// Routes that the service names keep their class. All others start as short and are learnt from how long
// they run, as a multiple of the mean of short work at the time: a slow server slows all routes and so
// makes none of them long. A Book is guarded by its caller.
package class

import (
	"strings"
	"time"

	"comfreytack/core/cache"
	"comfreytack/core/model"
)

const (
	// smoothing is the weight of one run in a route's moving average.
	smoothing = 1.0 / 4
	// longRatio and shortRatio are the multiples of the mean of short work from which a route becomes
	// long, and below which it becomes short again.
	longRatio  = 8
	shortRatio = 4
	// largestRatio caps one run, so that it takes at least two to make a route long.
	largestRatio = 28
	// keySegments is how many segments of a path tell unnamed routes apart.
	keySegments = 3
)

// Book learns the classes of unnamed routes.
type Book struct {
	learnt *cache.Cache[Route, Learnt]
}

// Route is what tells unnamed routes apart.
type Route struct {
	// Method is the HTTP method.
	Method string
	// Pattern has the first segments of the path, with "*" for each that holds a digit: "/beds/17/hold"
	// -> "/beds/*/hold".
	Pattern string
}

// Learnt is what a Book knows of one route.
type Learnt struct {
	// Class is the class of the next request.
	Class model.Class
	// Ratio is the moving average of run times over the mean of short work; it starts at 1.
	Ratio float64
}

// New returns a book that remembers up to the given number of routes.
func New(capacity int) *Book {
	return &Book{learnt: cache.New[Route, Learnt](capacity)}
}

// Of returns the class of a request to a service.
func (b *Book) Of(service model.Service, method, path string) model.Class {
	if named, found := MatchRoute(service, method, path); found {
		return named.Class
	}
	known, _ := b.learnt.Get(routeOf(method, path))
	return known.Class
}

// Ran tells that a request held a slot for the given time while short work took the given mean. Tell only
// of runs that ended by themselves and that Overran was not told of. A route that stays short is remembered
// too, as it may run long later.
func (b *Book) Ran(service model.Service, method, path string, held, mean time.Duration) {
	if mean > 0 {
		b.learn(service, method, path, min(largestRatio, float64(held)/float64(mean)))
	}
}

// Overran tells that a request that started as short turned out to be long and still runs. It counts as the
// longest run, since by the time that its end is known many more may have started.
func (b *Book) Overran(service model.Service, method, path string) {
	b.learn(service, method, path, largestRatio)
}

func (b *Book) learn(service model.Service, method, path string, ratio float64) {
	if _, found := MatchRoute(service, method, path); found {
		return
	}
	route := routeOf(method, path)
	known, found := b.learnt.Get(route)
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
	b.learnt.Set(route, known)
}

// MatchRoute returns the first route of the service that matches a request. A prefix matches whole segments:
// "/share" matches "/share" and "/share/7" but not "/shared".
func MatchRoute(service model.Service, method, path string) (model.Route, bool) {
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

func routeOf(method, path string) Route {
	segments := strings.SplitN(strings.TrimPrefix(path, "/"), "/", keySegments+1)
	segments = segments[:min(len(segments), keySegments)]
	var pattern strings.Builder
	for _, segment := range segments {
		if strings.ContainsAny(segment, "0123456789") {
			segment = "*"
		}
		pattern.WriteString("/" + segment)
	}
	return Route{Method: method, Pattern: pattern.String()}
}
