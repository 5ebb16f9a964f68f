package prior_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/prior"
)

func TestEstimate(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	estimator := prior.New()
	tests := []struct {
		name  string
		at    time.Duration
		route string
		asked time.Duration
		want  time.Duration
	}{
		{name: "first of its route", route: "beds", asked: 1200 * ms},
		{name: "a retry", at: 300 * ms, route: "beds", asked: 900 * ms, want: 300 * ms},
		{name: "another route", at: 300 * ms, route: "holds", asked: 800 * ms},
		{name: "no time asked for", at: 400 * ms, route: "beds"},
		{name: "in the next window", at: 6 * time.Second, route: "beds", asked: 1000 * ms, want: 200 * ms},
		{name: "two windows later", at: 12 * time.Second, route: "beds", asked: 1000 * ms},
		{name: "after a long time without requests", at: 60 * time.Second, route: "beds", asked: 400 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, estimator.Estimate(start.Add(test.at), test.route, test.asked), qt.Equals, test.want)
		})
	}
}
