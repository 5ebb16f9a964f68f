package check

import (
	"fmt"
	"strconv"
	"strings"

	"comfreytack/core/model"
	"comfreytack/core/strict"
)

const (
	maxTimeoutMs = 600_000
	maxRank      = 1000
	maxAttempts  = 100
	maxShare     = 1_000_000
	maxBodyBytes = 1 << 40
)

// Document decodes and checks the value of "document".
func Document(_ string, raw []byte) (model.Document, *strict.Fault) {
	return decode(DocumentKey, raw, documentRules)
}

// Instance decodes and checks the value of "instances/ID".
func Instance(id model.InstanceID, raw []byte) (model.Upstream, *strict.Fault) {
	return decode(InstancePrefix+string(id), raw, func(upstream *model.Upstream) rule {
		return first(
			same("instance", string(upstream.Instance), string(id)),
			nameRule("service", string(upstream.Service)),
			inRange("slots", upstream.Slots, 1, maxSlots),
			upstreamRule("", *upstream),
		)
	})
}

func documentRules(document *model.Document) rule {
	rules := []rule{
		unless(document.Version > 0, "version", "0", "at least 1"),
		unless(document.Intake.MaxBodyBytes > 0 && document.Intake.MaxBodyBytes <= maxBodyBytes, "intake.max_body_bytes",
			strconv.FormatInt(document.Intake.MaxBodyBytes, 10), fmt.Sprintf("from 1 to %d", int64(maxBodyBytes))),
	}
	services := map[model.ServiceName]bool{}
	for i, service := range document.Services {
		place := fmt.Sprintf("services.%d.", i)
		rules = append(rules,
			nameRule(place+"name", string(service.Name)),
			unless(!services[service.Name], place+"name", fmt.Sprintf("%q twice", service.Name), "each name once"),
			inRange(place+"connections", service.Connections, 1, maxConnections),
			unless(strings.HasPrefix(service.HealthPath, "/"), place+"health_path", strconv.Quote(service.HealthPath), "a path that starts with a slash"),
		)
		services[service.Name] = true
	}
	return first(append(rules, routeRules(document.Routes, services))...)
}

func routeRules(routes []model.HostRoute, services map[model.ServiceName]bool) rule {
	type match struct{ host, prefix string }
	seen := make(map[match]bool, len(routes))
	for i, route := range routes {
		key := match{strings.ToLower(route.Host), route.PathPrefix}
		broken := first(
			nameRule("name", route.Name),
			nameRule("host", route.Host),
			prefixRule(route.PathPrefix, seen[key]),
			inRange("timeout_ms", route.TimeoutMs, 1, maxTimeoutMs),
			inRange("target_ms", route.TargetMs, 1, maxTimeoutMs),
			inRange("rank", route.Rank, 0, maxRank),
			inRange("attempts", route.Attempts, 1, maxAttempts),
			targetRules(route.Targets, services),
		)
		if broken.field != "" {
			return within(broken, "routes.%d.", i)
		}
		seen[key] = true
	}
	return rule{}
}

func prefixRule(prefix string, twice bool) rule {
	switch {
	case !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/"):
		return rule{field: "path_prefix", found: strconv.Quote(prefix), allowed: "a path that begins and ends with a slash"}
	case twice:
		return rule{field: "path_prefix", found: strconv.Quote(prefix) + " twice", allowed: "each host and prefix once"}
	}
	return rule{}
}

func targetRules(targets []model.Target, services map[model.ServiceName]bool) rule {
	for i, target := range targets {
		broken := inRange("weight", target.Weight, 1, maxShare)
		if !services[target.Service] {
			broken = rule{field: "service", found: strconv.Quote(string(target.Service)), allowed: "a service of the document"}
		}
		if broken.field != "" {
			return within(broken, "targets.%d.", i)
		}
	}
	return unless(len(targets) > 0, "targets", "no target", "at least one")
}
