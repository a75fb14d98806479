package core

import (
	"context"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"
)

// RequestInfo is what a caller's request says of itself.
type RequestInfo struct {
	// AttemptID identifies the request; each repetition by the caller has its own.
	AttemptID string
	// APIKey is the team's credential, empty if there is none.
	APIKey string
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout time.Duration
	// LastEventID is the id of the last event that a resumed stream has had.
	LastEventID    uint64
	HasLastEventID bool
}

// Dispatch holds the fields that the entry sets in a request to an upstream.
type Dispatch struct {
	// Timeout is the time left to the caller.
	Timeout time.Duration
	// Instance is the upstream that may run the request.
	Instance string
	// Team is the caller's team, empty if requests need no key.
	Team string
	// LastEventID continues a stream after an event.
	LastEventID    uint64
	HasLastEventID bool
}

// ResponseInfo is what an upstream's answer says of itself.
type ResponseInfo struct {
	// AttemptID echoes the request's id.
	AttemptID string
	// Signed is set if the answer carries the upstream's signature.
	Signed bool
	// NotExecuted is set if the upstream states that it has not run the request.
	NotExecuted bool
	// FailedUpstream names the upstream that prevented the run, if it was another.
	FailedUpstream string
	// KeepAliveTimeout is the time for which the upstream keeps the connection; zero if
	// it does not say.
	KeepAliveTimeout time.Duration
}

// AppendField appends a header line.
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
	// ForwardsRequestField reports whether a caller's field is passed on to upstreams.
	ForwardsRequestField(name []byte) bool
	// AppendDispatch appends the fields that the entry sets, as header lines.
	AppendDispatch(dst []byte, d *Dispatch) []byte
	ResponseInfo(h *fasthttp.ResponseHeader) ResponseInfo
	// ForwardsResponseField reports whether an upstream's field is passed back to callers.
	ForwardsResponseField(name []byte) bool
}

// RankReport is the state of a rank as its engine reports it.
type RankReport struct {
	// StartTime is the start of the engine process.
	StartTime int64
	// Group names the rank's group and Epoch counts how often it has formed.
	Group string
	Epoch uint64
	Rank  int
	// GroupSize is the number of ranks in the group.
	GroupSize int
	// Open is set while the group runs passes.
	Open bool
	// Step is the last pass that was begun.
	Step uint64
	// Map is the version of the expert map in use, Prepared the version whose
	// copy is complete; zero if there is none.
	Map         uint64
	PreparedMap uint64
	// ArmedMap and ArmedStep are the switch that the rank has promised.
	ArmedMap  uint64
	ArmedStep uint64
	Armed     bool
	// HeldStep is the pass that the group does not begin.
	HeldStep uint64
	Held     bool
	Running  int
	Waiting  int
	// Slowdown is above 1 if the engine is slow.
	Slowdown float64
	// ExpertCounts tells how often the rank's requests have chosen each expert since
	// the engine process started, set by set; nil if it was not asked for.
	ExpertCounts []uint64
}

// RankVerb names an order to a rank.
type RankVerb string

// The orders to ranks.
const (
	// RankPrepare copies the experts of a map to the rank.
	RankPrepare RankVerb = "prepare"
	// RankArm has the rank switch to a prepared map as a pass begins.
	RankArm RankVerb = "arm"
	// RankDisarm takes that back.
	RankDisarm RankVerb = "disarm"
	// RankHold keeps the group from beginning a pass; RankRelease ends that.
	RankHold    RankVerb = "hold"
	RankRelease RankVerb = "release"
)

// RankOrder is an order to a rank.
type RankOrder struct {
	Verb RankVerb
	// Token is the fencing token.
	Token uint64
	Epoch uint64
	// Map is the version of the map, Step the pass.
	Map  uint64
	Step uint64
	// Placement lists the experts by set and rank, for RankPrepare.
	Placement [][][]int
}

// RankAddr is where a rank's engine and the process beside it are reached.
type RankAddr struct {
	// Instance names the engine process; it guards against an address that
	// another one has taken over.
	Instance string
	Engine   netip.AddrPort
}

// RankClient is the control interface of the ranks of a group. Its errors are
// trace.CompareFailed if the order does not fit the rank's state,
// trace.AccessDenied if a higher fencing token was seen, trace.NotFound if
// another engine has the address, and trace.ConnectionProblem if the order may
// have been or may yet be carried out.
type RankClient interface {
	// Report returns the rank's state, with the counts of its experts if they
	// are asked for.
	Report(ctx context.Context, rank RankAddr, counts bool) (RankReport, error)
	// Placement returns the experts of the rank by set, of the map in use.
	Placement(ctx context.Context, rank RankAddr) (version uint64, experts [][]int, err error)
	Order(ctx context.Context, rank RankAddr, o RankOrder) error
}
