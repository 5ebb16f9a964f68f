// Package idle counts what is open or in progress, and lets one goroutine wait until nothing is.
package idle

import (
	"context"
	"sync"
)

// Counter counts connections or calls. Its zero value counts none and is ready for use.
type Counter struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count falls to zero; nil while nobody waits.
	idle chan struct{}
}

// Enter counts one more.
func (c *Counter) Enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

// Leave counts one less.
func (c *Counter) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Wait returns when nothing is counted, or when ctx ends. Only one goroutine may wait at a time.
func (c *Counter) Wait(ctx context.Context) {
	select {
	case <-c.notify():
	case <-ctx.Done():
	}
}

// notify returns a channel that is closed when nothing is counted.
func (c *Counter) notify() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := make(chan struct{})
	if c.count == 0 {
		close(idle)
		return idle
	}
	c.idle = idle
	return idle
}
