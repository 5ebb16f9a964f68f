// Package check decides whether published values may come into force.
//
// The daemon asks it for each change and cftctl asks it offline, so that both give the same answer.
// A value is taken or refused as a whole:
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
)

// The bounds of published values.
const (
	// MaxValueBytes is the largest value that the platform holds.
	MaxValueBytes  = 1 << 20
	maxNameBytes   = 128
	maxWeight      = 1000
	maxDeadlineMs  = 600_000
	maxLongestMs   = 24 * 3600 * 1000
	maxSlots       = 1000
	maxConnections = 100_000
	// leastShedStatus and mostShedStatus bound what an upstream may refuse with.
	leastShedStatus = 400
	mostShedStatus  = 599
)

// daemonStatuses are the HTTP statuses of daemons' refusals and failures.
var daemonStatuses = []int{400, 403, 404, 409, 413, 429, 431, 500, 501, 502, 503, 504}

// rule is a condition on one field of a decoded value. A broken one has a field.
type rule struct {
	field   string
	found   string
	allowed string
}

// Contract decodes and checks the value of "contracts/CUSTOMER".
func Contract(customer model.Customer, raw []byte) (model.Contract, *strict.Fault) {
	return decode(ContractPrefix+string(customer), raw, func(contract *model.Contract) rule {
		return contractRules(customer, contract)
	})
}

// Service decodes and checks the value of "services/NAME".
func Service(name model.ServiceName, raw []byte) (model.Service, *strict.Fault) {
	return decode(ServicePrefix+string(name), raw, func(service *model.Service) rule {
		return serviceRules(name, service)
	})
}

// Mark decodes and checks the value of "marks/UPSTREAM".
func Mark(upstream model.UpstreamName, raw []byte) (model.Mark, *strict.Fault) {
	return decode(MarkPrefix+string(upstream), raw, func(mark *model.Mark) rule {
		return unless(mark.Incarnation > 0, "incarnation", "0", "at least 1")
	})
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
	case key == DocumentKey:
		_, fault = Document(key, raw)
	default:
		fault = UnknownKey(key)
	}
	return fault
}

// UnknownKey returns the fault of a key that no part of the system reads.
func UnknownKey(key string) *strict.Fault {
	return &strict.Fault{File: key, Line: 1, Found: "an unknown kind of key", Allowed: "contracts/CUSTOMER, services/NAME, marks/UPSTREAM, instances/ID, document"}
}

// decode reads raw strictly and then applies the rules.
func decode[T any](key string, raw []byte, rules func(*T) rule) (T, *strict.Fault) {
	var value, zero T
	if len(raw) > MaxValueBytes {
		return zero, &strict.Fault{File: key, Line: 1, Found: fmt.Sprintf("%d bytes", len(raw)), Allowed: fmt.Sprintf("at most %d", MaxValueBytes)}
	}
	if err := strict.Decode(key, raw, &value); err != nil {
		var fault *strict.Fault
		if errors.As(err, &fault) {
			return zero, fault
		}
		return zero, &strict.Fault{File: key, Line: 1, Found: err.Error()}
	}
	if broken := rules(&value); broken.field != "" {
		return zero, strict.At(key, raw, broken.field, broken.found, broken.allowed)
	}
	return value, nil
}

func contractRules(customer model.Customer, c *model.Contract) rule {
	return first(
		same("customer", string(c.Customer), string(customer)),
		nameRule("customer", string(c.Customer)),
		inRange("weight", c.Weight, 1, maxWeight),
		inRange("deadline_ms", c.DeadlineMs, 1, maxDeadlineMs),
		inRange("longest_ms", c.LongestMs, c.DeadlineMs, maxLongestMs),
	)
}

func serviceRules(name model.ServiceName, s *model.Service) rule {
	rules := []rule{
		same("name", string(s.Name), string(name)),
		nameRule("name", string(s.Name)),
		inRange("slots", s.Slots, 1, maxSlots),
		inRange("connections", s.Connections, s.Slots, maxConnections),
		shedRule(s.ShedStatus),
	}
	for i, route := range s.Routes {
		place := fmt.Sprintf("routes.%d.path_prefix", i)
		rules = append(rules, unless(strings.HasPrefix(route.PathPrefix, "/"), place, strconv.Quote(route.PathPrefix), "a path that starts with a slash"))
	}
	return first(append(rules, upstreamRules(s))...)
}

// shedRule keeps out the statuses of daemons' own refusals. An upstream that passes one on from a service
// that it calls has worked by then, and would be taken for one that refused before any work.
func shedRule(status int) rule {
	const allowed = "0, or a status from 400 to 599 that daemons never send themselves, such as 529"
	inside := status >= leastShedStatus && status <= mostShedStatus
	free := status == 0 || inside && !slices.Contains(daemonStatuses, status)
	return unless(free, "shed_status", strconv.Itoa(status), allowed)
}

func upstreamRules(s *model.Service) rule {
	names := make(map[model.UpstreamName]bool, len(s.Upstreams))
	for i, upstream := range s.Upstreams {
		place := fmt.Sprintf("upstreams.%d.", i)
		broken := first(
			unless(!names[upstream.Name], place+"name", fmt.Sprintf("%q twice", upstream.Name), "each name once"),
			same(place+"service", string(upstream.Service), string(s.Name)),
			upstreamRule(place, upstream),
		)
		if broken.field != "" {
			return broken
		}
		names[upstream.Name] = true
	}
	return rule{}
}

// upstreamRule checks what every upstream has, whether it is published alone or in a list.
func upstreamRule(place string, upstream model.Upstream) rule {
	return first(
		nameRule(place+"name", string(upstream.Name)),
		unless(upstream.Incarnation > 0, place+"incarnation", "0", "at least 1"),
		nameRule(place+"failure_domain", string(upstream.FailureDomain)),
		addressRule(place+"gate", upstream.Gate),
		addressRule(place+"peer", upstream.Peer),
	)
}

// nameRule writes its texts only for a name that breaks it, since a document has thousands that do not.
func nameRule(field, name string) rule {
	if name != "" && len(name) <= maxNameBytes {
		return rule{}
	}
	return rule{field: field, found: strconv.Quote(name), allowed: fmt.Sprintf("a name of 1 to %d bytes", maxNameBytes)}
}

func same(field, found, want string) rule {
	return unless(found == want, field, strconv.Quote(found), strconv.Quote(want))
}

func addressRule(field string, address model.Address) rule {
	found, allowed := strict.Address(string(address))
	return unless(found == "", field, found, allowed)
}

func inRange(field string, value, low, high int) rule {
	if low <= value && value <= high {
		return rule{}
	}
	return rule{field: field, found: strconv.Itoa(value), allowed: fmt.Sprintf("from %d to %d", low, high)}
}

func unless(holds bool, field, found, allowed string) rule {
	if holds {
		return rule{}
	}
	return rule{field: field, found: found, allowed: allowed}
}

// within names the place of a rule's field, if the rule is broken.
func within(broken rule, format string, index int) rule {
	if broken.field != "" {
		broken.field = fmt.Sprintf(format, index) + broken.field
	}
	return broken
}

func first(rules ...rule) rule {
	for _, broken := range rules {
		if broken.field != "" {
			return broken
		}
	}
	return rule{}
}
