// Package budget limits retries to a share of first attempts, for each customer at each service.
//
// Buckets is safe for concurrent use.
package budget

import (
	"sync"
	"time"

	"comfreytack/core/model"
)

// Settings has the limits of Buckets.
type Settings struct {
	// MaxKeys is the maximum number of keys with a bucket of their own; at least 1. Further keys share one bucket.
	MaxKeys int
	// Idle is how long a bucket is kept without being used.
	Idle time.Duration
	// Reserve is the number of retries that a key has before its first call, so that a customer with few calls
	// can retry at all.
	Reserve int
	// Burst is the maximum number of retries that a key can accumulate; at least Reserve.
	Burst int
}

// DefaultSettings returns the settings of a daemon.
func DefaultSettings() Settings {
	return Settings{MaxKeys: 10_000, Idle: time.Minute, Reserve: 1, Burst: 20}
}

// Key identifies a retry budget: that of one customer at one service. Only calls with the same key add to it.
type Key struct {
	Customer model.Customer
	Service  model.ServiceName
}

// retryCost is the cost of one retry. Buckets count hundredths of a retry, so that percentages add up exactly.
const retryCost = 100

// Buckets holds a token bucket for each key that was used recently.
type Buckets struct {
	settings Settings

	mu      sync.Mutex
	buckets map[Key]*bucket
	// shared is the bucket of keys that have none of their own because of MaxKeys.
	shared  bucket
	sweptAt time.Time
}

// urgentFor is how long a bucket keeps a retry for calls as urgent as one that asked for one.
const urgentFor = 2 * time.Second

// bucket is a token bucket that holds between 0 and Burst retries.
type bucket struct {
	hundredths int
	usedAt     time.Time
	// urgentRank is the most urgent rank that asked for a retry within urgentFor, and urgentAt when it last did.
	urgentRank int
	urgentAt   time.Time
}

// New returns Buckets in which every key has its reserve.
func New(settings Settings) *Buckets {
	return &Buckets{
		settings: settings,
		buckets:  map[Key]*bucket{},
		shared:   bucket{hundredths: settings.Reserve * retryCost},
	}
}

// Deposit adds the given percentage of a retry for a first attempt. The percentage is the customer's
// Limits.RetryPercent.
//
//	10 calls with 10 percent -> 1 retry
func (b *Buckets) Deposit(now time.Time, key Key, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.bucket(now, key)
	entry.hundredths = min(entry.hundredths+percent, b.settings.Burst*retryCost)
}

// Withdraw takes one retry from the bucket for a call of the given rank and reports whether there was one. A call that is
// less urgent than another one that asked within urgentFor leaves the last retry for such calls.
//
//	2 retries left, rank 1 asked lately: rank 2  ->  taken
//	1 retry left, rank 1 asked lately: rank 2    ->  left for rank 1
func (b *Buckets) Withdraw(now time.Time, key Key, rank int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.bucket(now, key)
	if rank <= entry.urgentRank || now.Sub(entry.urgentAt) >= urgentFor {
		entry.urgentRank, entry.urgentAt = rank, now
	}
	cost := retryCost
	if rank > entry.urgentRank {
		cost += retryCost
	}
	if entry.hundredths < cost {
		return false
	}
	entry.hundredths -= retryCost
	return true
}

// Size returns the number of keys that have a bucket of their own.
func (b *Buckets) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buckets)
}

// bucket returns the bucket of a key, created if needed, or the shared one if there are MaxKeys buckets already.
func (b *Buckets) bucket(now time.Time, key Key) *bucket {
	b.sweep(now)
	entry, known := b.buckets[key]
	if !known {
		if len(b.buckets) >= b.settings.MaxKeys {
			return &b.shared
		}
		entry = &bucket{hundredths: b.settings.Reserve * retryCost}
		b.buckets[key] = entry
	}
	entry.usedAt = now
	return entry
}

// sweep drops idle buckets, at most once per Settings.Idle.
func (b *Buckets) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < b.settings.Idle {
		return
	}
	b.sweptAt = now
	for key, entry := range b.buckets {
		if now.Sub(entry.usedAt) >= b.settings.Idle {
			delete(b.buckets, key)
		}
	}
}
