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
	// MaxAnswer is the greatest size in bytes of an answer in a claim.
	MaxAnswer = 64 << 10
	// DispatchWithin is the time after the claim's write in which an entry may
	// dispatch, so that a paused entry does not start what its caller has long
	// given up.
	DispatchWithin = time.Minute

	// sureFor is the time after Held.Until in which an agent's tombstone proves
	// by itself that the attempt has not run. Agents keep an attempt that has
	// run for 10 min after its outcome is in the store; later they answer as if
	// they had never seen it.
	sureFor = 4 * time.Minute

	// tries bounds the writes of one Open or Move. The caller waits meanwhile,
	// and a store that fails three times in a row is taken to be down.
	tries = 3
	pause = 20 * time.Millisecond
)

// Agents asks agents about attempts. An agent that cannot be reached is a
// trace.ConnectionProblem.
type Agents interface {
	Query(ctx context.Context, agent netip.AddrPort, attempt *wire.Attempt) (*wire.AttemptResponse, error)
	// Tombstone makes sure that an attempt that has not begun never will. The
	// response has the state after the call.
	Tombstone(ctx context.Context, agent netip.AddrPort, attempt *wire.Attempt) (*wire.AttemptResponse, error)
}

// Claims opens, moves, looks up and records claims. It is safe for concurrent
// use.
type Claims struct {
	Store  core.Store
	Agents Agents
	Clock  core.Clock
	// Writer names this process in the store. It differs from process to
	// process and from start to start.
	Writer string
	// Poll is the time between two looks at a claim in Await; default 100 ms.
	Poll time.Duration
	// Grace is the time that Await leaves another entry between its claim and
	// its dispatch; default 2 s.
	Grace time.Duration
	// Nonce returns a string that is new on each call; default random.
	Nonce func() string
}

// Request is a non-idempotent request of a caller.
type Request struct {
	Service string
	Team    string
	// Key is the caller's idempotency key, or a generated one.
	Key       string
	RequestID string
	// BodyHash tells apart requests under one key; see Hash.
	BodyHash uint64
}

// Target is the upstream to which an attempt is dispatched.
type Target struct {
	Upstream    string
	Agent       netip.AddrPort
	Incarnation uint64
}

// Held is a claim as this process last knew it.
type Held struct {
	Name    string
	Version uint64
	Claim   *wire.Claim
	// Until is the time after which the attempt must not be dispatched. It is
	// zero for claims that were only looked up.
	Until time.Time
}

// Attempt returns the attempt that the claim names.
func (h *Held) Attempt() *wire.Attempt {
	return &wire.Attempt{
		RequestId:   h.Claim.GetRequestId(),
		Number:      h.Claim.GetAttempt(),
		Incarnation: h.Claim.GetIncarnation(),
		Key:         h.Name,
	}
}

// Name returns the name of the claim: the SHA-256 in hexadecimal of service,
// team and key, each with its length before it.
func Name(service, team, key string) string {
	h := sha256.New()
	for _, s := range []string{service, team, key} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
		_, _ = h.Write([]byte(s))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Hash returns the xxhash64 of what must be equal in all requests of one key.
func Hash(method, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, p := range [][]byte{[]byte(method), []byte(path), body} {
		_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		_, _ = d.Write(p)
	}
	return d.Sum64()
}

// Open creates the request's claim with its first attempt. It returns
// trace.AlreadyExists if the key has a claim, and a *core.Refusal with
// core.ReasonStoreUnavailable if the store cannot be used. In both cases
// nothing may be dispatched.
func (c *Claims) Open(ctx context.Context, r Request, to Target) (*Held, error) {
	return c.write(ctx, &Held{Name: Name(r.Service, r.Team, r.Key)}, r, to, c.Store.Create)
}

// Move gives the claim to a new attempt of request r, after the agent of the
// present attempt has recorded a tombstone. It is used by the entry whose
// attempt did not begin and by a later caller of the key. On any error nothing
// may be dispatched. Errors are *core.Refusal: run is "no" if a tombstone proves
// that the attempt has not run and the store failed, and "unknown" otherwise;
// Await then tells what became of the claim.
func (c *Claims) Move(ctx context.Context, h *Held, r Request, to Target) (*Held, error) {
	if r.BodyHash != h.Claim.GetBodyHash() {
		return nil, core.NewRefusal(core.ReasonClaimConflict, "the key was used with another request")
	}
	if _, err := c.bury(ctx, h); err != nil {
		return nil, err
	}
	sure := c.sure(h)
	next, err := c.write(ctx, h, r, to, c.Store.Update)
	if trace.IsCompareFailed(err) || trace.IsNotFound(err) {
		return nil, changed()
	}
	if refusal, ok := core.AsRefusal(err); ok && !sure {
		refusal.Execution = core.ExecutionUnknown
	}
	return next, err
}

func changed() error {
	return &core.Refusal{Reason: core.ReasonClaimPending, Message: "the claim has changed meanwhile", Execution: core.ExecutionUnknown}
}

// Void makes sure that the attempt never runs. It returns nil once the agent has
// recorded a tombstone, so that "run: no" is true. Otherwise the error is a
// *core.Refusal with run "unknown", or "yes" if the attempt has run, and the
// response tells the attempt's state if the agent answered.
func (c *Claims) Void(ctx context.Context, h *Held) (*wire.AttemptResponse, error) {
	res, err := c.bury(ctx, h)
	if err != nil || c.sure(h) {
		return res, err
	}
	obj, err := c.Store.Get(ctx, core.Key{Kind: core.KindClaim, Name: h.Name})
	if err != nil {
		return nil, &core.Refusal{Reason: core.ReasonStoreUnavailable, Message: "the claim could not be read again: " + err.Error(), Execution: core.ExecutionUnknown}
	}
	if obj.Version != h.Version {
		return nil, changed()
	}
	return res, nil
}

// sure tells whether the agent cannot have forgotten the attempt yet.
func (c *Claims) sure(h *Held) bool {
	return !h.Until.IsZero() && c.Clock.Now().Before(h.Until.Add(sureFor))
}

// bury asks for a tombstone.
func (c *Claims) bury(ctx context.Context, h *Held) (*wire.AttemptResponse, error) {
	agent, err := netip.ParseAddrPort(h.Claim.GetAgent())
	if err != nil {
		return nil, &core.Refusal{Reason: core.ReasonBadRequest, Message: "the claim names no agent: " + err.Error(), Execution: core.ExecutionUnknown}
	}
	res, err := c.Agents.Tombstone(ctx, agent, h.Attempt())
	if err != nil {
		return nil, &core.Refusal{Reason: core.ReasonUpstreamLost, Message: "the agent of the attempt does not answer", Execution: core.ExecutionUnknown}
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

// write makes the claim's next attempt and writes it with op.
func (c *Claims) write(ctx context.Context, h *Held, r Request, to Target, op func(context.Context, core.Object) (core.Object, error)) (*Held, error) {
	now := c.Clock.Now()
	next := &wire.Claim{
		RequestId: r.RequestID, Service: r.Service, Team: r.Team, BodyHash: r.BodyHash,
		Upstream: to.Upstream, Agent: to.Agent.String(), Incarnation: to.Incarnation,
		Attempt: h.Claim.GetAttempt() + 1, CreatedUnix: now.Unix(),
	}
	value, err := proto.Marshal(next)
	if err != nil {
		return nil, core.NewRefusal(core.ReasonBadRequest, "encode claim: "+err.Error())
	}
	obj, err := c.settle(ctx, core.Object{
		Key: core.Key{Kind: core.KindClaim, Name: h.Name}, Version: h.Version,
		Writer: c.Writer, Nonce: c.nonce(), Value: value,
	}, op)
	if err != nil {
		if trace.IsAlreadyExists(err) || trace.IsCompareFailed(err) || trace.IsNotFound(err) {
			return nil, err
		}
		return nil, core.NewRefusal(core.ReasonStoreUnavailable, "the claim could not be written: "+err.Error())
	}
	return &Held{Name: h.Name, Version: obj.Version, Claim: next, Until: now.Add(DispatchWithin)}, nil
}

// settle writes the object and finds out what became of writes whose answer was
// lost: the object in the store is ours if it has our writer and nonce. A write
// that is still on its way is overtaken by the next try or makes it fail,
// because all tries are conditional on the same version.
func (c *Claims) settle(ctx context.Context, obj core.Object, op func(context.Context, core.Object) (core.Object, error)) (core.Object, error) {
	for try := 1; ; try++ {
		got, err := op(ctx, obj)
		if err == nil {
			return got, nil
		}
		lost := trace.IsConnectionProblem(err)
		if lost || trace.IsAlreadyExists(err) || trace.IsCompareFailed(err) {
			if cur, e := c.Store.Get(ctx, obj.Key); e == nil && cur.Writer == obj.Writer && cur.Nonce == obj.Nonce {
				return cur, nil
			}
		}
		if !lost && !trace.IsLimitExceeded(err) || try == tries {
			return core.Object{}, err
		}
		if e := c.Clock.Sleep(ctx, pause<<try); e != nil {
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
