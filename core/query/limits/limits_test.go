package limits_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"comfreytack/core/model"
	"comfreytack/core/query/limits"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for _, setting := range []struct{ name, value string }{
		{name: "rapid.seed", value: "1"},
		{name: "rapid.nofailfile", value: "true"},
	} {
		if err := flag.Set(setting.name, setting.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// asserter lets quicktest fail a rapid.T, which lacks some methods of testing.TB.
type asserter struct {
	testing.TB
	t *rapid.T
}

func (a asserter) Fatal(args ...any) { a.t.Fatal(args...) }

type contracts = map[model.Customer]model.Contract

// drawContracts returns contracts of up to 40 customers; that of "c0" is always standard.
func drawContracts(t *rapid.T) contracts {
	drawn := contracts{}
	for i := range rapid.IntRange(1, 40).Draw(t, "customers") {
		customer := model.Customer(fmt.Sprintf("c%d", i))
		tier := model.Tier(rapid.IntRange(0, 1).Draw(t, "tier"))
		if i == 0 {
			tier = model.Standard
		}
		drawn[customer] = model.Contract{
			Customer:   customer,
			Weight:     rapid.IntRange(1, 1000).Draw(t, "weight"),
			Tier:       tier,
			DeadlineMs: rapid.IntRange(1, 600000).Draw(t, "deadline"),
			LongestMs:  600000,
		}
	}
	return drawn
}

func TestInvariants(t *testing.T) {
	tests := []struct {
		name  string
		check func(t testing.TB, r *rapid.T, drawn contracts, slots int)
	}{
		{name: "guarantees fit into the slots that long work may not take", check: guaranteesFit},
		{name: "monotone in weight", check: monotoneInWeight},
		{name: "an additional customer scales the others by weight alone", check: additionalCustomer},
		{name: "stable under reordering", check: orderIndependent},
		{name: "every customer keeps a share", check: everyoneShares},
		{name: "explanations agree with the limits", check: explanationsAgree},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) {
				test.check(asserter{TB: t, t: r}, r, drawContracts(r), rapid.IntRange(1, 1000).Draw(r, "slots"))
			})
		})
	}
}

func guaranteesFit(t testing.TB, _ *rapid.T, drawn contracts, slots int) {
	sum := 0
	for _, l := range limits.Of(drawn, slots) {
		sum += l.Guaranteed
		qt.Assert(t, l.LongSlots >= 1 && l.LongSlots <= slots, qt.IsTrue)
	}
	qt.Assert(t, sum <= 1000*(slots-max(1, slots/4)), qt.IsTrue, qt.Commentf("sum %d", sum))
}

func monotoneInWeight(t testing.TB, r *rapid.T, drawn contracts, slots int) {
	before := limits.Of(drawn, slots)
	contract := drawn["c0"]
	contract.Weight = rapid.IntRange(contract.Weight, 1000).Draw(r, "raised")
	drawn["c0"] = contract
	after := limits.Of(drawn, slots)
	for customer := range drawn {
		rises := after[customer].Guaranteed >= before[customer].Guaranteed
		falls := after[customer].Guaranteed <= before[customer].Guaranteed
		qt.Assert(t, (customer == "c0" && rises) || (customer != "c0" && falls), qt.IsTrue)
	}
}

func additionalCustomer(t testing.TB, r *rapid.T, drawn contracts, slots int) {
	before := limits.Of(drawn, slots)
	total := 0
	for _, contract := range drawn {
		if contract.Tier == model.Standard {
			total += contract.Weight
		}
	}
	added := model.Contract{Customer: "added", Weight: rapid.IntRange(1, 1000).Draw(r, "added"), Tier: model.Tier(rapid.IntRange(0, 1).Draw(r, "added tier"))}
	drawn["added"] = added
	after := limits.Of(drawn, slots)
	for customer, old := range before {
		want := float64(old.Guaranteed)
		if added.Tier == model.Standard {
			want *= float64(total) / float64(total+added.Weight)
		}
		got := after[customer]
		difference := float64(got.Guaranteed) - want
		qt.Assert(t, difference > -1 && difference < 1, qt.IsTrue, qt.Commentf("got %d, want %f", got.Guaranteed, want))
		got.Guaranteed = old.Guaranteed
		qt.Assert(t, got, qt.Equals, old)
	}
}

func orderIndependent(t testing.TB, r *rapid.T, drawn contracts, slots int) {
	keys := make([]model.Customer, 0, len(drawn))
	for i := range len(drawn) {
		keys = append(keys, model.Customer(fmt.Sprintf("c%d", i)))
	}
	permuted := contracts{}
	for _, customer := range rapid.Permutation(keys).Draw(r, "order") {
		permuted[customer] = drawn[customer]
	}
	qt.Assert(t, limits.Of(permuted, slots), qt.DeepEquals, limits.Of(drawn, slots))
}

func everyoneShares(t testing.TB, _ *rapid.T, drawn contracts, slots int) {
	got := limits.Of(drawn, slots)
	qt.Assert(t, got, qt.HasLen, len(drawn))
	for customer, l := range got {
		qt.Assert(t, l.Weight == drawn[customer].Weight && l.Queue >= 1, qt.IsTrue)
		if drawn[customer].Tier == model.Background {
			qt.Assert(t, l.Guaranteed, qt.Equals, 0)
		}
	}
}

func explanationsAgree(t testing.TB, _ *rapid.T, drawn contracts, slots int) {
	want := limits.Of(drawn, slots)
	for customer := range drawn {
		got, found := limits.Explain(drawn, slots, customer)
		qt.Assert(t, found, qt.IsTrue)
		qt.Assert(t, got.Limits, qt.Equals, want[customer])
		qt.Assert(t, got.Rows, qt.HasLen, 7)
		qt.Assert(t, got.Rows[0].Value, qt.Equals, int64(want[customer].Guaranteed))
	}
	_, found := limits.Explain(drawn, slots, "stranger")
	qt.Assert(t, found, qt.IsFalse)
}
