// Package stale remembers listed instances that no longer run: the upstream in their place has refused a call that was
// meant for them. Until the instance list follows, more calls for them would only be refused as well.
package stale

import (
	"sync"
	"time"

	"comfreytack/core/model"
)

const (
	// Lifetime is how long a refusal is remembered. After that one call finds out whether it still holds.
	Lifetime = 5 * time.Second
	// maxUpstreams bounds the upstreams that are remembered.
	maxUpstreams = 4096
)

// Memory is what one daemon has learnt. Its zero value remembers nothing and is ready for use. It is safe for concurrent
// use.
type Memory struct {
	mu       sync.Mutex
	upstream map[model.UpstreamName]refusal
}

// refusal says that the upstream of a name is not the given instance.
type refusal struct {
	instance model.InstanceID
	until    time.Time
}

// Learn records how a call for an instance failed. Only an upstream's own word counts, first-hand or as its gate
// remembers it: a gate whose instance list is older than the caller's refuses too. A gate never passes its own refusals,
// which would prolong what they follow from.
func (m *Memory) Learn(now time.Time, name model.UpstreamName, instance model.InstanceID, reason model.Reason) {
	if instance == "" || (reason != model.InstanceRefused && reason != model.InstanceStale) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.upstream == nil {
		m.upstream = map[model.UpstreamName]refusal{}
	}
	if len(m.upstream) >= maxUpstreams {
		m.dropExpired(now)
	}
	if len(m.upstream) < maxUpstreams {
		m.upstream[name] = refusal{instance: instance, until: now.Add(Lifetime)}
	}
}

// Refuses reports whether the upstream is known not to be the instance that the list has under its name.
func (m *Memory) Refuses(now time.Time, name model.UpstreamName, instance model.InstanceID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, found := m.upstream[name]
	return found && known.instance == instance && known.until.After(now)
}

func (m *Memory) dropExpired(now time.Time) {
	for name, known := range m.upstream {
		if !known.until.After(now) {
			delete(m.upstream, name)
		}
	}
}
