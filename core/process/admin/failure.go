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

// storeRetryAfter is the suggested retry delay for requests that failed because
// the store was unavailable or limited their rate.
const storeRetryAfter = time.Second

// writeError describes a failed write. execution states whether it took effect.
type writeError struct {
	cause     error
	execution core.Execution
	conflict  *Conflict
}

// Error implements error.
func (e *writeError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.cause }

// newConflictError returns the error for a write of the declaration d whose
// version condition does not match the current object. d is nil for deletions.
func newConflictError(current core.Object, d decl.Declaration, execution core.Execution) error {
	c := &Conflict{Version: current.Version, Writer: current.Writer, Deleted: current.Deleted}
	if !current.Deleted && current.Version != 0 && d != nil {
		// A current value that cannot be parsed counts as different in every field.
		old, err := decl.Unmarshal(current.Key, current.Value)
		if err != nil {
			old = nil
		}
		c.Fields = decl.Diff(old, d)
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
	return &writeError{cause: err, execution: execution, conflict: c}
}

// errorResponse returns the HTTP status and the body for an error and counts the
// refusal.
func (a *API) errorResponse(err error) (int, ErrorResponse) {
	d := ErrorDetail{Message: trace.UserMessage(err), Run: core.NotExecuted}
	var refusal *core.Refusal
	var write *writeError
	if errors.As(err, &write) {
		d.Run, d.Conflict = write.execution, write.conflict
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
	case maybeExecuted(err):
		d.Reason, status = core.ReasonStoreUnavailable, fiber.StatusServiceUnavailable
		d.RetryAfterMs = storeRetryAfter.Milliseconds()
	default:
		d.Reason = core.ReasonUpstreamError
	}
	meter.Refusal(d.Reason)
	return status, ErrorResponse{Error: d}
}

// maybeExecuted reports whether the failed call may have taken effect.
func maybeExecuted(err error) bool {
	return trace.IsConnectionProblem(err) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

func retryAfterSeconds(ms int64) string { return strconv.FormatInt((ms+999)/1000, 10) }
