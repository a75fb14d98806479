package core

import (
	"errors"
	"fmt"
	"time"
)

// Execution states whether a refused request was executed.
type Execution string

// The values of Execution.
const (
	NotExecuted      Execution = "no"
	ExecutionUnknown Execution = "unknown"
	Executed         Execution = "yes"
)

// Reason is the cause of a refusal or retry. Each reason has a counter.
type Reason string

// The reasons.
const (
	ReasonUnauthenticated    Reason = "unauthenticated"
	ReasonNotFound           Reason = "not_found"
	ReasonBadRequest         Reason = "bad_request"
	ReasonTooLarge           Reason = "too_large"
	ReasonRequestTimeout     Reason = "request_timeout"
	ReasonRateLimited        Reason = "rate_limited"
	ReasonQueueFull          Reason = "queue_full"
	ReasonDeadline           Reason = "deadline"
	ReasonNoUpstream         Reason = "no_upstream"
	ReasonNoSlot             Reason = "no_slot"
	ReasonUpstreamBusy       Reason = "upstream_busy"
	ReasonUpstreamOut        Reason = "upstream_out"
	ReasonUpstreamLost       Reason = "upstream_lost"
	ReasonUpstreamError      Reason = "upstream_error"
	ReasonDraining           Reason = "draining"
	ReasonIncarnation        Reason = "incarnation_mismatch"
	ReasonTombstone          Reason = "tombstoned"
	ReasonClaimConflict      Reason = "claim_conflict"
	ReasonClaimPending       Reason = "claim_pending"
	ReasonStoreUnavailable   Reason = "store_unavailable"
	ReasonStaleToken         Reason = "stale_token"
	ReasonCorruptAnswer      Reason = "corrupt_answer"
	ReasonCanceled           Reason = "canceled"
	ReasonStreamBroken       Reason = "stream_broken"
	ReasonNotReady           Reason = "not_ready"
	ReasonAnswerNotRecorded  Reason = "answer_not_recorded"
	ReasonPeerUnauthorized   Reason = "peer_unauthorized"
	ReasonOperatorUnverified Reason = "operator_unverified"
	ReasonConflict           Reason = "conflict"
	ReasonContained          Reason = "contained"
	ReasonLimited            Reason = "limited"
	ReasonPaused             Reason = "paused"
	ReasonMemory             Reason = "memory"
)

// Refusal is the error of a request that gets no response from an upstream.
type Refusal struct {
	Reason     Reason
	Message    string
	Execution  Execution
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (run: %s): %s", r.Reason, r.Execution, r.Message)
}

// NewRefusal returns the refusal of a request that was not executed.
func NewRefusal(reason Reason, message string) *Refusal {
	return &Refusal{Reason: reason, Message: message, Execution: NotExecuted}
}

// AsRefusal returns the refusal in err's chain, if there is one.
func AsRefusal(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
