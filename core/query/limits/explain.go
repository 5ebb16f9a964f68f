package limits

import (
	"fmt"

	"comfreytack/core/model"
)

// Explanation shows how each limit of one customer at one gate is derived.
type Explanation struct {
	// Customer holds the contract.
	Customer model.Customer `json:"customer"`
	// Contract is the contract in force.
	Contract model.Contract `json:"contract"`
	// Limits are what Of returns for the customer.
	Limits model.Limits `json:"limits"`
	// Rows has one row for each field of Limits.
	Rows []Row `json:"rows"`
}

// Row explains one limit.
type Row struct {
	// Limit is the field's name in snake case, without its unit.
	Limit string `json:"limit"`
	// Value and Unit give the limit as a number.
	Value int64  `json:"value"`
	Unit  string `json:"unit"`
	// Formula computes Value from Inputs, for example "weight * guaranteed_slots * 1000 / total_weight".
	Formula string `json:"formula"`
	// Inputs has the value of each name in Formula.
	Inputs []Input `json:"inputs"`
	// Sentence says in words what the limit does and where it comes from.
	Sentence string `json:"sentence"`
}

// Input is one named value of a formula.
type Input struct {
	// Name is the name used in the formula.
	Name string `json:"name"`
	// Value is the value used for it.
	Value int64 `json:"value"`
	// Source is where the value comes from: "contract", "contracts", "service" or "rule".
	Source string `json:"source"`
}

// Explain returns the explanation for one customer, or false when it has no contract.
func Explain(contracts map[model.Customer]model.Contract, slots int, customer model.Customer) (Explanation, bool) {
	contract, found := contracts[customer]
	if !found {
		return Explanation{}, false
	}
	in := newGateInputs(contracts, slots)
	limits := customerLimits(contract, in)
	return Explanation{
		Customer: customer,
		Contract: contract,
		Limits:   limits,
		Rows: []Row{
			guaranteedRow(limits, in, contract.Tier),
			weightRow(limits),
			queueRow(limits, in, contract.Tier),
			longSlotsRow(limits, in, contract.Tier),
			retryRow(limits, contract.Tier),
			deadlineRow(limits, contract),
			longestRow(limits, contract),
		},
	}, true
}

func guaranteedRow(limits model.Limits, in gateInputs, tier model.Tier) Row {
	row := Row{
		Limit:    "guaranteed",
		Value:    int64(limits.Guaranteed),
		Unit:     "millislots",
		Formula:  "0",
		Sentence: "A background contract is guaranteed nothing: it runs in slots that no standard request can use.",
	}
	if tier == model.Background {
		return row
	}
	row.Formula = "weight * (slots - long_slots) * 1000 / total_weight"
	row.Inputs = []Input{
		contractInput("weight", limits.Weight),
		{Name: "slots", Value: int64(in.slots), Source: "service"},
		{Name: "long_slots", Value: int64(in.longSlots), Source: "rule"},
		{Name: "total_weight", Value: int64(in.totalWeight), Source: "contracts"},
	}
	row.Sentence = "The customer's share by weight of the slots that long work may not take; idle slots are lent on top."
	return row
}

func weightRow(limits model.Limits) Row {
	return Row{
		Limit:    "weight",
		Value:    int64(limits.Weight),
		Unit:     "",
		Formula:  "weight",
		Inputs:   []Input{contractInput("weight", limits.Weight)},
		Sentence: "While requests wait, customers share slot time in the ratio of their weights.",
	}
}

func queueRow(limits model.Limits, in gateInputs, tier model.Tier) Row {
	perSlot := standardQueuePerSlot
	if tier == model.Background {
		perSlot = backgroundQueuePerSlot
	}
	return Row{
		Limit:   "queue",
		Value:   int64(limits.Queue),
		Unit:    "requests",
		Formula: "slots * queue_per_slot",
		Inputs: []Input{
			{Name: "slots", Value: int64(in.slots), Source: "service"},
			{Name: "queue_per_slot", Value: int64(perSlot), Source: "rule"},
		},
		Sentence: fmt.Sprintf("Bounds the customer's waiting requests of each class; %s contracts get %d for each slot.", tier, perSlot),
	}
}

func longSlotsRow(limits model.Limits, in gateInputs, tier model.Tier) Row {
	row := Row{
		Limit:   "long_slots",
		Value:   int64(limits.LongSlots),
		Unit:    "slots",
		Formula: "max(1, slots / long_slots_divisor)",
		Inputs: []Input{
			{Name: "slots", Value: int64(in.slots), Source: "service"},
			{Name: "long_slots_divisor", Value: longSlotsDivisor, Source: "rule"},
		},
		Sentence: "All long work at the gate together may hold this many slots, so that short work always has the rest.",
	}
	if tier == model.Background {
		row.Formula = "max(1, max(1, slots / long_slots_divisor) - 1)"
		row.Sentence = "Long background work starts only below this many long slots, so that one is left for standard contracts where there are several."
	}
	return row
}

func retryRow(limits model.Limits, tier model.Tier) Row {
	return Row{
		Limit:    "retry_percent",
		Value:    int64(limits.RetryPercent),
		Unit:     "percent",
		Formula:  "retry_percent",
		Inputs:   []Input{{Name: "retry_percent", Value: int64(limits.RetryPercent), Source: "rule"}},
		Sentence: fmt.Sprintf("Bounds retries as a share of first attempts; follows from the tier, which is %s.", tier),
	}
}

func deadlineRow(limits model.Limits, contract model.Contract) Row {
	return Row{
		Limit:    "deadline",
		Value:    limits.Deadline.Milliseconds(),
		Unit:     "ms",
		Formula:  "deadline_ms",
		Inputs:   []Input{contractInput("deadline_ms", contract.DeadlineMs)},
		Sentence: "Bounds short calls that name no shorter time; a request that cannot be answered by then is refused when it arrives.",
	}
}

func longestRow(limits model.Limits, contract model.Contract) Row {
	return Row{
		Limit:    "longest",
		Value:    limits.Longest.Milliseconds(),
		Unit:     "ms",
		Formula:  "longest_ms",
		Inputs:   []Input{contractInput("longest_ms", contract.LongestMs)},
		Sentence: "Bounds long calls, and how long a leaving upstream waits for them.",
	}
}

func contractInput(name string, value int) Input {
	return Input{Name: name, Value: int64(value), Source: "contract"}
}
