package commit

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
)

// loop runs functions one at a time in one goroutine, which owns the state that
// they access. Its zero value is ready for use.
type loop struct {
	initOnce  sync.Once
	calls     chan func(context.Context)
	stop      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

func (l *loop) init() {
	l.initOnce.Do(func() {
		l.calls, l.stop, l.done = make(chan func(context.Context)), make(chan struct{}), make(chan struct{})
	})
}

// run calls first and then the posted functions until ctx ends or close is
// called.
func (l *loop) run(ctx context.Context, first func(context.Context)) error {
	l.init()
	defer close(l.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-l.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	first(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.calls:
			f(ctx)
		}
	}
}

// close ends run and waits for it. run must have been called.
func (l *loop) close() {
	l.init()
	l.closeOnce.Do(func() { close(l.stop) })
	<-l.done
}

// runInLoop runs f in the loop with the caller's context and returns its result.
func runInLoop[T any](ctx context.Context, l *loop, f func(context.Context) (T, error)) (T, error) {
	l.init()
	type result struct {
		v   T
		err error
	}
	ch := make(chan result, 1)
	call := func(context.Context) {
		v, err := f(ctx)
		ch <- result{v, err}
	}
	var zero T
	select {
	case l.calls <- call:
	case <-l.done:
		return zero, trace.ConnectionProblem(nil, "closed")
	case <-ctx.Done():
		return zero, trace.ConnectionProblem(ctx.Err(), "the call was not started")
	}
	// The call has started and returns when ctx ends.
	r := <-ch
	return r.v, r.err
}
