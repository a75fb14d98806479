package rest

import (
	"encoding/json"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
)

// ErrorResponse is the body of a response that reports an error.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Reason  Reason `json:"reason"`
	Message string `json:"message"`
}

// Reason identifies the kind of an error.
type Reason string

// The reasons of an ErrorDetail.
const (
	ReasonNotFound      Reason = "not_found"
	ReasonAlreadyExists Reason = "already_exists"
	ReasonVersion       Reason = "version_mismatch"
	ReasonRateLimited   Reason = "rate_limited"
	ReasonBadRequest    Reason = "bad_request"
	ReasonUnavailable   Reason = "unavailable"
	ReasonNotSupported  Reason = "not_supported"
)

// NewErrorResponse returns the HTTP status and the body that report err.
func NewErrorResponse(err error) (int, ErrorResponse) {
	code, reason := fasthttp.StatusServiceUnavailable, ReasonUnavailable
	switch {
	case trace.IsNotFound(err):
		code, reason = fasthttp.StatusNotFound, ReasonNotFound
	case trace.IsAlreadyExists(err):
		code, reason = fasthttp.StatusConflict, ReasonAlreadyExists
	case trace.IsCompareFailed(err):
		code, reason = fasthttp.StatusPreconditionFailed, ReasonVersion
	case trace.IsLimitExceeded(err):
		code, reason = fasthttp.StatusTooManyRequests, ReasonRateLimited
	case trace.IsBadParameter(err):
		code, reason = fasthttp.StatusBadRequest, ReasonBadRequest
	case trace.IsNotImplemented(err):
		code, reason = fasthttp.StatusNotImplemented, ReasonNotSupported
	}
	return code, ErrorResponse{Error: ErrorDetail{Reason: reason, Message: trace.UserMessage(err)}}
}

// ParseError returns the error that a response reports. It is a
// trace.ConnectionProblem if the body is no ErrorResponse or its reason is
// unknown.
func ParseError(code int, body []byte) error {
	var e ErrorResponse
	if err := json.Unmarshal(body, &e); err != nil || e.Error.Reason == "" {
		return trace.ConnectionProblem(nil, "the server responded with status %d", code)
	}
	switch f := e.Error; f.Reason {
	case ReasonNotFound:
		return trace.NotFound("%s", f.Message)
	case ReasonAlreadyExists:
		return trace.AlreadyExists("%s", f.Message)
	case ReasonVersion:
		return trace.CompareFailed("%s", f.Message)
	case ReasonRateLimited:
		return trace.LimitExceeded("%s", f.Message)
	case ReasonBadRequest:
		return trace.BadParameter("%s", f.Message)
	case ReasonNotSupported:
		return trace.NotImplemented("%s", f.Message)
	default:
		return trace.ConnectionProblem(nil, "the server responded with status %d: %s", code, f.Message)
	}
}
