package check

import (
	"fmt"
	"strconv"
	"strings"

	"comfreytack/core/model"
	"comfreytack/core/strict"
)

const (
	maxTimeoutMs    = 600_000
	maxRank         = 1000
	maxAttempts     = 100
	maxTargetWeight = 1_000_000
	maxBodyBytes    = 1 << 40
	maxHeadBytes    = 1 << 30

	maxIntakeTimeoutMs = 24 * 3600 * 1000
)

// Document decodes and checks the value of "document".
func Document(_ string, raw []byte) (model.Document, *strict.Fault) {
	return decode(DocumentKey, raw, documentRules)
}

// Instance decodes and checks the value of "instances/ID".
func Instance(id model.InstanceID, raw []byte) (model.Upstream, *strict.Fault) {
	return decode(InstancePrefix+string(id), raw, func(upstream *model.Upstream) violation {
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
		require(document.Intake.MaxBodyBytes > 0 && document.Intake.MaxBodyBytes <= maxBodyBytes, "intake.max_body_bytes",
			strconv.FormatInt(document.Intake.MaxBodyBytes, 10), fmt.Sprintf("from 1 to %d", int64(maxBodyBytes))),
		rangeRule("intake.max_head_bytes", document.Intake.MaxHeadBytes, 0, maxHeadBytes),
		rangeRule("intake.head_timeout_ms", document.Intake.HeadTimeoutMs, 0, maxIntakeTimeoutMs),
		rangeRule("intake.idle_timeout_ms", document.Intake.IdleTimeoutMs, 0, maxIntakeTimeoutMs),
	}
	services := map[model.ServiceName]bool{}
	for i, service := range document.Services {
		prefix := fmt.Sprintf("services.%d.", i)
		violations = append(violations,
			nameRule(prefix+"name", string(service.Name)),
			require(!services[service.Name], prefix+"name", fmt.Sprintf("%q twice", service.Name), "each name once"),
			rangeRule(prefix+"connections", service.Connections, 1, maxConnections),
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
			nameRule("name", route.Name),
			nameRule("host", route.Host),
			prefixRule(route.PathPrefix, seen[key]),
			rangeRule("timeout_ms", route.TimeoutMs, 1, maxTimeoutMs),
			rangeRule("target_ms", route.TargetMs, 1, maxTimeoutMs),
			rangeRule("rank", route.Rank, 0, maxRank),
			rangeRule("attempts", route.Attempts, 1, maxAttempts),
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
