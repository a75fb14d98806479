package cmds

import (
	"errors"
	"strings"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/parsley/client"
)

// Code is an exit code of the program.
type Code int

// The exit codes.
const (
	// OK: success; with --wait, the change is in effect on every reachable
	// instance.
	OK Code = 0
	// Differs: diff found differences.
	Differs Code = 1
	// Usage: wrong arguments, flags or settings.
	Usage Code = 2
	// Invalid: a declaration or a selector is not valid.
	Invalid Code = 3
	// NotFound: a named object does not exist.
	NotFound Code = 4
	// Conflict: an object is not at the expected version; it was not written.
	Conflict Code = 5
	// Unavailable: no entry or no store could be reached, or the rate of calls
	// is limited. The named object was not written.
	Unavailable Code = 6
	// Unknown: a write may or may not have taken effect.
	Unknown Code = 7
	// NotInEffect: the write was accepted, but did not take effect on every
	// reachable instance in time, or another rule keeps the object out of
	// service. The status command also returns it, for an unreachable or
	// outdated instance.
	NotInEffect Code = 8
	// Unauthorized: the operator key was refused.
	Unauthorized Code = 9
	// Failed: any other failure.
	Failed Code = 10
)

// exitError is an error with the exit code that it causes.
type exitError struct {
	err  error
	code Code
}

// Error implements error.
func (e *exitError) Error() string { return trace.UserMessage(e.err) }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func withCode(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{err: err, code: code}
}

// exitCode returns the exit code for an error. Errors that are neither an
// exitError nor a client.Error come from the command line parser.
func exitCode(err error) Code {
	var exitErr *exitError
	var callErr *client.Error
	switch {
	case err == nil:
		return OK
	case errors.As(err, &exitErr):
		return exitErr.code
	case !errors.As(err, &callErr):
		return Usage
	case callErr.Run == core.ExecutionUnknown:
		return Unknown
	}
	switch callErr.Reason {
	case core.ReasonBadRequest:
		return Invalid
	case core.ReasonNotFound:
		return NotFound
	case core.ReasonConflict:
		return Conflict
	case core.ReasonOperatorUnverified:
		return Unauthorized
	case core.ReasonUpstreamLost, core.ReasonStoreUnavailable, core.ReasonRateLimited, core.ReasonNotReady,
		core.ReasonCanceled:
		return Unavailable
	}
	return Failed
}

// errorList is the error of a command that failed for several objects, with one
// line for each.
type errorList []string

// Error implements error.
func (l errorList) Error() string { return strings.Join(l, "\n") }
