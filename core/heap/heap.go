// Package heap is an ordered container with access by key.
package heap

import "container/heap"

// keptCapacity is how many entries an empty heap keeps memory for.
const keptCapacity = 1024

// Heap holds values by key and finds the least one. Its operations take time that grows with the
// logarithm of its length.
type Heap[K comparable, V any] struct {
	items items[K, V]
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// items implements heap.Interface; index always tells where each key stands.
type items[K comparable, V any] struct {
	entries []entry[K, V]
	index   map[K]int
	less    func(a, b V) bool
}

// New returns an empty heap ordered by less.
func New[K comparable, V any](less func(a, b V) bool) *Heap[K, V] {
	return &Heap[K, V]{items: items[K, V]{index: map[K]int{}, less: less}}
}

// Len counts the entries.
func (h *Heap[K, V]) Len() int { return h.items.Len() }

// Set adds an entry, or moves the entry of the same key to its new place.
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
		var none entry[K, V]
		return none.key, none.value, false
	}
	least := h.items.entries[0]
	return least.key, least.value, true
}

// Remove takes out one entry and returns its value, or false when there is none.
func (h *Heap[K, V]) Remove(key K) (V, bool) {
	i, found := h.items.index[key]
	if !found {
		var none V
		return none, false
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

func (t *items[K, V]) Len() int { return len(t.entries) }

func (t *items[K, V]) Less(i, j int) bool {
	return t.less(t.entries[i].value, t.entries[j].value)
}

func (t *items[K, V]) Swap(i, j int) {
	t.entries[i], t.entries[j] = t.entries[j], t.entries[i]
	t.index[t.entries[i].key] = i
	t.index[t.entries[j].key] = j
}

// Push and Pop complete heap.Interface; Heap places entries by heap.Fix, which needs neither.
func (t *items[K, V]) Push(any) {}

// Pop is not used.
func (t *items[K, V]) Pop() any { return nil }
