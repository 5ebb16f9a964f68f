package spent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"comfreytack/core/command/spent"
)

func TestBefore(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	book := spent.New()
	tests := []struct {
		name  string
		at    time.Duration
		route string
		asked time.Duration
		want  time.Duration
	}{
		{name: "first of its route", route: "beds", asked: 1200 * ms},
		{name: "a re-send", at: 300 * ms, route: "beds", asked: 900 * ms, want: 300 * ms},
		{name: "another route", at: 300 * ms, route: "holds", asked: 800 * ms},
		{name: "one that asks for nothing", at: 400 * ms, route: "beds"},
		{name: "in the next window", at: 6 * time.Second, route: "beds", asked: 1000 * ms, want: 200 * ms},
		{name: "two windows on", at: 12 * time.Second, route: "beds", asked: 1000 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, book.Estimate(start.Add(test.at), test.route, test.asked), qt.Equals, test.want)
		})
	}
}
