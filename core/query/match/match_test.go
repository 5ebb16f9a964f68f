package match_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/model"
	"comfreytack/core/query/match"
)

func TestRoute(t *testing.T) {
	table := match.Table([]model.HostRoute{
		{Name: "short", Host: "Beds.example", PathPrefix: "/a/"},
		{Name: "long", Host: "beds.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "other.example", PathPrefix: "/a/"},
	})
	tests := []struct {
		name string
		host string
		path string
		want string
	}{
		{name: "longest prefix", host: "beds.example", path: "/a/b/c", want: "long"},
		{name: "shorter prefix", host: "beds.example", path: "/a/x", want: "short"},
		{name: "prefix itself", host: "beds.example", path: "/a/", want: "short"},
		{name: "prefix without its slash", host: "beds.example", path: "/a", want: ""},
		{name: "port and case", host: "BEDS.example:80", path: "/a/x", want: "short"},
		{name: "other host", host: "other.example", path: "/a/b/c", want: "other"},
		{name: "an encoded slash separates nothing", host: "beds.example", path: "/a/b%2Fc", want: "short"},
		{name: "an encoded slash in small letters", host: "beds.example", path: "/a/b%2fc", want: "short"},
		{name: "an encoded slash behind the prefix", host: "beds.example", path: "/a/b/c%2Fd", want: "long"},
		{name: "an encoded slash in the place of the first", host: "beds.example", path: "/a%2Fb/c", want: ""},
		{name: "an encoded letter", host: "beds.example", path: "/a/%62/c", want: "long"},
		{name: "an encoded percent sign", host: "beds.example", path: "/a/b%252Fc", want: "short"},
		{name: "unknown host", host: "none.example", path: "/a/b/c", want: ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			route, found := match.Route(table, test.host, test.path)
			qt.Check(t, route.Name, qt.Equals, test.want)
			qt.Check(t, found, qt.Equals, test.want != "")
		})
	}
}

func TestServiceFollowsWeights(t *testing.T) {
	route := model.HostRoute{Targets: []model.Target{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	counts := map[model.ServiceName]int{}
	for drawn := range 4 {
		counts[match.Service(route, func(int) int { return drawn })]++
	}
	qt.Check(t, counts, qt.DeepEquals, map[model.ServiceName]int{"a": 3, "b": 1})
}
