package claim_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/request/claim"
	"parsleyroute.example/core/wire"
)

// delivery is what happens to one message and its reply.
type delivery int

const (
	deliver delivery = iota
	loseRequest
	loseReply
	// delay loses the reply; the request takes effect at some later time.
	delay
	crash
)

// process is a simulated process. It runs only from a call of step until it yields
// or ends, so that the schedule drawn by the test determines every interleaving.
type process struct {
	resume  chan delivery
	yielded chan struct{}
	ended   bool
	sleeps  int
	host    *agent
}

type agent struct {
	addr        netip.AddrPort
	incarnation uint64
	ledger      map[string]*wire.AttemptResponse
	// recorded lists the attempts whose outcome is in the store.
	recorded []string
}

// model simulates the store, the agents, the messages in transit and the results
// that callers received.
type model struct {
	t                    rapid.TB
	failure              string
	now                  time.Time
	current              *process
	procs                []*process
	delayed              []func()
	storeDown            bool
	objects              map[core.Key]core.Object
	version              uint64
	agents               []*agent
	nonce, restarts, ids int
	// rateLimited is the number of next writes that exceed the store's rate limit.
	rateLimited int
	// The attempts that have run and the results that callers have received.
	// refusedNotRun has the IDs of the requests refused with "run: no".
	runsByKey, runsByRequest map[string]int
	hashByKey                map[string]uint64
	refusedNotRun            map[string]bool
	answerByKey              map[string]string
}

func newModel(t rapid.TB) *model {
	m := &model{
		t: t, now: time.Unix(1e9, 0), objects: map[core.Key]core.Object{}, runsByKey: map[string]int{}, hashByKey: map[string]uint64{},
		runsByRequest: map[string]int{}, refusedNotRun: map[string]bool{}, answerByKey: map[string]string{},
	}
	for _, addr := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		m.agents = append(m.agents, &agent{addr: netip.MustParseAddrPort(addr), incarnation: 1, ledger: map[string]*wire.AttemptResponse{}})
	}
	return m
}

func (m *model) spawn(host *agent, f func()) *process {
	p := &process{resume: make(chan delivery), yielded: make(chan struct{}), host: host}
	m.procs = append(m.procs, p)
	go func() {
		defer func() { p.ended = true; p.yielded <- struct{}{} }()
		if <-p.resume == crash {
			return
		}
		f()
	}()
	return p
}

func (m *model) step(p *process, d delivery) {
	m.current = p
	p.resume <- d
	<-p.yielded
	m.procs = slices.DeleteFunc(slices.Clone(m.procs), func(p *process) bool { return p.ended })
	m.check()
}

// failf records a violated property. check then reports it from the goroutine of
// the test, because rapid's Fatal works only there.
func (m *model) failf(format string, args ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf(format, args...)
	}
}

func (m *model) check() {
	if s := m.failure; s != "" {
		m.failure = ""
		m.t.Fatal(s)
	}
}

func (m *model) crashAll(which func(*process) bool) {
	for _, p := range m.procs {
		if which(p) {
			m.step(p, crash)
		}
	}
}

func (m *model) restart(g *agent) {
	g.incarnation++
	g.ledger = map[string]*wire.AttemptResponse{}
	m.restarts++
	m.crashAll(func(p *process) bool { return p.host == g })
}

// passRetention advances the clock beyond the time for which agents keep attempts
// whose outcome is in the store.
func (m *model) passRetention() {
	m.now = m.now.Add(11 * time.Minute)
	for _, g := range m.agents {
		for _, id := range g.recorded {
			delete(g.ledger, id)
		}
	}
}

// yield hands control to the scheduler until the process is resumed.
func (m *model) yield() delivery {
	p := m.current
	p.yielded <- struct{}{}
	d := <-p.resume
	if d == crash {
		runtime.Goexit()
	}
	return d
}

// send sends a message whose arrival calls effect, if the receiver is reachable.
func (m *model) send(reachable func() bool, effect func()) error {
	d := m.yield()
	if d == delay && reachable() {
		m.delayed = append(m.delayed, effect)
	} else if d != loseRequest && reachable() {
		effect()
		if d == deliver {
			m.yield()
			return nil
		}
	}
	return trace.ConnectionProblem(nil, "no reply")
}

func always() bool { return true }

// Now, After and Sleep implement core.Clock.
func (m *model) Now() time.Time                       { return m.now }
func (m *model) After(time.Duration) <-chan time.Time { return nil }
func (m *model) Sleep(_ context.Context, d time.Duration) error {
	m.yield()
	m.now = m.now.Add(d)
	if m.current.sleeps++; m.current.host == nil && m.current.sleeps > 8 {
		return context.DeadlineExceeded
	}
	return nil
}

// store is the simulated store.
type store struct {
	core.Store
	*model
}

func (s store) write(obj core.Object, check func(cur core.Object, ok bool) error) (core.Object, error) {
	var res error
	err := s.send(func() bool { return !s.storeDown }, func() {
		cur, ok := s.objects[obj.Key]
		if s.rateLimited > 0 {
			s.rateLimited--
			res = trace.LimitExceeded("rate limit")
		} else if res = check(cur, ok); res == nil {
			s.version++
			obj.Version = s.version
			if s.objects[obj.Key] = obj; obj.Deleted {
				delete(s.objects, obj.Key)
			}
		}
	})
	return obj, cmp.Or(err, res)
}

func ifVersion(version uint64) func(core.Object, bool) error {
	return func(cur core.Object, _ bool) error {
		if cur.Version != version {
			return trace.CompareFailed("version")
		}
		return nil
	}
}

func (s store) Get(_ context.Context, key core.Key) (obj core.Object, err error) {
	var ok bool
	if err := s.send(func() bool { return !s.storeDown }, func() { obj, ok = s.objects[key] }); err != nil {
		return core.Object{}, err
	}
	if !ok {
		return obj, trace.NotFound("no object")
	}
	return obj, nil
}

func (s store) Create(_ context.Context, obj core.Object) (core.Object, error) {
	return s.write(obj, func(_ core.Object, ok bool) error {
		if ok {
			return trace.AlreadyExists("exists")
		}
		return nil
	})
}

func (s store) Update(_ context.Context, obj core.Object) (core.Object, error) {
	return s.write(obj, ifVersion(obj.Version))
}

func (s store) Delete(_ context.Context, obj core.Object) (core.Object, error) {
	obj.Deleted = true
	return s.write(obj, ifVersion(obj.Version))
}

func (s store) List(context.Context, ...core.Kind) (all []core.Object, _ uint64, err error) {
	err = s.send(always, func() { all = slices.Collect(maps.Values(s.objects)) })
	return all, s.version, err
}

// Query and Tombstone implement claim.Agents.
func (m *model) Query(_ context.Context, addr netip.AddrPort, a *wire.Attempt) (*wire.AttemptResponse, error) {
	return m.queryAgent(addr, a, false)
}

func (m *model) Tombstone(_ context.Context, addr netip.AddrPort, a *wire.Attempt) (*wire.AttemptResponse, error) {
	return m.queryAgent(addr, a, true)
}

func (m *model) queryAgent(addr netip.AddrPort, a *wire.Attempt, tombstone bool) (res *wire.AttemptResponse, err error) {
	err = m.send(always, func() {
		g := m.agents[addr.Port()-1]
		switch rec := g.ledger[attemptID(a)]; {
		case rec != nil:
			res = &wire.AttemptResponse{State: rec.State, Answer: rec.Answer}
		case a.Incarnation != g.incarnation:
			res = &wire.AttemptResponse{}
		case tombstone:
			res = &wire.AttemptResponse{State: wire.AttemptState_ATTEMPT_STATE_TOMBSTONE}
			g.ledger[attemptID(a)] = res
		default:
			res = &wire.AttemptResponse{State: wire.AttemptState_ATTEMPT_STATE_ABSENT}
		}
	})
	return res, err
}

func attemptID(a *wire.Attempt) string {
	return fmt.Sprint(a.Key, "/", a.Number, "/", a.Incarnation)
}

func (m *model) claims() *claim.Claims {
	m.ids++
	return &claim.Claims{
		Store: store{model: m}, Agents: m, Clock: m, Writer: fmt.Sprint("w", m.ids), PollInterval: time.Second, Grace: 2 * time.Second,
		Nonce: func() string { m.nonce++; return fmt.Sprint(m.nonce) },
	}
}

// handleDispatch handles a dispatch at agent g and reports whether it accepted it.
func (m *model) handleDispatch(g *agent, a *wire.Attempt, r claim.Request) (accepted bool) {
	id := attemptID(a)
	if g.ledger[id] != nil {
		return false
	}
	rec := &wire.AttemptResponse{State: wire.AttemptState_ATTEMPT_STATE_TOMBSTONE}
	g.ledger[id] = rec
	if a.Incarnation != g.incarnation {
		return false
	}
	rec.State = wire.AttemptState_ATTEMPT_STATE_BEGUN
	m.runsByKey[r.Key]++
	m.runsByRequest[r.RequestID]++
	m.hashByKey[r.Key] = r.BodyHash
	if m.runsByKey[r.Key] > 1 {
		m.failf("key %s has run %d times", r.Key, m.runsByKey[r.Key])
	}
	if m.refusedNotRun[r.RequestID] {
		m.failf("request %s has run after it was refused with run: no", r.RequestID)
	}
	m.spawn(g, func() {
		if m.yield() != loseReply {
			rec.Answer = &wire.Answer{Status: 200, Body: []byte(r.Key + r.RequestID)}
		}
		rec.State = wire.AttemptState_ATTEMPT_STATE_DONE
		if m.claims().Record(context.Background(), a, rec.Answer) == nil {
			g.recorded = append(g.recorded, id)
		}
	})
	return true
}

// dispatch sends the attempt once and waits for its answer.
func (m *model) dispatch(s *claim.Snapshot, r claim.Request) *wire.Answer {
	if m.now.After(s.DispatchBefore) {
		return nil
	}
	a := s.Attempt()
	g := m.agents[netip.MustParseAddrPort(s.Claim.Agent).Port()-1]
	accepted := false
	if m.send(always, func() { accepted = m.handleDispatch(g, a, r) }) != nil || !accepted {
		return nil
	}
	for range 4 {
		if m.yield() != deliver || g.incarnation != a.Incarnation {
			return nil
		}
		if rec := g.ledger[attemptID(a)]; rec.GetState() == wire.AttemptState_ATTEMPT_STATE_DONE {
			return rec.Answer
		}
	}
	return nil
}

// checkAnswer fails if a caller receives a wrong answer, or if the key has not run
// exactly once.
func (m *model) checkAnswer(r claim.Request, a *wire.Answer) {
	body := string(a.GetBody())
	if old, ok := m.answerByKey[r.Key]; ok && old != body || m.hashByKey[r.Key] != r.BodyHash || m.runsByKey[r.Key] != 1 {
		m.failf("key %s: got answer %q after %q, %d runs", r.Key, body, old, m.runsByKey[r.Key])
	}
	m.answerByKey[r.Key] = body
}

// checkNotRun fails if a request has run although it is refused with "run: no".
func (m *model) checkNotRun(r claim.Request) {
	if m.runsByRequest[r.RequestID] > 0 {
		m.failf("request %s was refused with run: no, but has run", r.RequestID)
	}
	m.refusedNotRun[r.RequestID] = true
}

// runEntry handles one request of a caller as an entry does, and stores the result
// for the caller in outcome. firstAgent is the index of the first attempt's agent.
// If reassigns is set, the entry reassigns the claim after a failed attempt;
// otherwise it revokes the claim.
func (m *model) runEntry(r claim.Request, firstAgent int, reassigns bool, outcome *string) {
	ctx := context.Background()
	c := m.claims()
	to := func(i int) claim.Target {
		g := m.agents[i%len(m.agents)]
		return claim.Target{Upstream: g.addr.String(), Agent: g.addr, Incarnation: g.incarnation}
	}
	*outcome = "unknown"
	s, err := c.Open(ctx, r, to(firstAgent))
	for i := firstAgent + 1; i < firstAgent+5; i++ {
		if err == nil {
			if a := m.dispatch(s, r); a != nil {
				m.checkAnswer(r, a)
				*outcome = "answer"
				return
			}
			if !reassigns {
				if _, err = c.Revoke(ctx, s); err == nil {
					m.checkNotRun(r)
					*outcome = "no"
				}
				return
			}
			s, err = c.Reassign(ctx, s, r, to(i))
			continue
		}
		if refusal, ok := core.AsRefusal(err); ok && refusal.Execution == core.NotExecuted {
			m.checkNotRun(r)
			*outcome = "no"
			return
		}
		result, e := c.Await(ctx, r)
		if e != nil {
			return
		}
		switch result.State {
		case claim.StateNoClaim:
			s, err = c.Open(ctx, r, to(i))
		case claim.StateAbsent, claim.StateNotRun:
			s, err = c.Reassign(ctx, result.Snapshot, r, to(i))
		case claim.StateAnswered:
			m.checkAnswer(r, result.Answer)
			*outcome = "answer"
			return
		default:
			if result.State == claim.StateConflict {
				*outcome = "conflict"
			}
			return
		}
	}
}
