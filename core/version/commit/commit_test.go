package commit

import (
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gravitational/trace"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	_ "parsleyroute.example/core/suite/seed"
)

// setFlag raises a default of rapid for one test; a value given on the command
// line stays.
func setFlag(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	old := f.Value.String()
	if old != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Value.Set(old) })
}

// Guards against a step in which ranks use different maps, an epoch that goes
// back, and a group that no longer steps: messages are delayed, reordered,
// duplicated and lost; deciders, agents, leaders and engines are replaced at
// every point while their predecessors go on.
func TestSwitchUnderFaults(t *testing.T) {
	setFlag(t, "rapid.checks", "5000")
	setFlag(t, "rapid.steps", "100")
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "ranks")
		w := newWorld(n)
		w.addDecider()
		rank := rapid.IntRange(0, n-1)
		decider := func(t *rapid.T) int { return rapid.IntRange(0, len(w.ms)-1).Draw(t, "decider") }
		deliver := func(t *rapid.T) {
			if len(w.orders) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(w.orders)-1).Draw(t, "order")
			if rapid.IntRange(0, 5).Draw(t, "twice") == 0 {
				w.orders = append(w.orders, w.orders[i])
			}
			w.carryOut(i)
		}
		answer := func(t *rapid.T) {
			if len(w.replies) == 0 {
				t.Skip()
			}
			w.answer(rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply"))
		}
		step := func(t *rapid.T) { w.step(rank.Draw(t, "rank")) }
		t.Repeat(map[string]func(*rapid.T){
			"order": deliver, "order2": deliver, "order3": deliver, "order4": deliver,
			"reply": answer, "reply2": answer, "reply3": answer, "reply4": answer,
			"step": step, "step2": step, "step3": step,
			"rounds": func(t *rapid.T) { // fault-free time, so that runs come far
				for range rapid.IntRange(1, 4).Draw(t, "rounds") {
					for range len(w.orders) {
						w.carryOut(0)
					}
					for range len(w.replies) {
						w.answer(0)
					}
				}
			},
			"drop": func(t *rapid.T) {
				if len(w.orders) == 0 {
					t.Skip()
				}
				w.orders = append([]flight(nil), w.orders[1:]...)
			},
			"timeout": func(t *rapid.T) { w.timeout(decider(t), rank.Draw(t, "rank")) },
			"retry":   func(t *rapid.T) { w.retry(decider(t)) },
			"recover": func(t *rapid.T) {
				if d := decider(t); w.ms[d].phase == phaseIdle {
					w.send(d, w.ms[d].start())
				}
			},
			"request": func(t *rapid.T) {
				on := 1<<n - 1
				if rapid.IntRange(0, 4).Draw(t, "partly") == 0 {
					on = rapid.IntRange(0, on).Draw(t, "on")
				}
				w.request(decider(t), on)
			},
			"leader": func(*rapid.T) { w.token++ },
			"decider": func(t *rapid.T) {
				if len(w.ms) == 4 {
					t.Skip()
				}
				w.addDecider()
			},
			"agent": func(t *rapid.T) {
				r := rank.Draw(t, "rank")
				w.fences[r] = w.engines[r].PromisedBallot.Token
			},
			"replace": func(t *rapid.T) {
				if rapid.IntRange(0, 2).Draw(t, "really") == 0 {
					w.replace(rank.Draw(t, "rank"))
				}
			},
			"": func(t *rapid.T) {
				if w.fault != "" {
					t.Fatal(w.fault)
				}
			},
		})
		fresh := rapid.Bool().Draw(t, "fresh")
		if rounds := w.settle(80, fresh); w.fault != "" || rounds < 0 {
			t.Fatalf("after the faults: %q, rounds %d, %+v", w.fault, rounds, w.engines)
		}
	})
}

// Guards against the same faults exhaustively: two ranks, one switch, two
// deciders, one time-out or one replaced engine, and every order of messages
// and steps.
func TestSwitchExhaustively(t *testing.T) {
	type node struct {
		w                  *world
		deciders, timeouts int
		replaces           int
		steps, ballots     uint64 // bounds
		rivals             bool   // two deciders that have recovered, a switch asked of each
	}
	second := func(w *world) {
		m := newMachine(2, 1)
		m.saw(core.Ballot{Token: 1, Number: 1}) // saves a refused first round
		w.ms = append(w.ms, m)
		w.send(1, m.start())
	}
	for _, c := range []node{
		{deciders: 1, steps: 2, ballots: 2},
		{timeouts: 1, steps: 3, ballots: 4},
		{replaces: 1, steps: 2, ballots: 2},
		{rivals: true, steps: 2},
	} {
		w := newWorld(2)
		w.ms = append(w.ms, newMachine(2, 1))
		if c.rivals {
			for d := range 2 {
				if d == 0 {
					w.send(0, w.ms[0].start())
				} else {
					second(w)
				}
				for len(w.orders)+len(w.replies) > 0 {
					for range len(w.orders) {
						w.carryOut(0)
					}
					for range len(w.replies) {
						w.answer(0)
					}
				}
			}
			// Ballots that no rank has refused yet, the second one higher.
			w.ms[0].saw(w.ms[1].floor)
			w.request(0, 3)
			w.ms[1].saw(w.ms[0].floor)
			w.request(1, 3)
		} else {
			w.request(0, 3)
		}
		c.w = w
		seen := map[string]bool{}
		stack := []node{c}
		ends := 0
		for len(stack) > 0 {
			n := stack[len(stack)-1]
			stack = stack[:len(stack)-1]
			k := n.w.key() + string(rune('0'+n.deciders*9+n.timeouts*3+n.replaces))
			if seen[k] {
				continue
			}
			seen[k] = true
			if n.w.fault != "" {
				t.Fatal(n.w.fault)
			}
			try := func(f func(*node) bool) {
				next := n
				next.w = n.w.clone()
				if f(&next) {
					next.w.quiet(next.replaces > 0)
					stack = append(stack, next)
				}
			}
			moved := len(stack)
			for i := range n.w.orders {
				try(func(x *node) bool { x.w.carryOut(i); return true })
			}
			for i := range n.w.replies {
				try(func(x *node) bool { x.w.answer(i); return true })
			}
			for r := range 2 {
				if n.w.engines[r].Step < n.steps {
					try(func(x *node) bool { return x.w.step(r) })
				}
				if n.timeouts > 0 {
					try(func(x *node) bool { x.timeouts--; x.w.timeout(0, r); return true })
				}
				if n.replaces > 0 {
					try(func(x *node) bool {
						x.replaces--
						x.w.replace(r)
						second(x.w)
						return true
					})
				}
			}
			for d := range n.w.ms {
				if n.w.ms[d].phase == phaseBackoff && n.w.ms[d].ballot.Number < n.ballots {
					try(func(x *node) bool { x.w.retry(d); return true })
				}
			}
			if n.deciders > 0 {
				try(func(x *node) bool {
					x.deciders--
					second(x.w)
					return true
				})
			}
			if len(stack) == moved {
				ends++
			}
			if len(seen)%256 == 0 || len(stack) == moved {
				if e := n.w.clone(); e.settle(60, len(seen)%2 == 0) < 0 || e.fault != "" {
					t.Fatalf("does not go on: %q %+v", e.fault, e.engines)
				}
			}
		}
		t.Logf("%d states, %d ends", len(seen), ends)
	}
}

// Guards against a late promise of an older ballot that counts for the current
// one, which would commit a step that a rank has not promised.
func TestLateRepliesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2)
	w.ms = append(w.ms, newMachine(2, 1))
	m := w.ms[0]
	w.request(0, 3)
	until := func(p phase, number uint64) {
		for m.phase != p || m.ballot.Number != number {
			for range len(w.orders) {
				w.carryOut(0)
			}
			g.Expect(w.replies).NotTo(BeEmpty())
			w.answer(0)
		}
	}
	until(phasePrepare, 1)
	var late []reply
	for _, f := range w.orders {
		late = append(late, reply{order: f.order, state: w.engines[f.order.rank].RankState})
	}
	w.orders = nil
	m.on(reply{order: late[0].order, outcome: refused})
	w.retry(0)
	until(phasePrepare, 2)
	for _, r := range late {
		g.Expect(m.on(r)).To(BeEmpty())
	}
	g.Expect(m.phase).To(Equal(phasePrepare))
	g.Expect(m.waiting).To(Equal([]bool{true, true}))
}

type rig struct {
	w       *world
	lock    chan struct{}
	ranks   []*FencedRank
	decider *Coordinator
	clients []*Client
}

// newRig serves a model group over twirp on loopback.
func newRig(t *testing.T, n int) *rig {
	g := &rig{w: newWorld(n), lock: make(chan struct{}, 1)}
	g.decider = &Coordinator{Clock: clock.Real{}, RetryDelay: time.Millisecond, PollInterval: 10 * time.Millisecond}
	for r := range n {
		rank := &FencedRank{Engine: &group{w: g.w, lock: g.lock, rank: r}}
		s := &Server{Group: "g", Rank: rank}
		if r == 0 {
			s.Coordinator = g.decider
		}
		h := httptest.NewServer(s.Handler("key"))
		t.Cleanup(h.Close)
		c := NewClient(h.URL, "g", "key", time.Second, http.DefaultClient)
		g.ranks, g.clients = append(g.ranks, rank), append(g.clients, c)
		g.decider.Ranks = append(g.decider.Ranks, c)
		go func() { _ = rank.Run(context.Background()) }()
		t.Cleanup(rank.Close)
	}
	go func() { _ = g.decider.Run(context.Background()) }()
	t.Cleanup(g.decider.Close)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case g.lock <- struct{}{}:
				g.w.step(i % n)
				<-g.lock
				time.Sleep(100 * time.Microsecond)
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
	return g
}

// Guards against faults of the servers around the state machine: a switch over
// twirp, a replaced engine that is admitted, a stale token and a wrong key.
func TestSwitchOverTwirp(t *testing.T) {
	g := NewWithT(t)
	s := newRig(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	m := &core.ExpertMap{Epoch: 2, Layers: 1, Ranks: 3, SlotsPerRank: 1, Experts: 3, Slots: []uint32{0, 1, 2}}
	g.Expect(trace.IsNotFound(s.clients[0].Switch(ctx, 5, 2))).To(BeTrue(), "not staged")
	for _, c := range s.clients {
		_, err := c.Stage(ctx, core.Ballot{Token: 5}, m)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(s.clients[0].Switch(ctx, 5, 2)).To(Succeed())
	epochs := func() []uint64 {
		var out []uint64
		for _, c := range s.clients {
			st, err := c.Inspect(ctx, core.Ballot{})
			g.Expect(err).NotTo(HaveOccurred())
			out = append(out, st.ActiveEpoch)
		}
		return out
	}
	g.Eventually(epochs, "5s").Should(Equal([]uint64{2, 2, 2}))
	s.lock <- struct{}{}
	s.w.replace(1)
	<-s.lock
	g.Eventually(epochs, "5s").Should(Equal([]uint64{2, 2, 2}))
	// A decider that died after all had promised: the ranks hold until the poll
	// of its successor finds them.
	s.lock <- struct{}{}
	for r := range s.w.engines {
		e := &s.w.engines[r]
		e.PromisedBallot.Number += 10
		e.stage(3)
		e.PromisedEpoch, e.PromisedStep = 3, s.w.engines[0].Step+20
	}
	<-s.lock
	open := func() int {
		n := 0
		for _, c := range s.clients {
			st, err := c.Inspect(ctx, core.Ballot{})
			g.Expect(err).NotTo(HaveOccurred())
			n += b2i(st.PromisedEpoch != 0)
		}
		return n
	}
	g.Expect(open()).To(Equal(3))
	g.Eventually(open, "5s").Should(BeZero())
	g.Expect(epochs()).To(Equal([]uint64{2, 2, 2}))
	_, err := s.clients[2].Stage(ctx, core.Ballot{Token: 4}, m)
	g.Expect(trace.IsCompareFailed(err)).To(BeTrue(), "%v", err)
	_, err = s.clients[2].Stage(ctx, core.Ballot{Token: 5}, &core.ExpertMap{Epoch: 9, Layers: 1, Ranks: 3, Slots: []uint32{7}})
	g.Expect(trace.IsBadParameter(err)).To(BeTrue(), "%v", err)
	g.Expect(trace.IsCompareFailed(s.clients[0].Switch(ctx, 4, 3))).To(BeTrue())
	g.Expect(s.clients[0].Switch(ctx, 5, 2)).To(Succeed(), "a repeated switch")
	load, err := s.clients[1].Load(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(load).To(Equal(core.ExpertLoad{{1, 2}, {3, 4}}))
	other := *s.clients[1]
	other.key = "other"
	_, err = other.Load(ctx)
	g.Expect(trace.IsAccessDenied(err)).To(BeTrue(), "%v", err)
	s.lock <- struct{}{}
	defer func() { <-s.lock }()
	g.Expect(s.w.fault).To(BeEmpty())
}
