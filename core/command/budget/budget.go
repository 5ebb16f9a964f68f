// Package budget bounds retries to a share of first attempts, for each customer at each service.
//
// A Book is shared by traffic goroutines and guards itself.
package budget

import (
	"sync"
	"time"

	"comfreytack/core/model"
)

// Settings has the bounds of a book.
type Settings struct {
	// MaxKeys bounds the buckets; at least 1. MaxKeys beyond it share one bucket.
	MaxKeys int
	// Idle is how long a bucket is kept without a call.
	Idle time.Duration
	// Reserve is how many retries a purse has before its first call; it makes a customer with few calls
	// able to retry at all.
	Reserve int
	// Burst is how many retries a purse can save up; at least Reserve.
	Burst int
}

// DefaultSettings returns the settings that a daemon uses.
func DefaultSettings() Settings {
	return Settings{MaxKeys: 10_000, Idle: time.Minute, Reserve: 1, Burst: 20}
}

// Key is what pays for retries: the calls of one customer to one service.
type Key struct {
	Customer model.Customer
	Service  model.ServiceName
}

// wholeRetry is the price of one retry in hundredths, so that a share in percent adds up exactly.
const wholeRetry = 100

// Book has a bucket for each purse that was used lately.
type Book struct {
	settings Settings

	mu      sync.Mutex
	buckets map[Key]*bucket
	// shared is used when there are as many buckets as there may be.
	shared  bucket
	sweptAt time.Time
}

// bucket holds between 0 and Burst retries.
type bucket struct {
	hundredths int
	usedAt     time.Time
}

// New returns a book in which every purse has its reserve.
func New(settings Settings) *Book {
	return &Book{
		settings: settings,
		buckets:  map[Key]*bucket{},
		shared:   bucket{hundredths: settings.Reserve * wholeRetry},
	}
}

// Deposit counts a first attempt. The percentage is the customer's Limits.RetryPercent.
//
//	10 calls with 10 percent -> 1 retry
func (b *Book) Deposit(now time.Time, purse Key, percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.bucket(now, purse)
	own.hundredths = min(own.hundredths+percent, b.settings.Burst*wholeRetry)
}

// Withdraw takes one retry and says whether there was one.
func (b *Book) Withdraw(now time.Time, purse Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.bucket(now, purse)
	if own.hundredths < wholeRetry {
		return false
	}
	own.hundredths -= wholeRetry
	return true
}

// Size returns how many purses have a bucket.
func (b *Book) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buckets)
}

func (b *Book) bucket(now time.Time, purse Key) *bucket {
	b.sweep(now)
	own, known := b.buckets[purse]
	if !known {
		if len(b.buckets) >= b.settings.MaxKeys {
			return &b.shared
		}
		own = &bucket{hundredths: b.settings.Reserve * wholeRetry}
		b.buckets[purse] = own
	}
	own.usedAt = now
	return own
}

// sweep drops idle buckets, at most once in the idle time.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < b.settings.Idle {
		return
	}
	b.sweptAt = now
	for purse, own := range b.buckets {
		if now.Sub(own.usedAt) >= b.settings.Idle {
			delete(b.buckets, purse)
		}
	}
}
