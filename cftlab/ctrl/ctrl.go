// Package ctrl keeps the control state of a stand-in.
//
// One goroutine applies all commands; traffic goroutines read the published state and never block it.
package ctrl

import (
	"context"
	"sync/atomic"
)

// Command computes the next state from the current one. It must not write to the current one.
type Command[S any] func(S) S

// Published is one immutable version of the state.
type Published[S any] struct {
	// State is not written to after it was published.
	State S
	// Changed is closed when a newer version is published.
	Changed <-chan struct{}
}

type order[S any] struct {
	command Command[S]
	done    chan S
}

type version[S any] struct {
	state   S
	changed chan struct{}
}

// Owner holds a state of type S.
type Owner[S any] struct {
	orders  chan order[S]
	current atomic.Pointer[version[S]]
}

// New returns an owner whose goroutine ends with ctx.
func New[S any](ctx context.Context, initial S) *Owner[S] {
	o := &Owner[S]{orders: make(chan order[S])}
	o.current.Store(&version[S]{state: initial, changed: make(chan struct{})})
	go o.run(ctx)
	return o
}

// Current returns the newest version.
func (o *Owner[S]) Current() Published[S] {
	v := o.current.Load()
	return Published[S]{State: v.state, Changed: v.changed}
}

// Do applies a command and returns the state after it. It fails only when ctx ends first.
func (o *Owner[S]) Do(ctx context.Context, command Command[S]) (S, error) {
	done := make(chan S, 1)
	select {
	case o.orders <- order[S]{command: command, done: done}:
	case <-ctx.Done():
		return o.current.Load().state, ctx.Err()
	}
	return <-done, nil
}

func (o *Owner[S]) run(ctx context.Context) {
	for {
		select {
		case next := <-o.orders:
			next.done <- o.apply(next.command)
		case <-ctx.Done():
			return
		}
	}
}

func (o *Owner[S]) apply(command Command[S]) S {
	old := o.current.Load()
	state := command(old.state)
	o.current.Store(&version[S]{state: state, changed: make(chan struct{})})
	close(old.changed)
	return state
}
