// Package cache is a bounded table that forgets the entry that was used least recently.
package cache

import "container/list"

// Cache maps keys to values. It is not safe for use by several goroutines.
type Cache[K comparable, V any] struct {
	// Capacity bounds the entries; at least 1.
	Capacity int

	entries map[K]*list.Element
	// recent has the entries, the one used last in front.
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

// Len counts the entries.
func (c *Cache[K, V]) Len() int { return len(c.entries) }

// Get returns the value of a key, and counts as a use of it.
func (c *Cache[K, V]) Get(key K) (V, bool) {
	element, found := c.entries[key]
	if !found {
		var none V
		return none, false
	}
	c.recent.MoveToFront(element)
	return element.Value.(*entry[K, V]).value, true
}

// Set stores a value and forgets another one when the cache is full.
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
