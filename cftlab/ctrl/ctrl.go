// Package ctrl holds the control state of a fake upstream or platform.
//
// One goroutine applies all commands; traffic goroutines read the published state and never block that goroutine.
package ctrl

import (
	"context"
	"sync/atomic"
)

// Command returns the next state, given the current one. It must not modify the current one.
type Command[S any] func(S) S

// Published is one immutable version of the state.
type Published[S any] struct {
	// State is never modified after it was published.
	State S
	// Changed is closed when a newer version is published.
	Changed <-chan struct{}
}

// pendingCommand is a command to apply, and where to send the state after it.
type pendingCommand[S any] struct {
	command Command[S]
	result  chan S
}

// version is a version of the state, with the channel to close when a newer one is published.
type version[S any] struct {
	state   S
	changed chan struct{}
}

// Owner holds a state of type S and applies commands to it in one goroutine.
type Owner[S any] struct {
	commands chan pendingCommand[S]
	current  atomic.Pointer[version[S]]
}

// New returns an owner whose goroutine ends with ctx.
func New[S any](ctx context.Context, initial S) *Owner[S] {
	o := &Owner[S]{commands: make(chan pendingCommand[S])}
	o.current.Store(&version[S]{state: initial, changed: make(chan struct{})})
	go o.run(ctx)
	return o
}

// Current returns the newest version of the state.
func (o *Owner[S]) Current() Published[S] {
	v := o.current.Load()
	return Published[S]{State: v.state, Changed: v.changed}
}

// Do applies a command and returns the state after it. It fails only when ctx ends before the command is accepted.
func (o *Owner[S]) Do(ctx context.Context, command Command[S]) (S, error) {
	result := make(chan S, 1)
	select {
	case o.commands <- pendingCommand[S]{command: command, result: result}:
	case <-ctx.Done():
		return o.current.Load().state, ctx.Err()
	}
	return <-result, nil
}

func (o *Owner[S]) run(ctx context.Context) {
	for {
		select {
		case pending := <-o.commands:
			pending.result <- o.apply(pending.command)
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
