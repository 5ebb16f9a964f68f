package ledger

const smallestRing = 8

// Ring is a FIFO queue in a circular buffer that doubles when it is full.
type Ring[T any] struct {
	values []T
	first  int
	count  int
}

// Len returns the number of values.
func (r *Ring[T]) Len() int { return r.count }

// At returns the value at index, from 0 (the oldest) to Len-1. It stays valid until the next Push or Pop.
func (r *Ring[T]) At(index int) *T {
	return &r.values[(r.first+index)%len(r.values)]
}

// Push adds a value after the newest.
func (r *Ring[T]) Push(value T) {
	if r.count == len(r.values) {
		r.grow()
	}
	r.values[(r.first+r.count)%len(r.values)] = value
	r.count++
}

// Pop removes and returns the oldest value. The ring must not be empty.
func (r *Ring[T]) Pop() T {
	var zero T
	value := r.values[r.first]
	r.values[r.first] = zero
	r.first = (r.first + 1) % len(r.values)
	r.count--
	return value
}

func (r *Ring[T]) grow() {
	larger := make([]T, max(smallestRing, 2*len(r.values)))
	for i := range r.count {
		larger[i] = *r.At(i)
	}
	r.values = larger
	r.first = 0
}
