package budget_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreytack/core/command/budget"
	"comfreytack/core/model"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestRetriesStayAShareOfCalls checks for random schedules that the retries of each key stay within its reserve and
// the share of its own calls: calls to one service must not pay for retries to another.
func TestRetriesStayAShareOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := budget.Settings{MaxKeys: 3, Idle: time.Minute, Reserve: 2, Burst: 5}
		buckets := budget.New(settings)
		now := time.Unix(1000, 0)
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		calls, retries := map[budget.Key]int{}, map[budget.Key]int{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			service := rapid.IntRange(0, settings.MaxKeys-1).Draw(t, "service")
			key := budget.Key{Customer: "police", Service: model.ServiceName(fmt.Sprint(service))}
			if rapid.Bool().Draw(t, "retry") {
				if buckets.Withdraw(now, key, rapid.IntRange(0, 2).Draw(t, "rank")) {
					retries[key]++
				}
			} else {
				buckets.Deposit(now, key, percent)
				calls[key]++
			}
			now = now.Add(time.Millisecond)
			if most := settings.Reserve + calls[key]*percent/100; retries[key] > most {
				t.Fatalf("%v: %d retries after %d calls", key, retries[key], calls[key])
			}
		}
	})
}

func TestKeysAreBounded(t *testing.T) {
	settings := budget.Settings{MaxKeys: 100, Idle: time.Minute, Reserve: 1, Burst: 1}
	buckets := budget.New(settings)
	now := time.Unix(1000, 0)
	retries := 0
	for i := range 1000 {
		if buckets.Withdraw(now, budget.Key{Customer: model.Customer(fmt.Sprint(i))}, 0) {
			retries++
		}
	}
	if buckets.Size() != settings.MaxKeys || retries != settings.MaxKeys+1 {
		t.Fatalf("%d keys and %d retries", buckets.Size(), retries)
	}
	buckets.Deposit(now.Add(settings.Idle), budget.Key{Customer: "returned"}, 10)
	if buckets.Size() != 1 {
		t.Fatalf("%d keys after the idle time", buckets.Size())
	}
}

// TestScarceRetriesGoToTheMostUrgent checks who gets the retries of a bucket that does not have enough for all. Each step
// is a call of a rank that asks for one.
func TestScarceRetriesGoToTheMostUrgent(t *testing.T) {
	type step struct {
		after time.Duration
		rank  int
		want  bool
	}
	tests := []struct {
		name    string
		retries int
		steps   []step
	}{
		{name: "all alike", retries: 2, steps: []step{{rank: 2, want: true}, {rank: 2, want: true}, {rank: 2}}},
		{name: "the last one is for the more urgent", retries: 2, steps: []step{{rank: 1, want: true}, {rank: 2}, {rank: 1, want: true}}},
		{name: "enough for both", retries: 3, steps: []step{{rank: 1, want: true}, {rank: 2, want: true}, {rank: 2}, {rank: 1, want: true}}},
		{name: "no urgent call for long", retries: 2, steps: []step{{rank: 1, want: true}, {after: 3 * time.Second, rank: 2, want: true}}},
		{name: "the most urgent of three", retries: 2, steps: []step{{rank: 2, want: true}, {rank: 0, want: true}, {rank: 1}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			buckets := budget.New(budget.Settings{MaxKeys: 1, Idle: time.Minute, Reserve: test.retries, Burst: test.retries})
			now := time.Unix(1000, 0)
			for i, step := range test.steps {
				now = now.Add(step.after)
				if got := buckets.Withdraw(now, budget.Key{Service: "ledger"}, step.rank); got != step.want {
					t.Errorf("step %d: got %v, want %v", i, got, step.want)
				}
			}
		})
	}
}
