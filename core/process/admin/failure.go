package admin

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/decl"
)

// storeRetryAfter is the time after which a call that the store did not serve
// is worth repeating.
const storeRetryAfter = time.Second

// writeError is a failed write. run tells whether it took effect.
type writeError struct {
	cause    error
	run      core.Execution
	conflict *Conflict
}

// Error implements error.
func (e *writeError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.cause }

// conflictOf describes the current state of an object that is in the way of a
// write of the declaration d; d is nil for deletions.
func conflictOf(current core.Object, d decl.Declaration, run core.Execution) error {
	c := &Conflict{Version: current.Version, Writer: current.Writer, Deleted: current.Deleted}
	if !current.Deleted && current.Version != 0 && d != nil {
		// A current value that cannot be read differs in every field.
		was, err := decl.Unmarshal(current.Key, current.Value)
		if err != nil {
			was = nil
		}
		c.Fields = decl.Diff(was, d)
	}
	state := fmt.Sprintf("is at version %d, written by %q", c.Version, c.Writer)
	switch {
	case c.Version == 0:
		state = "does not exist"
	case c.Deleted:
		state = fmt.Sprintf("was deleted at version %d by %q", c.Version, c.Writer)
	case len(c.Fields) > 0:
		state += fmt.Sprintf(", and differs in %v", c.Fields)
	}
	err := trace.CompareFailed("%s %q %s", current.Kind, current.Name, state)
	return &writeError{cause: err, run: run, conflict: c}
}

// failure returns the HTTP status and the body for an error, and counts it.
func (a *API) failure(err error) (int, Failure) {
	d := FailureDetail{Message: trace.UserMessage(err), Run: core.NotExecuted}
	var refusal *core.Refusal
	var write *writeError
	if errors.As(err, &write) {
		d.Run, d.Conflict = write.run, write.conflict
	}
	status := fiber.StatusInternalServerError
	switch {
	case errors.As(err, &refusal):
		d.Reason, d.Message, d.Run = refusal.Reason, refusal.Message, refusal.Execution
		d.RetryAfterMs = refusal.RetryAfter.Milliseconds()
		status = map[core.Reason]int{
			core.ReasonOperatorUnverified: fiber.StatusUnauthorized,
			core.ReasonNotFound:           fiber.StatusNotFound,
			core.ReasonNotReady:           fiber.StatusServiceUnavailable,
		}[refusal.Reason]
		if status == 0 {
			status = fiber.StatusBadRequest
		}
	case trace.IsBadParameter(err):
		d.Reason, status = core.ReasonBadRequest, fiber.StatusBadRequest
	case trace.IsCompareFailed(err), trace.IsAlreadyExists(err):
		d.Reason, status = core.ReasonConflict, fiber.StatusConflict
	case trace.IsNotFound(err):
		d.Reason, status = core.ReasonNotFound, fiber.StatusNotFound
	case trace.IsLimitExceeded(err):
		d.Reason, status = core.ReasonRateLimited, fiber.StatusTooManyRequests
		d.RetryAfterMs = storeRetryAfter.Milliseconds()
	case lost(err):
		d.Reason, status = core.ReasonStoreUnavailable, fiber.StatusServiceUnavailable
		d.RetryAfterMs = storeRetryAfter.Milliseconds()
	default:
		d.Reason = core.ReasonUpstreamError
	}
	meter.Refusal(d.Reason)
	return status, Failure{Error: d}
}

// lost reports whether the call that failed may have taken effect.
func lost(err error) bool {
	return trace.IsConnectionProblem(err) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

func retryAfter(ms int64) string { return strconv.FormatInt((ms+999)/1000, 10) }
