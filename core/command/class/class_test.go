package class_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/class"
	"comfreytack/core/model"
)

func TestClass(t *testing.T) {
	const mean = 5 * time.Millisecond
	service := model.Service{Routes: []model.Route{
		{Method: "POST", PathPrefix: "/shares/settle", Class: model.Long},
		{PathPrefix: "/beds", Class: model.Short},
	}}
	tests := []struct {
		name   string
		method string
		path   string
		// runs are the run times of earlier requests to /report/2026/all, as multiples of the mean.
		runs []int
		want model.Class
	}{
		{name: "configured as long", method: "POST", path: "/shares/settle/7", want: model.Long},
		{name: "configured for another method", method: "GET", path: "/shares/settle/7", want: model.Short},
		{name: "a prefix matches whole segments", method: "POST", path: "/shares/settled", want: model.Short},
		{name: "an encoded slash separates no segments", method: "POST", path: "/shares/settle%2F7", want: model.Short},
		{name: "unknown", method: "GET", path: "/report/2026/all", want: model.Short},
		{name: "one long run is not enough", method: "GET", path: "/report/2026/all", runs: []int{28}, want: model.Short},
		{name: "two long runs of the same pattern", method: "GET", path: "/report/2027/all", runs: []int{100, 100}, want: model.Long},
		{name: "another pattern", method: "GET", path: "/report/2027/one", runs: []int{100, 100}, want: model.Short},
		{name: "short again", method: "GET", path: "/report/2026/all", runs: []int{100, 100, 1, 1, 1, 1, 1}, want: model.Short},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			classifier := class.New(2)
			for _, run := range test.runs {
				classifier.RecordRun(service, "GET", "/report/2026/all", time.Duration(run)*mean, mean)
			}
			qt.Assert(t, classifier.Classify(service, test.method, test.path), qt.Equals, test.want)
			for i := range 3 {
				classifier.RecordRun(service, "GET", fmt.Sprintf("/other-%c", 'a'+i), mean, mean)
			}
			qt.Assert(t, classifier.Classify(service, "GET", "/report/2026/all"), qt.Equals, model.Short)
		})
	}
}
