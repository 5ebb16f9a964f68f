package start

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// openConns counts the connections of one server.
type openConns struct {
	mu    sync.Mutex
	count int
	// drained is closed when the count falls to zero; nil while nobody waits.
	drained chan struct{}
}

// track counts a connection that changed to the given state.
func (o *openConns) track(state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		o.count++
	case http.StateClosed, http.StateHijacked:
		o.count--
	}
	if o.count == 0 && o.drained != nil {
		close(o.drained)
		o.drained = nil
	}
}

// wait returns when no connection is open, or after the timeout.
func (o *openConns) wait(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case <-o.notifyDrained():
	case <-ctx.Done():
	}
}

// notifyDrained returns a channel that is closed when no connection is open. There is one waiter at a time.
func (o *openConns) notifyDrained() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	drained := make(chan struct{})
	if o.count == 0 {
		close(drained)
		return drained
	}
	o.drained = drained
	return drained
}
