package route

import (
	"time"

	"github.com/samber/mo"
)

// Default is the name of the policy that a daemon uses unless its settings name another.
const Default = "weighted_choices"

const (
	reportLifetime  = 500 * time.Millisecond
	serviceLifetime = 5 * time.Second
	latencyLifetime = 5 * time.Second
	othersWeight    = 0.1
	roundTrip       = 3 * time.Millisecond
	serviceTime     = 10 * time.Millisecond
	defaultSlots    = 10
	fewChoices      = 3
	hotQuantile     = 0.75
	exploreOneIn    = 400
	// manyChoices compares all upstreams of a small service.
	manyChoices = 8
	// farFactor keeps calls near although reports and latencies differ somewhat; nearStrain is above it, so that
	// a far upstream at ease goes before a near one that would rather not take a call.
	farFactor  = 2
	nearStrain = 3
)

// Named is a policy under the name that settings use.
type Named struct {
	// Name is unique and in snake case.
	Name string
	// New returns a policy of its own for one daemon.
	New func() Policy
}

// Policies has every policy, the default one first.
var Policies = []Named{
	{Name: Default, New: func() Policy { return Healthy[Weighted]{Inner: DefaultWeighted()} }},
	{Name: "near_first", New: func() Policy { return Healthy[Weighted]{Inner: NearFirst()} }},
	{Name: "two_choices", New: func() Policy { return TwoChoices{ReportLifetime: reportLifetime} }},
	{Name: "round_robin", New: func() Policy { return &RoundRobin{} }},
	{Name: "least_in_flight", New: func() Policy { return LeastInFlight{} }},
	{Name: "hot_cold", New: func() Policy {
		return HotCold{Choices: fewChoices, HotQuantile: hotQuantile, ReportLifetime: reportLifetime}
	}},
}

// DefaultWeighted returns the weighted policy with its default constants.
func DefaultWeighted() Weighted {
	return Weighted{
		Choices:         fewChoices,
		ReportLifetime:  reportLifetime,
		ServiceLifetime: serviceLifetime,
		LatencyLifetime: latencyLifetime,
		OthersWeight:    othersWeight,
		RoundTrip:       roundTrip,
		ServiceTime:     serviceTime,
		Slots:           defaultSlots,
		ExploreOneIn:    exploreOneIn,
	}
}

// NearFirst returns the weighted policy for deployments in which bytes between failure domains are dear: it
// stays in its own domain until the upstreams there are clearly more loaded.
func NearFirst() Weighted {
	policy := DefaultWeighted()
	policy.Choices = fewChoices
	policy.NearChoices = manyChoices
	policy.FarFactor = farFactor
	policy.StrainFactor = nearStrain
	return policy
}

// ByName returns the named policy, or none when there is no such name.
func ByName(name string) mo.Option[Policy] {
	for _, named := range Policies {
		if named.Name == name {
			return mo.Some(named.New())
		}
	}
	return mo.None[Policy]()
}
