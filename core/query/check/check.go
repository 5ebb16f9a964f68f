// Package check validates published values before they come into force.
//
// The daemon calls it for each change and cftctl calls it offline, so that both give the same result.
// A value is accepted or rejected as a whole:
//
//	{"customer":"a",  ->  contracts/a:2: weight: found 0; allowed: from 1 to 1000
//	 "weight":0, ...}
package check

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"comfreytack/core/model"
	"comfreytack/core/strict"
)

// The prefixes of published keys.
const (
	ContractPrefix = "contracts/"
	ServicePrefix  = "services/"
	MarkPrefix     = "marks/"
	InstancePrefix = "instances/"
	DocumentKey    = "document"

	EvacuationPrefix = "evacuations/"
)

// The bounds of published values.
const (
	// MaxValueBytes is the size of the largest value that the platform stores.
	MaxValueBytes  = 1 << 20
	maxNameBytes   = 128
	maxWeight      = 1000
	maxDeadlineMs  = 600_000
	maxLongestMs   = 24 * 3600 * 1000
	maxSlots       = 1000
	maxConnections = 100_000
	maxWarmupPerS  = 1_000_000
	maxWarmupMs    = 3600 * 1000
	// minShedStatus and maxShedStatus bound the HTTP status with which an upstream refuses a request.
	minShedStatus = 400
	maxShedStatus = 599
)

// daemonStatuses are the HTTP statuses that daemons send themselves when they refuse or fail a request.
var daemonStatuses = []int{400, 403, 404, 409, 413, 429, 431, 500, 501, 502, 503, 504}

// violation describes a rule that a field of a decoded value breaks. It is the zero value when the rule holds.
type violation struct {
	field   string
	found   string
	allowed string
}

// Contract decodes and checks the value of "contracts/CUSTOMER".
func Contract(customer model.Customer, raw []byte) (model.Contract, *strict.Fault) {
	return decode(ContractPrefix+string(customer), raw, MaxValueBytes, func(contract *model.Contract) violation {
		return contractRules(customer, contract)
	})
}

// Service decodes and checks the value of "services/NAME".
func Service(name model.ServiceName, raw []byte) (model.Service, *strict.Fault) {
	return decode(ServicePrefix+string(name), raw, MaxValueBytes, func(service *model.Service) violation {
		return serviceRules(name, service)
	})
}

// Mark decodes and checks the value of "marks/UPSTREAM".
func Mark(upstream model.UpstreamName, raw []byte) (model.Mark, *strict.Fault) {
	return decode(MarkPrefix+string(upstream), raw, MaxValueBytes, func(mark *model.Mark) violation {
		return require(mark.Incarnation > 0, "incarnation", "0", "at least 1")
	})
}

// Evacuation decodes and checks the value of "evacuations/DOMAIN", which is {}.
func Evacuation(domain model.FailureDomain, raw []byte) (model.Evacuation, *strict.Fault) {
	key := EvacuationPrefix + string(domain)
	if broken := nameRule("", string(domain)); broken.allowed != "" {
		return model.Evacuation{}, &strict.Fault{File: key, Line: 1, Found: broken.found, Allowed: broken.allowed}
	}
	return decode(key, raw, MaxValueBytes, func(*model.Evacuation) violation { return violation{} })
}

// Value checks the value of any key, as cftctl does offline.
func Value(key string, raw []byte) *strict.Fault {
	var fault *strict.Fault
	switch {
	case strings.HasPrefix(key, ContractPrefix):
		_, fault = Contract(model.Customer(strings.TrimPrefix(key, ContractPrefix)), raw)
	case strings.HasPrefix(key, ServicePrefix):
		_, fault = Service(model.ServiceName(strings.TrimPrefix(key, ServicePrefix)), raw)
	case strings.HasPrefix(key, MarkPrefix):
		_, fault = Mark(model.UpstreamName(strings.TrimPrefix(key, MarkPrefix)), raw)
	case strings.HasPrefix(key, InstancePrefix):
		_, fault = Instance(model.InstanceID(strings.TrimPrefix(key, InstancePrefix)), raw)
	case strings.HasPrefix(key, EvacuationPrefix):
		_, fault = Evacuation(model.FailureDomain(strings.TrimPrefix(key, EvacuationPrefix)), raw)
	case key == DocumentKey:
		_, fault = Document(key, raw)
	default:
		fault = UnknownKey(key)
	}
	return fault
}

// UnknownKey returns the fault of a key that no part of the system reads.
func UnknownKey(key string) *strict.Fault {
	return &strict.Fault{File: key, Line: 1, Found: "an unknown kind of key", Allowed: "contracts/CUSTOMER, services/NAME, marks/UPSTREAM, instances/ID, evacuations/DOMAIN, document"}
}

// decode decodes raw, of at most maxBytes, strictly and then applies the rules, which return the first violation.
func decode[T any](key string, raw []byte, maxBytes int, rules func(*T) violation) (T, *strict.Fault) {
	var value, zero T
	if len(raw) > maxBytes {
		return zero, &strict.Fault{File: key, Line: 1, Found: fmt.Sprintf("%d bytes", len(raw)), Allowed: fmt.Sprintf("at most %d", maxBytes)}
	}
	if err := strict.Decode(key, raw, &value); err != nil {
		var fault *strict.Fault
		if errors.As(err, &fault) {
			return zero, fault
		}
		return zero, &strict.Fault{File: key, Line: 1, Found: err.Error()}
	}
	if broken := rules(&value); broken.field != "" {
		return zero, strict.FaultAt(key, raw, broken.field, broken.found, broken.allowed)
	}
	return value, nil
}

func contractRules(customer model.Customer, c *model.Contract) violation {
	return firstViolation(
		equalRule("customer", string(c.Customer), string(customer)),
		nameRule("customer", string(c.Customer)),
		rangeRule("weight", c.Weight, 1, maxWeight),
		rangeRule("deadline_ms", c.DeadlineMs, 1, maxDeadlineMs),
		rangeRule("longest_ms", c.LongestMs, c.DeadlineMs, maxLongestMs),
	)
}

func serviceRules(name model.ServiceName, s *model.Service) violation {
	violations := []violation{
		equalRule("name", string(s.Name), string(name)),
		nameRule("name", string(s.Name)),
		rangeRule("slots", s.Slots, 1, maxSlots),
		rangeRule("connections", s.Connections, s.Slots, maxConnections),
		shedRule(s.ShedStatus),
		warmupRule("", s.WarmupPerS, s.WarmupMs),
	}
	for i, route := range s.Routes {
		field := fmt.Sprintf("routes.%d.path_prefix", i)
		violations = append(violations, require(strings.HasPrefix(route.PathPrefix, "/"), field, strconv.Quote(route.PathPrefix), "a path that starts with a slash"))
	}
	return firstViolation(append(violations, upstreamRules(s))...)
}

// shedRule rejects the statuses that daemons send themselves. An upstream may pass such a status on from a service
// that it calls after it has done work itself, and would be taken for one that refused before any work.
func shedRule(status int) violation {
	const allowed = "0, or a status from 400 to 599 that daemons never send themselves, such as 529"
	inBounds := status >= minShedStatus && status <= maxShedStatus
	valid := status == 0 || inBounds && !slices.Contains(daemonStatuses, status)
	return require(valid, "shed_status", strconv.Itoa(status), allowed)
}

func upstreamRules(s *model.Service) violation {
	names := make(map[model.UpstreamName]bool, len(s.Upstreams))
	for i, upstream := range s.Upstreams {
		prefix := fmt.Sprintf("upstreams.%d.", i)
		broken := firstViolation(
			require(!names[upstream.Name], prefix+"name", fmt.Sprintf("%q twice", upstream.Name), "each name once"),
			equalRule(prefix+"service", string(upstream.Service), string(s.Name)),
			upstreamRule(prefix, upstream),
		)
		if broken.field != "" {
			return broken
		}
		names[upstream.Name] = true
	}
	return violation{}
}

// upstreamRule checks the fields of every upstream, whether it is published alone or in a list.
func upstreamRule(prefix string, upstream model.Upstream) violation {
	return firstViolation(
		nameRule(prefix+"name", string(upstream.Name)),
		require(upstream.Incarnation > 0, prefix+"incarnation", "0", "at least 1"),
		nameRule(prefix+"failure_domain", string(upstream.FailureDomain)),
		addressRule(prefix+"gate", upstream.Gate),
		addressRule(prefix+"peer", upstream.Peer),
	)
}

// warmupRule checks the limits of cold upstreams.
func warmupRule(prefix string, perS float64, ms int) violation {
	return firstViolation(
		require(0 <= perS && perS <= maxWarmupPerS, prefix+"warmup_per_s", fmt.Sprint(perS), fmt.Sprintf("from 0 to %d", maxWarmupPerS)),
		rangeRule(prefix+"warmup_ms", ms, 0, maxWarmupMs),
	)
}

// nameRule formats its texts only for an invalid name, since a document has thousands of valid ones.
func nameRule(field, name string) violation {
	if name != "" && len(name) <= maxNameBytes {
		return violation{}
	}
	return violation{field: field, found: strconv.Quote(name), allowed: fmt.Sprintf("a name of 1 to %d bytes", maxNameBytes)}
}

func equalRule(field, found, want string) violation {
	return require(found == want, field, strconv.Quote(found), strconv.Quote(want))
}

func addressRule(field string, address model.Address) violation {
	found, allowed := strict.Address(string(address))
	return require(found == "", field, found, allowed)
}

func rangeRule(field string, value, low, high int) violation {
	if low <= value && value <= high {
		return violation{}
	}
	return violation{field: field, found: strconv.Itoa(value), allowed: fmt.Sprintf("from %d to %d", low, high)}
}

// require returns a violation unless the rule holds.
func require(holds bool, field, found, allowed string) violation {
	if holds {
		return violation{}
	}
	return violation{field: field, found: found, allowed: allowed}
}

// withIndex prepends the path of a list element to the field of a violation, if there is one.
func withIndex(broken violation, format string, index int) violation {
	if broken.field != "" {
		broken.field = fmt.Sprintf(format, index) + broken.field
	}
	return broken
}

func firstViolation(violations ...violation) violation {
	for _, broken := range violations {
		if broken.field != "" {
			return broken
		}
	}
	return violation{}
}
