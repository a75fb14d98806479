package admin

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/version/decl"
)

// The delay between retries of a write whose response was lost. It doubles with
// each retry.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// write calls storeWrite, which writes o if the stored version matches o.Version,
// until the outcome is certain or ctx ends. d is the declaration in o, or nil for
// deletions.
//
// If a response is lost, write reads the object back. Writer and nonce show
// whether this write took effect. If the object is unchanged, the write is
// retried. That is safe because at most one of the attempts can match the
// version.
func (a *API) write(ctx context.Context, o core.Object, d decl.Declaration,
	storeWrite func(context.Context, core.Object) (core.Object, error),
) (core.Object, error) {
	knownVersion := a.configVersion()
	// A tombstone with a higher version is newer than the state on which the
	// caller made the write conditional.
	afterVersion := o.Version
	if afterVersion == 0 {
		afterVersion = knownVersion
	}
	execution := core.NotExecuted
	for delay := minRetryDelay; ; {
		written, err := storeWrite(ctx, o)
		switch {
		case err == nil:
			return written, nil
		case maybeExecuted(err):
			execution = core.ExecutionUnknown
		case trace.IsCompareFailed(err), trace.IsAlreadyExists(err), trace.IsNotFound(err):
		case trace.IsLimitExceeded(err) && execution == core.ExecutionUnknown:
		default:
			return o, &writeError{cause: err, execution: execution}
		}
		// Read the object back before retrying: another operator may have
		// replaced and deleted it in the meantime.
		var current core.Object
		for read := false; !read; delay = min(2*delay, maxRetryDelay) {
			var readErr error
			current, readErr = a.readCurrent(ctx, o.Key, afterVersion, knownVersion)
			switch {
			case readErr == nil:
				read = true
			case !maybeExecuted(readErr) && !trace.IsLimitExceeded(readErr):
				return o, &writeError{cause: readErr, execution: core.ExecutionUnknown}
			}
			if read && current.Writer == o.Writer && current.Nonce == o.Nonce {
				return current, nil
			}
			if read && current.Version != o.Version {
				return o, newConflictError(current, d, execution)
			}
			if a.Clock.Sleep(ctx, delay) != nil {
				return o, &writeError{
					cause:     trace.ConnectionProblem(err, "the store did not confirm the write of %s %q in time", o.Kind, o.Name),
					execution: core.ExecutionUnknown,
				}
			}
		}
	}
}

// readCurrent returns the object from the store. If the object does not exist,
// it returns the tombstone if the object was deleted after afterVersion, and
// otherwise an object of version 0.
//
// The store has no call that reads a tombstone. A watch from a revision
// below a version that is known to exist does not wait: it returns all changes
// after that revision.
func (a *API) readCurrent(ctx context.Context, key core.Key, afterVersion, knownVersion uint64) (core.Object, error) {
	o, err := a.Store.Get(ctx, key)
	if err == nil || !trace.IsNotFound(err) {
		return o, err
	}
	latest := core.Object{Key: key}
	from := min(afterVersion, max(knownVersion, 1)-1)
	changes, err := a.Store.Watch(ctx, from, core.DeclarationKinds...)
	if err != nil {
		return latest, err
	}
	for _, c := range changes {
		// The object may have been created again since Get.
		if c.Key == key && c.Version > max(afterVersion, latest.Version) {
			latest = c
		}
	}
	return latest, nil
}

// configVersion returns the version of the configuration in force, which is the
// highest version of its declarations, or 0 if there is none.
func (a *API) configVersion() uint64 {
	if t := a.Table(); t != nil {
		return t.Version
	}
	return 0
}
