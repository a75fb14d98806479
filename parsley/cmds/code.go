package cmds

import (
	"errors"
	"strings"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/parsley/client"
)

// Code is an exit code.
type Code int

// The exit codes.
const (
	// OK: done, and with --wait in force on every reachable instance.
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
	// Unavailable: no entry or no store could be reached, or it limits calls;
	// the object that is named was not written.
	Unavailable Code = 6
	// Unknown: a write may or may not have taken effect.
	Unknown Code = 7
	// NotInForce: the write is accepted, but not in force on every reachable
	// instance in time, or another rule keeps the object out.
	NotInForce Code = 8
	// Unauthorized: the operator key was refused.
	Unauthorized Code = 9
	// Failed: any other failure.
	Failed Code = 10
)

// failure is an error with its exit code.
type failure struct {
	err  error
	code Code
}

// Error implements error.
func (f *failure) Error() string { return trace.UserMessage(f.err) }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.err }

func fail(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &failure{err: err, code: code}
}

// codeOf returns the exit code for an error. Errors without a type come from
// the command line parser.
func codeOf(err error) Code {
	var f *failure
	var call *client.Error
	switch {
	case err == nil:
		return OK
	case errors.As(err, &f):
		return f.code
	case !errors.As(err, &call):
		return Usage
	case call.Run == core.ExecutionUnknown:
		return Unknown
	}
	switch call.Reason {
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

// problems is the error of a command that failed for several objects, a line
// for each.
type problems []string

// Error implements error.
func (p problems) Error() string { return strings.Join(p, "\n") }
