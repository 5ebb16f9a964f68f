// Package cache is a bounded cache that evicts the least recently used entry.
package cache

import "container/list"

// Cache maps keys to values. It is not safe for use by several goroutines.
type Cache[K comparable, V any] struct {
	// Capacity bounds the entries; at least 1.
	Capacity int

	entries map[K]*list.Element
	// recent holds the entries, the most recently used one first.
	recent *list.List
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// New returns an empty cache.
func New[K comparable, V any](capacity int) *Cache[K, V] {
	return &Cache[K, V]{Capacity: max(1, capacity), entries: map[K]*list.Element{}, recent: list.New()}
}

// Len returns the number of entries.
func (c *Cache[K, V]) Len() int { return len(c.entries) }

// Get returns the value of a key and marks it as the most recently used.
func (c *Cache[K, V]) Get(key K) (V, bool) {
	element, found := c.entries[key]
	if !found {
		var zero V
		return zero, false
	}
	c.recent.MoveToFront(element)
	return element.Value.(*entry[K, V]).value, true
}

// Set stores a value. When the cache is full, it evicts the least recently used entry.
func (c *Cache[K, V]) Set(key K, value V) {
	if element, found := c.entries[key]; found {
		element.Value.(*entry[K, V]).value = value
		c.recent.MoveToFront(element)
		return
	}
	if len(c.entries) >= c.Capacity {
		oldest := c.recent.Back()
		c.recent.Remove(oldest)
		delete(c.entries, oldest.Value.(*entry[K, V]).key)
	}
	c.entries[key] = c.recent.PushFront(&entry[K, V]{key: key, value: value})
}
