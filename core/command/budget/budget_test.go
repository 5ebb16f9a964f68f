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

// TestRetriesStayAShareOfCalls holds for each customer in every schedule, also beyond the bound on customers.
func TestRetriesStayAShareOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := budget.Settings{Customers: 3, Idle: time.Minute, Reserve: 2, Burst: 5}
		book := budget.New(settings)
		now := time.Unix(1000, 0)
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		calls, retries := map[model.Customer]int{}, map[model.Customer]int{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			customer := model.Customer(fmt.Sprint(rapid.IntRange(0, settings.Customers-1).Draw(t, "customer")))
			if rapid.Bool().Draw(t, "retry") {
				if book.Spend(now, customer) {
					retries[customer]++
				}
			} else {
				book.Sent(now, customer, percent)
				calls[customer]++
			}
			now = now.Add(time.Millisecond)
			if most := settings.Reserve + calls[customer]*percent/100; retries[customer] > most {
				t.Fatalf("%s: %d retries after %d calls", customer, retries[customer], calls[customer])
			}
		}
	})
}

func TestCustomersAreBounded(t *testing.T) {
	settings := budget.Settings{Customers: 100, Idle: time.Minute, Reserve: 1, Burst: 1}
	book := budget.New(settings)
	now := time.Unix(1000, 0)
	retries := 0
	for i := range 1000 {
		if book.Spend(now, model.Customer(fmt.Sprint(i))) {
			retries++
		}
	}
	if book.Size() != settings.Customers || retries != settings.Customers+1 {
		t.Fatalf("%d customers and %d retries", book.Size(), retries)
	}
	book.Sent(now.Add(settings.Idle), "returned", 10)
	if book.Size() != 1 {
		t.Fatalf("%d customers after the idle time", book.Size())
	}
}
