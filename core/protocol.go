package core

import (
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"
)

// RequestInfo holds the values that the entry reads from the header of a
// caller's request.
type RequestInfo struct {
	// AttemptID identifies the request; each retry by the caller has another id.
	AttemptID string
	// APIKey is the team's credential; empty if there is none.
	APIKey string
	// Timeout is how long the caller waits; zero if it is not given.
	Timeout time.Duration
	// LastEventID is the id of the last event that the caller received before it
	// resumed the stream. It is valid if HasLastEventID is set.
	LastEventID    uint64
	HasLastEventID bool
	// PromptParts are the ids of the parts of the prompt that other requests may
	// share, in order. The last part of a prompt is its own and not among them.
	PromptParts []string
}

// Dispatch holds the fields that the entry sets in a request to an upstream.
type Dispatch struct {
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// Instance is the upstream that may run the request.
	Instance string
	// Team is the caller's team, empty if requests need no key.
	Team string
	// LastEventID is the id of the event after which a stream continues. It is
	// valid if HasLastEventID is set.
	LastEventID    uint64
	HasLastEventID bool
}

// ResponseInfo holds the values that the entry reads from the header of an
// upstream's response.
type ResponseInfo struct {
	// AttemptID is the id from the request, returned by the upstream.
	AttemptID string
	// Signed is set if the response has the upstream's signature.
	Signed bool
	// NotExecuted is set if the upstream states that it has not executed the
	// request.
	NotExecuted bool
	// FailedUpstream is the name of the upstream that prevented the execution, if
	// it was another one.
	FailedUpstream string
	// KeepAliveTimeout is how long the upstream keeps an idle connection open;
	// zero if it is not given.
	KeepAliveTimeout time.Duration
	// RateLimit is the limit on requests that the response names.
	RateLimit NamedRateLimit
	// Leaving is set if the upstream states that it leaves.
	Leaving bool
	// RetryAfter is how long the upstream wants no more requests, if the response is a
	// refusal; zero if it does not say so.
	RetryAfter time.Duration
}

// NamedRateLimit is the limit on requests that an upstream names in a response.
type NamedRateLimit struct {
	// Named is set if the response names a limit. PerSecond is the number of requests
	// per second that the upstream takes from all gates together, at least zero and
	// possibly infinite.
	Named     bool
	PerSecond float64
	// Invalid is set if the response names only limits that are no number of requests.
	Invalid bool
}

// AppendField appends a header field line to dst.
func AppendField[T ~string | ~[]byte](dst []byte, name, value T) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// Protocol reads and writes the header fields that callers, entries and
// upstreams exchange.
type Protocol interface {
	RequestInfo(h *fasthttp.RequestHeader) RequestInfo
	// ForwardsRequestField reports whether a field of a caller's request is
	// forwarded to upstreams.
	ForwardsRequestField(name []byte) bool
	// AppendDispatch appends the fields that the entry sets, as header field lines.
	AppendDispatch(dst []byte, d *Dispatch) []byte
	ResponseInfo(h *fasthttp.ResponseHeader) ResponseInfo
	// ForwardsResponseField reports whether a field of an upstream's response is
	// forwarded to callers.
	ForwardsResponseField(name []byte) bool
}

// RankReport is the state of a rank, as its engine reports it.
type RankReport struct {
	// StartTime identifies the engine process by the time of its start.
	StartTime int64
	// Group is the name of the rank's group. Epoch counts how often the group has
	// formed.
	Group string
	Epoch uint64
	Rank  int
	// GroupSize is the number of ranks in the group.
	GroupSize int
	// Open is set while the group runs forward passes.
	Open bool
	// Step is the number of the last forward pass that was begun.
	Step uint64
	// Map is the version of the expert map in use. PreparedMap is the version of
	// the map whose experts are copied completely; zero if there is none.
	Map         uint64
	PreparedMap uint64
	// ArmedMap and ArmedStep are the map and the forward pass of the switch that
	// the rank has promised, if Armed is set.
	ArmedMap  uint64
	ArmedStep uint64
	Armed     bool
	// HeldStep is the forward pass that the group must not begin, if Held is set.
	HeldStep uint64
	Held     bool
	Running  int
	Waiting  int
	// Slowdown is the factor by which the engine is slow; 1 is normal speed.
	Slowdown float64
	// ExpertCounts is how often the rank's requests have chosen each expert since
	// the start of the engine process, set by set; nil if it was not requested.
	ExpertCounts []uint64
}

// RankVerb is the kind of an order to a rank.
type RankVerb string

// The orders to ranks.
const (
	// RankPrepare copies the experts of a map to the rank.
	RankPrepare RankVerb = "prepare"
	// RankArm makes the rank switch to a prepared map when a forward pass begins.
	RankArm RankVerb = "arm"
	// RankDisarm revokes RankArm.
	RankDisarm RankVerb = "disarm"
	// RankHold prevents the group from beginning a forward pass; RankRelease
	// revokes it.
	RankHold    RankVerb = "hold"
	RankRelease RankVerb = "release"
)

// RankOrder is an order to a rank.
type RankOrder struct {
	Verb RankVerb
	// Token is the fencing token.
	Token uint64
	// Epoch is the group's epoch, as in RankReport.
	Epoch uint64
	// Map is the version of the map, for RankPrepare, RankArm and RankDisarm. Step
	// is the number of the forward pass, for RankArm, RankHold and RankRelease.
	Map  uint64
	Step uint64
	// Placement lists the experts by set and rank, for RankPrepare.
	Placement [][][]int
}

// RankAddr is the address of a rank's engine. The rank's sidecar has the same IP
// address.
type RankAddr struct {
	// Instance is the name of the engine process. It detects an address that now
	// belongs to another process.
	Instance string
	Engine   netip.AddrPort
}

// RankClient is the control interface of the ranks of a group. Its errors are
// trace.CompareFailed if the order is not allowed in the rank's state,
// trace.AccessDenied if the rank has seen a higher fencing token, trace.NotFound
// if another engine has the address, and trace.ConnectionProblem if the order
// may have been executed or may still be.
type RankClient interface {
	// Report returns the rank's state, with ExpertCounts if counts is set.
	Report(ctx context.Context, rank RankAddr, counts bool) (RankReport, error)
	// Placement returns the version of the map in use and the rank's experts in
	// it by set.
	Placement(ctx context.Context, rank RankAddr) (version uint64, experts [][]int, err error)
	Order(ctx context.Context, rank RankAddr, o RankOrder) error
}
