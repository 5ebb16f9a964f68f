// Package limits derives every limit of a customer from the contracts in force.
package limits

import (
	"time"

	"comfreytack/core/model"
)

const (
	millislotsPerSlot   = 1000
	queuePerSlot        = 4
	retryPercent        = 10
	longSlotsShare      = 3
	defaultServiceSlots = 10
)

// Of returns the limits at one gate with the given slots for each customer in contracts.
func Of(contracts map[model.Customer]model.Contract, slots int) map[model.Customer]model.Limits {
	if slots < 1 {
		slots = defaultServiceSlots
	}
	total := 0
	for _, contract := range contracts {
		if contract.Tier == model.Standard {
			total += contract.Weight
		}
	}
	limits := make(map[model.Customer]model.Limits, len(contracts))
	for customer, contract := range contracts {
		limits[customer] = one(contract, total, slots)
	}
	return limits
}

func one(contract model.Contract, totalWeight, slots int) model.Limits {
	guaranteed := 0
	if contract.Tier == model.Standard {
		guaranteed = contract.Weight * slots * millislotsPerSlot / totalWeight
	}
	return model.Limits{
		Guaranteed:   guaranteed,
		Weight:       max(1, contract.Weight),
		Queue:        max(1, slots*queuePerSlot),
		LongSlots:    max(1, slots/longSlotsShare),
		RetryPercent: retryPercent,
		Deadline:     time.Duration(contract.DeadlineMs) * time.Millisecond,
		Longest:      time.Duration(contract.LongestMs) * time.Millisecond,
	}
}
