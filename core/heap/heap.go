// Package heap is a priority queue with access by key.
package heap

import "container/heap"

// keptCapacity is the largest capacity, in entries, that an empty heap retains.
const keptCapacity = 1024

// Heap holds values by key and finds the least one. Set and Remove take logarithmic time.
type Heap[K comparable, V any] struct {
	items items[K, V]
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// items implements heap.Interface; index maps each key to its position in entries.
type items[K comparable, V any] struct {
	entries []entry[K, V]
	index   map[K]int
	less    func(a, b V) bool
}

// New returns an empty heap ordered by less.
func New[K comparable, V any](less func(a, b V) bool) *Heap[K, V] {
	return &Heap[K, V]{items: items[K, V]{index: map[K]int{}, less: less}}
}

// Len returns the number of entries.
func (h *Heap[K, V]) Len() int { return h.items.Len() }

// Set adds an entry, or replaces the value of the key's entry and restores the order.
func (h *Heap[K, V]) Set(key K, value V) {
	i, found := h.items.index[key]
	if !found {
		i = len(h.items.entries)
		h.items.entries = append(h.items.entries, entry[K, V]{})
	}
	h.items.entries[i] = entry[K, V]{key: key, value: value}
	h.items.index[key] = i
	heap.Fix(&h.items, i)
}

// Least returns the entry with the least value, or false when there is none.
func (h *Heap[K, V]) Least() (K, V, bool) {
	if len(h.items.entries) == 0 {
		var zero entry[K, V]
		return zero.key, zero.value, false
	}
	least := h.items.entries[0]
	return least.key, least.value, true
}

// Remove removes the entry of a key and returns its value, or false when there is none.
func (h *Heap[K, V]) Remove(key K) (V, bool) {
	i, found := h.items.index[key]
	if !found {
		var zero V
		return zero, false
	}
	value := h.items.entries[i].value
	last := len(h.items.entries) - 1
	h.items.Swap(i, last)
	h.items.entries[last] = entry[K, V]{}
	h.items.entries = h.items.entries[:last]
	delete(h.items.index, key)
	if i < last {
		heap.Fix(&h.items, i)
	}
	if last == 0 && cap(h.items.entries) > keptCapacity {
		h.items.entries = nil
		h.items.index = map[K]int{}
	}
	return value, true
}

func (s *items[K, V]) Len() int { return len(s.entries) }

func (s *items[K, V]) Less(i, j int) bool {
	return s.less(s.entries[i].value, s.entries[j].value)
}

func (s *items[K, V]) Swap(i, j int) {
	s.entries[i], s.entries[j] = s.entries[j], s.entries[i]
	s.index[s.entries[i].key] = i
	s.index[s.entries[j].key] = j
}

// Push is not used: Heap adds and removes entries by heap.Fix, and has Push and Pop only to implement heap.Interface.
func (s *items[K, V]) Push(any) {}

// Pop is not used, for the same reason as Push.
func (s *items[K, V]) Pop() any { return nil }
