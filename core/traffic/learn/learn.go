// Package learn makes the classes that class.Book learns available to concurrent goroutines.
package learn

import (
	"sync"
	"time"

	"comfreytack/core/command/class"
	"comfreytack/core/model"
)

// Book guards a class.Book with a mutex.
type Book struct {
	snapshot func() *model.Snapshot

	mu   sync.Mutex
	book *class.Book
}

// New returns a guarded book. The function snapshot returns the current control state.
func New(snapshot func() *model.Snapshot, book *class.Book) *Book {
	return &Book{snapshot: snapshot, book: book}
}

// Of returns the class that the service's routes configure for a call, or else the one learnt from earlier runs.
func (b *Book) Of(call model.Call) model.Class {
	service := b.service(call)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.Of(service, call.Method, call.Path)
}

// Ran records that a call held a slot for the given time while the mean for short work was as given.
func (b *Book) Ran(call model.Call, held, mean time.Duration) {
	service := b.service(call)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.Ran(service, call.Method, call.Path, held, mean)
}

// Overran records that a call classified as short turned out to be long.
func (b *Book) Overran(call model.Call) {
	service := b.service(call)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.book.Overran(service, call.Method, call.Path)
}

func (b *Book) service(call model.Call) model.Service {
	return b.snapshot().Services[call.Service]
}
