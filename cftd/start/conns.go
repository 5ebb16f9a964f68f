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
	// none is closed when the count falls to zero; nil while nobody waits.
	none chan struct{}
}

// track follows a connection that came to the given state.
func (o *openConns) track(state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		o.count++
	case http.StateClosed, http.StateHijacked:
		o.count--
	}
	if o.count == 0 && o.none != nil {
		close(o.none)
		o.none = nil
	}
}

// wait returns when no connection is open, or after the longest time.
func (o *openConns) wait(longest time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	select {
	case <-o.empty():
	case <-ctx.Done():
	}
}

func (o *openConns) empty() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	none := make(chan struct{})
	if o.count == 0 {
		close(none)
		return none
	}
	o.none = none
	return none
}
