package front

import (
	"errors"
	"math"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
)

// statusCodes maps reasons to HTTP status codes. Other reasons map to 503.
var statusCodes = map[core.Reason]int{
	core.ReasonUnauthenticated:   fiber.StatusUnauthorized,
	core.ReasonNotFound:          fiber.StatusNotFound,
	core.ReasonBadRequest:        fiber.StatusBadRequest,
	core.ReasonTooLarge:          fiber.StatusRequestEntityTooLarge,
	core.ReasonRequestTimeout:    fiber.StatusRequestTimeout,
	core.ReasonRateLimited:       fiber.StatusTooManyRequests,
	core.ReasonDeadline:          fiber.StatusGatewayTimeout,
	core.ReasonClaimConflict:     fiber.StatusConflict,
	core.ReasonClaimPending:      fiber.StatusConflict,
	core.ReasonAnswerNotRecorded: fiber.StatusConflict,
	core.ReasonUpstreamError:     fiber.StatusBadGateway,
	core.ReasonUpstreamLost:      fiber.StatusBadGateway,
	core.ReasonCorruptAnswer:     fiber.StatusBadGateway,
	core.ReasonIncarnation:       fiber.StatusBadGateway,
}

// errorResponse is the JSON body of a refusal.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Reason       core.Reason    `json:"reason"`
	Message      string         `json:"message"`
	Execution    core.Execution `json:"run"`
	RequestID    string         `json:"request_id"`
	RetryAfterMs int64          `json:"retry_after_ms,omitempty"`
}

func newErrorResponse(id string, r *core.Refusal) errorResponse {
	return errorResponse{Error: errorDetail{
		Reason: r.Reason, Message: r.Message, Execution: r.Execution,
		RequestID: id, RetryAfterMs: r.RetryAfter.Milliseconds(),
	}}
}

// asRefusal returns err as a refusal. An error of another type becomes a refusal
// with an unknown execution state, because it does not prove that the request has
// not run.
func asRefusal(err error) *core.Refusal {
	if r, ok := core.AsRefusal(err); ok {
		return r
	}
	return &core.Refusal{Reason: core.ReasonUpstreamError, Message: "the request failed", Execution: core.ExecutionUnknown}
}

func statusCode(r *core.Refusal) int {
	if s, ok := statusCodes[r.Reason]; ok {
		return s
	}
	return fiber.StatusServiceUnavailable
}

// refuse counts a refusal and sends it as the response.
func refuse(c fiber.Ctx, id string, err error) error {
	r := asRefusal(err)
	meter.Refusal(r.Reason)
	code := statusCode(r)
	if code == fiber.StatusTooManyRequests || code == fiber.StatusServiceUnavailable {
		seconds := max(1, int(math.Ceil(r.RetryAfter.Seconds())))
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	return c.Status(code).JSON(newErrorResponse(id, r))
}

// handleFiberError responds to requests that fiber itself refuses, such as those
// with a body over the limit.
func handleFiberError(c fiber.Ctx, err error) error {
	reason := core.ReasonBadRequest
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		switch fiberErr.Code {
		case fiber.StatusRequestEntityTooLarge:
			reason = core.ReasonTooLarge
		case fiber.StatusRequestTimeout:
			// fiber also sends this response on a connection without a request.
			// A client does not mistake a 408 for the response to a request that
			// it is just sending.
			reason = core.ReasonRequestTimeout
		case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
			reason = core.ReasonNotFound
		}
	}
	return refuse(c, "", core.NewRefusal(reason, err.Error()))
}
