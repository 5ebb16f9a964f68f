// Package match finds the route of a request and chooses the service for it.
package match

import (
	"cmp"
	"slices"
	"strings"

	"comfreytack/core/model"
)

// Table groups the routes of a document by host, the longest prefix first, as Route expects them.
func Table(routes []model.HostRoute) map[string][]model.HostRoute {
	table := map[string][]model.HostRoute{}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		route.PathPrefix = Path(route.PathPrefix)
		table[host] = append(table[host], route)
	}
	for _, hostRoutes := range table {
		slices.SortFunc(hostRoutes, func(a, b model.HostRoute) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.PathPrefix, b.PathPrefix))
		})
	}
	return table
}

// Route returns the route with the longest prefix of the path, which is the one that was sent. The host may include a port.
//
//	routes "/a/" and "/a/b/":  "/a/b/c" -> "/a/b/",  "/a/x" -> "/a/",  "/a" -> none
func Route(table map[string][]model.HostRoute, host, encodedPath string) (model.HostRoute, bool) {
	name, _, _ := strings.Cut(host, ":")
	path := Path(encodedPath)
	for _, route := range table[strings.ToLower(name)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return model.HostRoute{}, false
}

// Service draws one of a route's services at random, in proportion to their weights. The function random returns a
// number from 0 to n-1.
func Service(route model.HostRoute, random func(n int) int) model.ServiceName {
	if len(route.Targets) == 1 {
		return route.Targets[0].Service
	}
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	drawn := random(total)
	for _, target := range route.Targets {
		if drawn < target.Weight {
			return target.Service
		}
		drawn -= target.Weight
	}
	return route.Targets[0].Service
}
