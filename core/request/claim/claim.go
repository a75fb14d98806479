package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

const (
	// MaxAnswerBytes is the maximum size of a wire.Answer in a claim.
	MaxAnswerBytes = 64 << 10
	// DispatchTimeout is the time after writing a claim within which an entry
	// may dispatch the attempt. It prevents an entry that was paused from
	// starting a request that its caller has given up.
	DispatchTimeout = time.Minute

	// tombstoneValidity is the time after Snapshot.DispatchBefore during which a
	// tombstone of the agent alone proves that the attempt has not run. Agents
	// keep an attempt that has run until 10 min after its outcome is in the
	// store. Later they respond as if they had never received it.
	tombstoneValidity = 4 * time.Minute

	// maxTries bounds the writes of one Open or Reassign, because the caller
	// waits for them. A store that fails three times in a row is considered
	// unavailable.
	maxTries = 3
	// retryDelay is half the delay before the second try. The delay doubles with
	// each further try.
	retryDelay = 20 * time.Millisecond
)

// Agents sends requests about attempts to agents. Its methods return a
// trace.ConnectionProblem if the agent cannot be reached.
type Agents interface {
	Query(ctx context.Context, agent netip.AddrPort, attempt *wire.Attempt) (*wire.AttemptResponse, error)
	// Tombstone ensures that an attempt that has not begun never begins. The
	// response has the state after the call.
	Tombstone(ctx context.Context, agent netip.AddrPort, attempt *wire.Attempt) (*wire.AttemptResponse, error)
}

// Claims opens, reassigns, revokes and looks up claims and records their
// outcomes. It is safe for concurrent use.
type Claims struct {
	Store  core.Store
	Agents Agents
	Clock  core.Clock
	// Writer identifies this process in the store. It is unique to a process and
	// changes with each restart.
	Writer string
	// PollInterval is the time between two lookups of a claim in Await; default
	// 100 ms.
	PollInterval time.Duration
	// Grace is the time that Await gives another entry to dispatch the attempt
	// after writing its claim; default 2 s.
	Grace time.Duration
	// Nonce returns a unique string on each call; default random.
	Nonce func() string
}

// Request is a non-idempotent request of a caller.
type Request struct {
	Service string
	Team    string
	// Key is the caller's idempotency key, or a generated one.
	Key       string
	RequestID string
	// BodyHash distinguishes requests with the same key; see Hash.
	BodyHash uint64
}

// Target is the upstream to which an attempt is dispatched.
type Target struct {
	Upstream    string
	Agent       netip.AddrPort
	Incarnation uint64
}

// Snapshot is a claim as this process last read or wrote it.
type Snapshot struct {
	Name    string
	Version uint64
	Claim   *wire.Claim
	// DispatchBefore is the time after which the attempt must not be dispatched.
	// It is zero for claims that were only looked up.
	DispatchBefore time.Time
}

// Attempt returns the attempt that the claim names.
func (s *Snapshot) Attempt() *wire.Attempt {
	return &wire.Attempt{
		RequestId:   s.Claim.GetRequestId(),
		Number:      s.Claim.GetAttempt(),
		Incarnation: s.Claim.GetIncarnation(),
		Key:         s.Name,
	}
}

// Name returns the name of the claim: the hexadecimal SHA-256 hash of service,
// team and key, each preceded by its length.
func Name(service, team, key string) string {
	h := sha256.New()
	for _, s := range []string{service, team, key} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
		_, _ = h.Write([]byte(s))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Hash returns the xxhash64 of method, path and body, which must be the same in
// all requests with one key.
func Hash(method, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, p := range [][]byte{[]byte(method), []byte(path), body} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		_, _ = d.Write(p)
	}
	return d.Sum64()
}

// Open creates the request's claim with its first attempt. It returns
// trace.AlreadyExists if the key already has a claim, and a *core.Refusal with
// core.ReasonStoreUnavailable if the claim cannot be written. In both cases the
// request must not be dispatched.
func (c *Claims) Open(ctx context.Context, r Request, to Target) (*Snapshot, error) {
	return c.writeAttempt(ctx, &Snapshot{Name: Name(r.Service, r.Team, r.Key)}, r, to, c.Store.Create)
}

// Reassign gives the claim to a new attempt of request r, after the agent of the
// current attempt has recorded a tombstone. It is used by an entry whose attempt
// did not begin and for a later request with the same key. On any error the
// request must not be dispatched. Errors are *core.Refusal. Execution is
// core.NotExecuted if r differs from the request of the claim, or if a tombstone
// proves that the attempt has not run but the store failed, core.Executed if the
// current attempt has run, and core.ExecutionUnknown otherwise; Await then returns
// the state of the claim.
func (c *Claims) Reassign(ctx context.Context, s *Snapshot, r Request, to Target) (*Snapshot, error) {
	if r.BodyHash != s.Claim.GetBodyHash() {
		return nil, core.NewRefusal(core.ReasonClaimConflict, "the key was used with a different request")
	}
	if _, err := c.requestTombstone(ctx, s); err != nil {
		return nil, err
	}
	isProof := c.tombstoneIsProof(s)
	next, err := c.writeAttempt(ctx, s, r, to, c.Store.Update)
	if trace.IsCompareFailed(err) || trace.IsNotFound(err) {
		return nil, claimChanged()
	}
	if refusal, ok := core.AsRefusal(err); ok && !isProof {
		refusal.Execution = core.ExecutionUnknown
	}
	return next, err
}

func claimChanged() error {
	return &core.Refusal{Reason: core.ReasonClaimPending, Message: "the claim has changed concurrently", Execution: core.ExecutionUnknown}
}

// Revoke ensures that the attempt never runs. It succeeds once the agent has
// recorded a tombstone; the request may then be refused with core.NotExecuted.
// Otherwise the error is a *core.Refusal with core.ExecutionUnknown, or with
// core.Executed if the attempt has run, and the response has the attempt's state
// if the agent responded.
func (c *Claims) Revoke(ctx context.Context, s *Snapshot) (*wire.AttemptResponse, error) {
	res, err := c.requestTombstone(ctx, s)
	if err != nil || c.tombstoneIsProof(s) {
		return res, err
	}
	obj, err := c.Store.Get(ctx, core.Key{Kind: core.KindClaim, Name: s.Name})
	if err != nil {
		return nil, &core.Refusal{Reason: core.ReasonStoreUnavailable, Message: "the claim could not be read again: " + err.Error(), Execution: core.ExecutionUnknown}
	}
	if obj.Version != s.Version {
		return nil, claimChanged()
	}
	return res, nil
}

// tombstoneIsProof reports whether a tombstone proves that the attempt has not
// run, because it is too early for the agent to have dropped the attempt.
func (c *Claims) tombstoneIsProof(s *Snapshot) bool {
	return !s.DispatchBefore.IsZero() && c.Clock.Now().Before(s.DispatchBefore.Add(tombstoneValidity))
}

// requestTombstone asks the agent of the attempt to record a tombstone. It returns
// an error unless the agent has one.
func (c *Claims) requestTombstone(ctx context.Context, s *Snapshot) (*wire.AttemptResponse, error) {
	agent, err := netip.ParseAddrPort(s.Claim.GetAgent())
	if err != nil {
		return nil, &core.Refusal{Reason: core.ReasonBadRequest, Message: "the claim has no valid agent address: " + err.Error(), Execution: core.ExecutionUnknown}
	}
	res, err := c.Agents.Tombstone(ctx, agent, s.Attempt())
	if err != nil {
		return nil, &core.Refusal{Reason: core.ReasonUpstreamLost, Message: "the agent of the attempt does not respond", Execution: core.ExecutionUnknown}
	}
	switch res.GetState() {
	case wire.AttemptState_ATTEMPT_STATE_TOMBSTONE:
		return res, nil
	case wire.AttemptState_ATTEMPT_STATE_DONE:
		run := core.Executed
		if res.GetAnswer() == nil {
			run = core.ExecutionUnknown
		}
		return res, &core.Refusal{Reason: core.ReasonClaimPending, Message: "the attempt has ended", Execution: run}
	case wire.AttemptState_ATTEMPT_STATE_BEGUN:
		return res, &core.Refusal{Reason: core.ReasonClaimPending, Message: "the attempt is running", Execution: core.ExecutionUnknown}
	}
	return res, &core.Refusal{Reason: core.ReasonIncarnation, Message: "the agent has restarted and does not know the attempt", Execution: core.ExecutionUnknown}
}

// writeAttempt writes the claim with its next attempt, using op.
func (c *Claims) writeAttempt(ctx context.Context, s *Snapshot, r Request, to Target, op func(context.Context, core.Object) (core.Object, error)) (*Snapshot, error) {
	now := c.Clock.Now()
	next := &wire.Claim{
		RequestId: r.RequestID, Service: r.Service, Team: r.Team, BodyHash: r.BodyHash,
		Upstream: to.Upstream, Agent: to.Agent.String(), Incarnation: to.Incarnation,
		Attempt: s.Claim.GetAttempt() + 1, CreatedUnix: now.Unix(),
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return nil, core.NewRefusal(core.ReasonBadRequest, "encode claim: "+err.Error())
	}
	obj, err := c.writeWithRetries(ctx, core.Object{
		Key: core.Key{Kind: core.KindClaim, Name: s.Name}, Version: s.Version,
		Writer: c.Writer, Nonce: c.nonce(), Value: value,
	}, op)
	if err != nil {
		if trace.IsAlreadyExists(err) || trace.IsCompareFailed(err) || trace.IsNotFound(err) {
			return nil, err
		}
		return nil, core.NewRefusal(core.ReasonStoreUnavailable, "the claim could not be written: "+err.Error())
	}
	return &Snapshot{Name: s.Name, Version: obj.Version, Claim: next, DispatchBefore: now.Add(DispatchTimeout)}, nil
}

// writeWithRetries writes the object with op. If the reply to a write was lost, it
// reads the object to find out whether the write succeeded: then the object has
// our writer and nonce. A write that is still in transit either fails or makes
// the next try fail, because all tries are conditional on the same version.
func (c *Claims) writeWithRetries(ctx context.Context, obj core.Object, op func(context.Context, core.Object) (core.Object, error)) (core.Object, error) {
	for try := 1; ; try++ {
		got, err := op(ctx, obj)
		if err == nil {
			return got, nil
		}
		noReply := trace.IsConnectionProblem(err)
		if noReply || trace.IsAlreadyExists(err) || trace.IsCompareFailed(err) {
			if current, e := c.Store.Get(ctx, obj.Key); e == nil && current.Writer == obj.Writer && current.Nonce == obj.Nonce {
				return current, nil
			}
		}
		if !noReply && !trace.IsLimitExceeded(err) || try == maxTries {
			return core.Object{}, err
		}
		if e := c.Clock.Sleep(ctx, retryDelay<<try); e != nil {
			return core.Object{}, trace.ConnectionProblem(e, "the request ended before its claim was written")
		}
	}
}

func (c *Claims) nonce() string {
	if c.Nonce != nil {
		return c.Nonce()
	}
	return rand.Text()
}
