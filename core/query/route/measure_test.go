package route_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"comfreytack/core/query/route"
)

var (
	update  = flag.Bool("update", false, "rewrite the golden files")
	seconds = flag.Int("seconds", 0, "print the table of this many virtual seconds instead of checking the golden one")
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	seeds        = 5
	goldenLength = 600 * time.Millisecond
)

var scenarios = []scenario{
	{name: "all alike, 85%", load: 0.85, daemons: 5},
	{name: "all alike, 95%", load: 0.95, daemons: 5},
	{name: "all alike, 120%", load: 1.2, daemons: 5},
	{name: "50 daemons, 85%", load: 0.85, daemons: 50},
	{name: "one 10x slower, 70%", load: 0.7, daemons: 5, slow: 10},
	{name: "one becomes 10x slower, 70%", load: 0.7, daemons: 5, slow: 10, slowFrom: modelFaultStart},
	{name: "50 daemons, one 10x slower, 70%", load: 0.7, daemons: 50, slow: 10},
	{name: "one restarts cold, 70%", load: 0.7, daemons: 5, coldFrom: modelFaultStart},
	{name: "load shifts every 5 ms, 60%", load: 0.6, daemons: 5, shifting: true},
	{name: "one 10x slower, reports lag 1 s", load: 0.7, daemons: 5, slow: 10, reportLag: time.Second},
	{name: "50 daemons, one 10x slower, reports lag 1 s", load: 0.7, daemons: 50, slow: 10, reportLag: time.Second},
	{name: "500 daemons, one 10x slower, 70%", load: 0.7, daemons: 500, slow: 10},
	{name: "one 10x slower, it reports idle", load: 0.7, daemons: 5, slow: 10, reportsIdle: true},
	{name: "50 daemons, one 10x slower, it reports idle", load: 0.7, daemons: 50, slow: 10, reportsIdle: true},
	{name: "one fails fast, 70%", load: 0.7, daemons: 5, failFast: true},
}

// measurement holds the results of one policy in one scenario over all seeds.
type measurement struct {
	p99    []time.Duration
	served []float64
	// hedged is the share of calls that were sent twice.
	hedged float64
}

func measure(s scenario, policy func() route.Policy, length time.Duration) measurement {
	results := make([]*outcome, seeds)
	var runs errgroup.Group
	for seed := range seeds {
		runs.Go(func() error {
			results[seed] = newSimulation(s, policy, uint64(seed+1)).run(length)
			return nil
		})
	}
	_ = runs.Wait()
	var c measurement
	for _, result := range results {
		c.p99 = append(c.p99, result.quantile(0.99))
		c.served = append(c.served, result.servedShare())
		c.hedged += float64(result.hedges) / float64(result.sent) / seeds
	}
	slices.Sort(c.p99)
	slices.Sort(c.served)
	return c
}

func (c measurement) String() string {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return fmt.Sprintf("%.1f (%.1f-%.1f) ms, %.2f%% (%.2f-%.2f)",
		ms(c.p99[seeds/2]), ms(c.p99[0]), ms(c.p99[seeds-1]),
		100*c.served[seeds/2], 100*c.served[0], 100*c.served[seeds-1])
}

// TestHedging compares hedging after several delays with none. All attempts of a request need the same work unless the
// scenario draws it anew.
func TestHedging(t *testing.T) {
	var table strings.Builder
	fmt.Fprint(&table, "| scenario | hedge after | p99, served in the deadline | hedged |\n| --- | --- | --- | --- |\n")
	tests := []scenario{
		{name: "all alike, 85%", load: 0.85, daemons: 5},
		{name: "all alike, 85%, work drawn anew", load: 0.85, daemons: 5, redrawn: true},
		{name: "all alike, 120%", load: 1.2, daemons: 5},
		{name: "one becomes 10x slower, 70%", load: 0.7, daemons: 5, slow: 10, slowFrom: modelFaultStart},
		{name: "load shifts every 5 ms, 60%", load: 0.6, daemons: 5, shifting: true},
	}
	for _, s := range tests {
		for _, after := range []time.Duration{0, 30 * time.Millisecond, 60 * time.Millisecond} {
			s.hedgeAfter = after
			c := measure(s, route.Policies[0].New, runLength())
			fmt.Fprintf(&table, "| %s | %v | %s | %.2f%% |\n", s.name, after, c, 100*c.hedged)
		}
	}
	report(t, "hedging.golden", table.String())
}

func runLength() time.Duration {
	if *seconds > 0 {
		return time.Duration(*seconds) * time.Second
	}
	return goldenLength
}

// report prints the table of a longer run, or compares that of the usual one with its golden file.
func report(t *testing.T, name, table string) {
	if *seconds > 0 {
		fmt.Print(table)
		return
	}
	checkGolden(t, name, table)
}

// TestPolicies compares every policy in every scenario of the model.
func TestPolicies(t *testing.T) {
	var table strings.Builder
	fmt.Fprint(&table, "| scenario | policy | p99, served in the deadline: median (least-most) of 5 seeds |\n| --- | --- | --- |\n")
	for _, s := range scenarios {
		for _, named := range route.Policies {
			fmt.Fprintf(&table, "| %s | %s | %s |\n", s.name, named.Name, measure(s, named.New, runLength()))
		}
	}
	report(t, "policies.golden", table.String())
}

func checkGolden(t *testing.T, name, got string) {
	path := filepath.Join("testdata", name)
	if *update {
		qt.Assert(t, os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}
