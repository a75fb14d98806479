package commit

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
)

// loop runs calls one after another in the goroutine that owns a state. Its
// zero value is ready.
type loop struct {
	once  sync.Once
	calls chan func(context.Context)
	stop  chan struct{}
	done  chan struct{}
	ended sync.Once
}

func (l *loop) init() {
	l.once.Do(func() {
		l.calls, l.stop, l.done = make(chan func(context.Context)), make(chan struct{}), make(chan struct{})
	})
}

// run calls first and then the calls until ctx ends or close is called.
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

// close ends run, which must have been called, and waits for it.
func (l *loop) close() {
	l.init()
	l.ended.Do(func() { close(l.stop) })
	<-l.done
}

// do runs f in the loop. Its context ends with the caller's.
func do[T any](ctx context.Context, l *loop, f func(context.Context) (T, error)) (T, error) {
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
		return zero, trace.ConnectionProblem(ctx.Err(), "not started")
	}
	// The call has begun and ends with ctx.
	r := <-ch
	return r.v, r.err
}
