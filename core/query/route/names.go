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
	defaultChoices  = 3
	hotQuantile     = 0.75
	exploreOneIn    = 400
	// nearChoices is enough to compare all upstreams of a small service.
	nearChoices = 8
	// farFactor keeps calls in the daemon's failure domain although reports and latencies differ somewhat. overloadFactor
	// is above it, so that a far upstream is preferred to a near one that is overloaded.
	farFactor      = 2
	overloadFactor = 3
)

// NamedPolicy is a policy under the name that settings use.
type NamedPolicy struct {
	// Name is unique and in snake case.
	Name string
	// New returns a new policy; each daemon has its own.
	New func() Policy
}

// Policies lists every policy, the default one first.
var Policies = []NamedPolicy{
	{Name: Default, New: func() Policy { return Healthy[Weighted]{Inner: DefaultWeighted()} }},
	{Name: "near_first", New: func() Policy { return Healthy[Weighted]{Inner: NearFirst()} }},
	{Name: "two_choices", New: func() Policy { return TwoChoices{ReportLifetime: reportLifetime} }},
	{Name: "round_robin", New: func() Policy { return &RoundRobin{} }},
	{Name: "least_in_flight", New: func() Policy { return LeastInFlight{} }},
	{Name: "hot_cold", New: func() Policy {
		return HotCold{Choices: defaultChoices, HotQuantile: hotQuantile, ReportLifetime: reportLifetime}
	}},
}

// DefaultWeighted returns the weighted policy with its default constants.
func DefaultWeighted() Weighted {
	return Weighted{
		Choices:         defaultChoices,
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

// NearFirst returns the weighted policy for deployments in which traffic between failure domains is expensive: it
// stays in its own domain until the upstreams there are clearly more loaded.
func NearFirst() Weighted {
	policy := DefaultWeighted()
	policy.Choices = defaultChoices
	policy.NearChoices = nearChoices
	policy.FarFactor = farFactor
	policy.OverloadFactor = overloadFactor
	policy.AssumeMean = true
	return policy
}

// ByName returns the policy of that name, or none when there is none.
func ByName(name string) mo.Option[Policy] {
	for _, named := range Policies {
		if named.Name == name {
			return mo.Some(named.New())
		}
	}
	return mo.None[Policy]()
}
