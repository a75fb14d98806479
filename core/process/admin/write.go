package admin

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/decl"
)

// The pauses between repetitions of a write whose answer was lost.
const (
	firstPause = 20 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// write calls do, which writes o on condition of its version, until the outcome
// is certain or ctx ends. d is the declaration that o holds, nil for deletions.
//
// When an answer is lost, the object is read back. Writer and nonce tell whether
// it is this write. If the object is unchanged, the write is repeated: at most
// one of the repetitions can meet the condition.
func (a *API) write(ctx context.Context, o core.Object, d decl.Declaration,
	do func(context.Context, core.Object) (core.Object, error),
) (core.Object, error) {
	known := a.highest()
	// A tombstone after this version was made after the caller's condition.
	after := o.Version
	if after == 0 {
		after = known
	}
	run := core.NotExecuted
	for pause := firstPause; ; {
		got, err := do(ctx, o)
		switch {
		case err == nil:
			return got, nil
		case lost(err):
			run = core.ExecutionUnknown
		case trace.IsCompareFailed(err), trace.IsAlreadyExists(err), trace.IsNotFound(err):
		case trace.IsLimitExceeded(err) && run == core.ExecutionUnknown:
		default:
			return o, &writeError{cause: err, run: run}
		}
		// The write is not repeated before the object has been read back:
		// another operator may have replaced and deleted it meanwhile.
		var current core.Object
		for read := false; !read; pause = min(2*pause, lastPause) {
			var readErr error
			current, readErr = a.current(ctx, o.Key, after, known)
			switch {
			case readErr == nil:
				read = true
			case !lost(readErr) && !trace.IsLimitExceeded(readErr):
				return o, &writeError{cause: readErr, run: core.ExecutionUnknown}
			}
			if read && current.Writer == o.Writer && current.Nonce == o.Nonce {
				return current, nil
			}
			if read && current.Version != o.Version {
				return o, conflictOf(current, d, run)
			}
			if a.Clock.Sleep(ctx, pause) != nil {
				return o, &writeError{
					cause: trace.ConnectionProblem(err, "the store did not confirm the write of %s %q in time", o.Kind, o.Name),
					run:   core.ExecutionUnknown,
				}
			}
		}
	}
}

// current returns the object as it is in the store. For an absent object it
// returns the tombstone if the object was deleted after version after, and else
// an object of version 0.
//
// The store has no call that reads a tombstone. A watch from just below a
// version that is known to exist answers at once with everything since.
func (a *API) current(ctx context.Context, key core.Key, after, known uint64) (core.Object, error) {
	o, err := a.Store.Get(ctx, key)
	if err == nil || !trace.IsNotFound(err) {
		return o, err
	}
	last := core.Object{Key: key}
	from := min(after, max(known, 1)-1)
	changes, err := a.Store.Watch(ctx, from, core.DeclarationKinds...)
	if err != nil {
		return last, err
	}
	for _, c := range changes {
		// The object may have been created again since the read.
		if c.Key == key && c.Version > max(after, last.Version) {
			last = c
		}
	}
	return last, nil
}

// highest returns the highest version of a declaration that this instance has.
func (a *API) highest() uint64 {
	if t := a.Table(); t != nil {
		return t.Version
	}
	return 0
}
