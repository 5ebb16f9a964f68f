// Package limits derives every limit of a customer from the contracts in force.
//
// The invariants, each checked by a property test:
//   - The guarantees at a gate sum to at most the slots that long work may not take.
//   - A larger weight never lowers a guarantee of its own customer.
//   - An additional standard customer of weight w, beside weights that sum to W, scales each other guarantee by
//     W/(W+w); no other limit of the other customers changes. An additional background customer changes none.
//   - Limits depend on the set of contracts and not on their order.
//   - Every customer has a weight and a queue of at least 1. A standard customer whose guarantee rounds
//     down to 0 thousandths of a slot still gets its share of slot time from the gate's queue.
package limits

import (
	"strconv"
	"time"

	"comfreytack/core/model"
)

const (
	// millislotsPerSlot converts slots to the unit of guarantees.
	millislotsPerSlot = 1000
	// longSlotsDivisor sets the share of the slots that long work may hold: one slot in longSlotsDivisor.
	longSlotsDivisor = 4
	// standardQueuePerSlot and backgroundQueuePerSlot bound a customer's waiting requests for each slot.
	standardQueuePerSlot   = 16
	backgroundQueuePerSlot = 4
	// standardRetryPercent and backgroundRetryPercent bound retries as a share of first attempts.
	standardRetryPercent   = 10
	backgroundRetryPercent = 5
	// defaultServiceSlots is assumed for a service that has not been published yet.
	defaultServiceSlots = 10
)

// Of returns the limits at one gate with the given slots for each customer in contracts.
func Of(contracts map[model.Customer]model.Contract, slots int) map[model.Customer]model.Limits {
	in := newGateInputs(contracts, slots)
	limits := make(map[model.Customer]model.Limits, len(contracts))
	for customer, contract := range contracts {
		limits[customer] = customerLimits(contract, in)
	}
	return limits
}

// The contracts that are used where a document ranks routes instead of naming customers.
const (
	rankPrefix = "rank-"
	// topWeight is the weight of rank 0; each further rank has half of the one before, at least 1.
	topWeight = 64
	// rankDeadlineMs bounds calls whose route sets no timeout; routes of a document always set one.
	rankDeadlineMs = 60_000
)

// RankCustomer returns the customer under which all routes of one rank have their contract.
func RankCustomer(rank int) model.Customer {
	return model.Customer(rankPrefix + strconv.Itoa(rank))
}

// RankContracts returns a contract for each rank among the routes.
func RankContracts(routes []model.HostRoute) map[model.Customer]model.Contract {
	contracts := map[model.Customer]model.Contract{}
	for _, route := range routes {
		customer := RankCustomer(route.Rank)
		contracts[customer] = model.Contract{
			Customer:   customer,
			Weight:     max(1, topWeight>>min(route.Rank, topWeight)),
			Tier:       model.Standard,
			DeadlineMs: rankDeadlineMs,
			LongestMs:  rankDeadlineMs,
		}
	}
	return contracts
}

// gateInputs are the inputs that the limits of all customers at one gate share.
type gateInputs struct {
	// slots is at least 1.
	slots int
	// longSlots is how many of them long work may hold; at least 1.
	longSlots int
	// totalWeight sums the weights of the standard contracts.
	totalWeight int
}

func newGateInputs(contracts map[model.Customer]model.Contract, slots int) gateInputs {
	if slots < 1 {
		slots = defaultServiceSlots
	}
	total := 0
	for _, contract := range contracts {
		if contract.Tier == model.Standard {
			total += weightOf(contract)
		}
	}
	return gateInputs{slots: slots, longSlots: max(1, slots/longSlotsDivisor), totalWeight: total}
}

// guaranteedSlots returns the number of slots that guarantees divide among customers: long work never takes them.
func (in gateInputs) guaranteedSlots() int { return in.slots - in.longSlots }

func customerLimits(contract model.Contract, in gateInputs) model.Limits {
	limits := model.Limits{
		Weight:   weightOf(contract),
		Deadline: time.Duration(contract.DeadlineMs) * time.Millisecond,
		Longest:  time.Duration(contract.LongestMs) * time.Millisecond,
	}
	if contract.Tier == model.Background {
		limits.Queue = in.slots * backgroundQueuePerSlot
		limits.LongSlots = max(1, in.longSlots-1)
		limits.RetryPercent = backgroundRetryPercent
		return limits
	}
	limits.Guaranteed = limits.Weight * in.guaranteedSlots() * millislotsPerSlot / in.totalWeight
	limits.Queue = in.slots * standardQueuePerSlot
	limits.LongSlots = in.longSlots
	limits.RetryPercent = standardRetryPercent
	return limits
}

func weightOf(contract model.Contract) int { return max(1, contract.Weight) }
