// Package setup reads and checks the settings file of a daemon.
package setup

import (
	"fmt"
	"os"
	"strconv"

	"comfreytack/core/model"
	"comfreytack/core/strict"
)

const (
	defaultStopMs = 30_000
	maxStopMs     = 3_600_000

	defaultMemoryMB    = 256
	minMemoryMB        = 32
	maxMemoryMB        = 1 << 20
	defaultDescriptors = 4096
	minDescriptors     = 256
	maxDescriptors     = 1 << 20
	maxBandwidthMbps   = 10_000_000

	maxOvershoot = 100
	maxTolerance = 10_000
)

// Settings configures one daemon at its start. No setting changes a customer's limits.
type Settings struct {
	// Name is the upstream's name in the instance list; not empty.
	Name model.UpstreamName `json:"name"`
	// Service is the service that the upstream runs; not empty.
	Service model.ServiceName `json:"service"`
	// Region and FailureDomain locate the server; FailureDomain is not empty.
	Region        model.Region        `json:"region,omitempty"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	// Callers, Gate, Peer and Operators are IP addresses and ports to listen on; all different.
	Callers   model.Address `json:"callers"`
	Gate      model.Address `json:"gate"`
	Peer      model.Address `json:"peer"`
	Operators model.Address `json:"operators"`
	// Upstream is the address of the upstream that the daemon serves.
	Upstream model.Address `json:"upstream"`
	// Platform has the addresses of the configuration service; at least one.
	Platform []model.Address `json:"platform"`
	// Seeds are the peer addresses to contact first; may be empty for the first daemon of a deployment.
	Seeds []model.Address `json:"seeds,omitempty"`
	// Calls names the services that callers of this daemon use; the daemon's own is always included.
	Calls []model.ServiceName `json:"calls,omitempty"`
	// StopMs is the longest wait for requests in flight after a stop signal; from 0 to 3600000, in ms.
	StopMs float64 `json:"stop_ms,omitempty"`
	// Limits has what the operating system lets this process use.
	Limits Limits `json:"limits,omitzero"`
	// RetryShare is the largest share of a service's calls that all daemons together may send once more, from 0 to 1; zero
	// means as the customers' contracts say.
	RetryShare float64 `json:"retry_share,omitzero"`
	// Warmup bounds how far a cold upstream may get more than it tolerates; its zero value sets no bounds.
	Warmup Warmup `json:"warmup,omitzero"`
	// Log configures the log output.
	Log Log `json:"log,omitempty"`
}

// Limits has what the operating system and the machine let the daemon's process use. The daemon stays below each.
type Limits struct {
	// MemoryMB is the memory of the process in MB of 2^20 bytes, from 32; zero means defaultMemoryMB.
	MemoryMB int `json:"memory_mb,omitzero"`
	// Descriptors is how many files and sockets the process may have open, from 256; zero means defaultDescriptors.
	Descriptors int `json:"descriptors,omitzero"`
	// BandwidthMbps is the bandwidth of the machine's link in Mbit/s; zero means that it is not known.
	BandwidthMbps float64 `json:"bandwidth_mbps,omitzero"`
}

// Warmup says how many requests a cold upstream may get in any second.
type Warmup struct {
	// Overshoot multiplies what the upstream tolerates a second; from 1 to 100, or zero when no bounds are set.
	Overshoot float64 `json:"overshoot"`
	// Tolerance is added to that; from 0 to 10000.
	Tolerance float64 `json:"tolerance"`
}

// Log configures the log output.
type Log struct {
	// Format is "text" or "json"; empty means text.
	Format string `json:"format,omitempty"`
	// Level is "debug", "info", "warn" or "error"; empty means info.
	Level string `json:"level,omitempty"`
}

// Read reads and checks the settings file. The error is a *strict.Fault.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &strict.Fault{File: file, Found: err.Error(), Allowed: "a readable JSON file"}
	}
	return Parse(file, data)
}

// Parse decodes and checks data as if it had been read from file. The error is a *strict.Fault.
func Parse(file string, data []byte) (Settings, error) {
	settings := Settings{StopMs: defaultStopMs}
	if err := strict.Decode(file, data, &settings); err != nil {
		return Settings{}, err
	}
	settings.Limits = settings.Limits.OrDefault()
	for _, check := range []func(Settings) (field, found, allowed string){
		checkNames, checkListeners, checkTargets, checkCalls, checkStop, checkLimits, checkRetries, checkWarmup, checkLog,
	} {
		if field, found, allowed := check(settings); field != "" {
			return Settings{}, strict.FaultAt(file, data, field, found, allowed)
		}
	}
	return settings, nil
}

func checkNames(s Settings) (field, found, allowed string) {
	switch {
	case s.Name == "":
		return "name", "nothing", "the upstream's name in the instance list"
	case s.Service == "":
		return "service", "nothing", "the name of the upstream's service"
	case s.FailureDomain == "":
		return "failure_domain", "nothing", "the failure domain of this server"
	}
	return "", "", ""
}

func checkListeners(s Settings) (field, found, allowed string) {
	seen := map[model.Address]string{}
	for _, listener := range []struct {
		field   string
		address model.Address
	}{
		{"callers", s.Callers},
		{"gate", s.Gate},
		{"peer", s.Peer},
		{"operators", s.Operators},
		{"upstream", s.Upstream},
	} {
		if found, allowed := strict.Address(string(listener.address)); found != "" {
			return listener.field, found, allowed
		}
		if other, duplicate := seen[listener.address]; duplicate {
			return listener.field, fmt.Sprintf("%q, which is also %s", listener.address, other), "an address of its own"
		}
		seen[listener.address] = listener.field
	}
	return "", "", ""
}

func checkTargets(s Settings) (field, found, allowed string) {
	if len(s.Platform) == 0 {
		return "platform", "no address", "at least one address of the configuration service"
	}
	for _, list := range []struct {
		field     string
		addresses []model.Address
	}{
		{"platform", s.Platform},
		{"seeds", s.Seeds},
	} {
		for i, address := range list.addresses {
			if found, allowed := strict.Address(string(address)); found != "" {
				return fmt.Sprintf("%s.%d", list.field, i), found, allowed
			}
		}
	}
	return "", "", ""
}

func checkCalls(s Settings) (field, found, allowed string) {
	seen := map[model.ServiceName]bool{}
	for i, service := range s.Calls {
		if service == "" || seen[service] {
			return fmt.Sprintf("calls.%d", i), strconv.Quote(string(service)), "each service once"
		}
		seen[service] = true
	}
	return "", "", ""
}

func checkStop(s Settings) (field, found, allowed string) {
	if s.StopMs < 0 || s.StopMs > maxStopMs {
		return "stop_ms", strconv.FormatFloat(s.StopMs, 'g', -1, 64), fmt.Sprintf("0 to %d milliseconds", maxStopMs)
	}
	return "", "", ""
}

func checkLimits(s Settings) (field, found, allowed string) {
	for _, limit := range []struct {
		field           string
		value, min, max int
	}{
		{"limits.memory_mb", s.Limits.MemoryMB, minMemoryMB, maxMemoryMB},
		{"limits.descriptors", s.Limits.Descriptors, minDescriptors, maxDescriptors},
	} {
		if limit.value < limit.min || limit.value > limit.max {
			return limit.field, strconv.Itoa(limit.value), fmt.Sprintf("%d to %d", limit.min, limit.max)
		}
	}
	if s.Limits.BandwidthMbps < 0 || s.Limits.BandwidthMbps > maxBandwidthMbps {
		found := strconv.FormatFloat(s.Limits.BandwidthMbps, 'g', -1, 64)
		return "limits.bandwidth_mbps", found, fmt.Sprintf("0 to %d Mbit/s", maxBandwidthMbps)
	}
	return "", "", ""
}

func checkRetries(s Settings) (field, found, allowed string) {
	if s.RetryShare < 0 || s.RetryShare > 1 {
		return "retry_share", strconv.FormatFloat(s.RetryShare, 'g', -1, 64), "0 to 1"
	}
	return "", "", ""
}

func checkWarmup(s Settings) (field, found, allowed string) {
	w := s.Warmup
	if w.Overshoot != 0 && (w.Overshoot < 1 || w.Overshoot > maxOvershoot) {
		return "warmup.overshoot", strconv.FormatFloat(w.Overshoot, 'g', -1, 64), fmt.Sprintf("0, or 1 to %d", maxOvershoot)
	}
	if w.Tolerance < 0 || w.Tolerance > maxTolerance {
		return "warmup.tolerance", strconv.FormatFloat(w.Tolerance, 'g', -1, 64), fmt.Sprintf("0 to %d", maxTolerance)
	}
	return "", "", ""
}

func checkLog(s Settings) (field, found, allowed string) {
	switch s.Log.Format {
	case "", "text", "json":
	default:
		return "log.format", strconv.Quote(s.Log.Format), "text, json"
	}
	switch s.Log.Level {
	case "", "debug", "info", "warn", "error":
	default:
		return "log.level", strconv.Quote(s.Log.Level), "debug, info, warn, error"
	}
	return "", "", ""
}
