package check

import (
	"fmt"
	"strconv"
	"strings"

	"comfreytack/core/model"
	"comfreytack/core/strict"
)

// The bounds of documents. They keep numbers computable and refuse no document that anybody has a use for, since a
// refusal keeps all of its changes out of force.
const (
	// MaxDocumentBytes is the size of the largest document. A front end may translate a published value of MaxValueBytes
	// into a document with longer names of fields, and with fields that the value leaves out.
	MaxDocumentBytes = 4 * MaxValueBytes

	maxTargetWeight = 1_000_000
	// maxNumber is the largest number of all other fields. As a time in ms it is 34 years.
	maxNumber = 1<<40 - 1
)

// Document decodes and checks the value of "document".
func Document(_ string, raw []byte) (model.Document, *strict.Fault) {
	return decode(DocumentKey, raw, MaxDocumentBytes, documentRules)
}

// Instance decodes and checks the value of "instances/ID".
func Instance(id model.InstanceID, raw []byte) (model.Upstream, *strict.Fault) {
	return decode(InstancePrefix+string(id), raw, MaxValueBytes, func(upstream *model.Upstream) violation {
		return firstViolation(
			equalRule("instance", string(upstream.Instance), string(id)),
			nameRule("service", string(upstream.Service)),
			rangeRule("slots", upstream.Slots, 1, maxSlots),
			upstreamRule("", *upstream),
		)
	})
}

func documentRules(document *model.Document) violation {
	violations := []violation{
		require(document.Version > 0, "version", "0", "at least 1"),
		require(document.Intake.MaxBodyBytes > 0, "intake.max_body_bytes", strconv.FormatInt(document.Intake.MaxBodyBytes, 10), "at least 1"),
		rangeRule("intake.max_head_bytes", document.Intake.MaxHeadBytes, 0, maxNumber),
		rangeRule("intake.head_timeout_ms", document.Intake.HeadTimeoutMs, 0, maxNumber),
		rangeRule("intake.idle_timeout_ms", document.Intake.IdleTimeoutMs, 0, maxNumber),
	}
	services := map[model.ServiceName]bool{}
	for i, service := range document.Services {
		prefix := fmt.Sprintf("services.%d.", i)
		violations = append(violations,
			require(service.Name != "", prefix+"name", "an empty name", "a name"),
			require(!services[service.Name], prefix+"name", fmt.Sprintf("%q twice", service.Name), "each name once"),
			rangeRule(prefix+"connections", service.Connections, 1, maxNumber),
			require(strings.HasPrefix(service.HealthPath, "/"), prefix+"health_path", strconv.Quote(service.HealthPath), "a path that starts with a slash"),
			warmupRule(prefix, service.WarmupPerS, service.WarmupMs),
		)
		services[service.Name] = true
	}
	return firstViolation(append(violations, routeRules(document.Routes, services))...)
}

func routeRules(routes []model.HostRoute, services map[model.ServiceName]bool) violation {
	type hostPrefix struct{ host, prefix string }
	seen := make(map[hostPrefix]bool, len(routes))
	for i, route := range routes {
		key := hostPrefix{strings.ToLower(route.Host), route.PathPrefix}
		broken := firstViolation(
			require(route.Name != "", "name", "an empty name", "a name"),
			require(route.Host != "", "host", "an empty name", "a name"),
			prefixRule(route.PathPrefix, seen[key]),
			rangeRule("timeout_ms", route.TimeoutMs, 1, maxNumber),
			rangeRule("target_ms", route.TargetMs, 1, maxNumber),
			rangeRule("rank", route.Rank, 0, maxNumber),
			rangeRule("attempts", route.Attempts, 1, maxNumber),
			targetRules(route.Targets, services),
		)
		if broken.field != "" {
			return withIndex(broken, "routes.%d.", i)
		}
		seen[key] = true
	}
	return violation{}
}

func prefixRule(prefix string, duplicate bool) violation {
	switch {
	case !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/"):
		return violation{field: "path_prefix", found: strconv.Quote(prefix), allowed: "a path that begins and ends with a slash"}
	case duplicate:
		return violation{field: "path_prefix", found: strconv.Quote(prefix) + " twice", allowed: "each host and prefix once"}
	}
	return violation{}
}

func targetRules(targets []model.Target, services map[model.ServiceName]bool) violation {
	for i, target := range targets {
		broken := rangeRule("weight", target.Weight, 1, maxTargetWeight)
		if !services[target.Service] {
			broken = violation{field: "service", found: strconv.Quote(string(target.Service)), allowed: "a service of the document"}
		}
		if broken.field != "" {
			return withIndex(broken, "targets.%d.", i)
		}
	}
	return require(len(targets) > 0, "targets", "no target", "at least one")
}
