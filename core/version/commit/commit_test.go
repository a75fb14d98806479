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

// setFlag changes the default of a rapid flag for one test. It keeps a value that
// is given on the command line.
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

// Guards against a step in which ranks use different maps, an epoch that
// decreases, and a group that stops stepping. Messages are delayed, reordered,
// duplicated and lost. Coordinators, agents, leaders and engines are replaced at
// any point while their predecessors continue.
func TestSwitchUnderFaults(t *testing.T) {
	setFlag(t, "rapid.checks", "5000")
	setFlag(t, "rapid.steps", "100")
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(t, "ranks")
		sim := newSimulation(n)
		sim.addCoordinator()
		rank := rapid.IntRange(0, n-1)
		coordinator := func(t *rapid.T) int { return rapid.IntRange(0, len(sim.machines)-1).Draw(t, "coordinator") }
		deliverOrder := func(t *rapid.T) {
			if len(sim.orders) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(sim.orders)-1).Draw(t, "order")
			if rapid.IntRange(0, 5).Draw(t, "twice") == 0 {
				sim.orders = append(sim.orders, sim.orders[i])
			}
			sim.deliverOrder(i)
		}
		deliverReply := func(t *rapid.T) {
			if len(sim.replies) == 0 {
				t.Skip()
			}
			sim.deliverReply(rapid.IntRange(0, len(sim.replies)-1).Draw(t, "reply"))
		}
		stepRank := func(t *rapid.T) { sim.stepRank(rank.Draw(t, "rank")) }
		t.Repeat(map[string]func(*rapid.T){
			"order": deliverOrder, "order2": deliverOrder, "order3": deliverOrder, "order4": deliverOrder,
			"reply": deliverReply, "reply2": deliverReply, "reply3": deliverReply, "reply4": deliverReply,
			"step": stepRank, "step2": stepRank, "step3": stepRank,
			"rounds": func(t *rapid.T) { // without faults, so that runs make progress
				for range rapid.IntRange(1, 4).Draw(t, "rounds") {
					for range len(sim.orders) {
						sim.deliverOrder(0)
					}
					for range len(sim.replies) {
						sim.deliverReply(0)
					}
				}
			},
			"drop": func(t *rapid.T) {
				if len(sim.orders) == 0 {
					t.Skip()
				}
				sim.orders = append([]orderInFlight(nil), sim.orders[1:]...)
			},
			"timeout": func(t *rapid.T) { sim.timeOut(coordinator(t), rank.Draw(t, "rank")) },
			"retry":   func(t *rapid.T) { sim.retry(coordinator(t)) },
			"recover": func(t *rapid.T) {
				if coord := coordinator(t); sim.machines[coord].phase == phaseIdle {
					sim.send(coord, sim.machines[coord].startAttempt())
				}
			},
			"request": func(t *rapid.T) {
				stagedOn := 1<<n - 1
				if rapid.IntRange(0, 4).Draw(t, "partly") == 0 {
					stagedOn = rapid.IntRange(0, stagedOn).Draw(t, "staged on")
				}
				sim.requestSwitch(coordinator(t), stagedOn)
			},
			"leader": func(*rapid.T) { sim.leaderToken++ },
			"coordinator": func(t *rapid.T) {
				if len(sim.machines) == 4 {
					t.Skip()
				}
				sim.addCoordinator()
			},
			"agent": func(t *rapid.T) {
				r := rank.Draw(t, "rank")
				sim.highestTokens[r] = sim.engines[r].PromisedBallot.Token
			},
			"replace": func(t *rapid.T) {
				if rapid.IntRange(0, 2).Draw(t, "really") == 0 {
					sim.replaceEngine(rank.Draw(t, "rank"))
				}
			},
			"": func(t *rapid.T) {
				if sim.violation != "" {
					t.Fatal(sim.violation)
				}
			},
		})
		newCoordinator := rapid.Bool().Draw(t, "new coordinator")
		if rounds := sim.runWithoutFaults(80, newCoordinator); sim.violation != "" || rounds < 0 {
			t.Fatalf("after the faults: %q, rounds %d, %+v", sim.violation, rounds, sim.engines)
		}
	})
}

// Guards against the same failures by exhaustive search: two ranks, one switch,
// two coordinators, one timeout or one replaced engine, and every order of
// messages and steps.
func TestSwitchExhaustively(t *testing.T) {
	type searchState struct {
		sim                       *simulation
		newCoordinators, timeouts int
		replacements              int
		maxSteps, maxBallots      uint64
		twoRequests               bool // two coordinators after their recovery, each with a switch request
	}
	addSecond := func(sim *simulation) {
		m := newMachine(2, 1)
		m.observeBallot(core.Ballot{Token: 1, Number: 1}) // avoids a refused first attempt
		sim.machines = append(sim.machines, m)
		sim.send(1, m.startAttempt())
	}
	for _, c := range []searchState{
		{newCoordinators: 1, maxSteps: 2, maxBallots: 2},
		{timeouts: 1, maxSteps: 3, maxBallots: 4},
		{replacements: 1, maxSteps: 2, maxBallots: 2},
		{twoRequests: true, maxSteps: 2},
	} {
		sim := newSimulation(2)
		sim.machines = append(sim.machines, newMachine(2, 1))
		if c.twoRequests {
			for coord := range 2 {
				if coord == 0 {
					sim.send(0, sim.machines[0].startAttempt())
				} else {
					addSecond(sim)
				}
				for len(sim.orders)+len(sim.replies) > 0 {
					for range len(sim.orders) {
						sim.deliverOrder(0)
					}
					for range len(sim.replies) {
						sim.deliverReply(0)
					}
				}
			}
			// Both ballots are higher than any that a rank has seen, the second
			// one is the highest.
			sim.machines[0].observeBallot(sim.machines[1].highestBallot)
			sim.requestSwitch(0, 3)
			sim.machines[1].observeBallot(sim.machines[0].highestBallot)
			sim.requestSwitch(1, 3)
		} else {
			sim.requestSwitch(0, 3)
		}
		c.sim = sim
		seen := map[string]bool{}
		stack := []searchState{c}
		finalStates := 0
		for len(stack) > 0 {
			n := stack[len(stack)-1]
			stack = stack[:len(stack)-1]
			k := n.sim.stateKey() + string(rune('0'+n.newCoordinators*9+n.timeouts*3+n.replacements))
			if seen[k] {
				continue
			}
			seen[k] = true
			if n.sim.violation != "" {
				t.Fatal(n.sim.violation)
			}
			explore := func(f func(*searchState) bool) {
				next := n
				next.sim = n.sim.clone()
				if f(&next) {
					next.sim.deliverCommuting(next.replacements > 0)
					stack = append(stack, next)
				}
			}
			before := len(stack)
			for i := range n.sim.orders {
				explore(func(x *searchState) bool { x.sim.deliverOrder(i); return true })
			}
			for i := range n.sim.replies {
				explore(func(x *searchState) bool { x.sim.deliverReply(i); return true })
			}
			for r := range 2 {
				if n.sim.engines[r].Step < n.maxSteps {
					explore(func(x *searchState) bool { return x.sim.stepRank(r) })
				}
				if n.timeouts > 0 {
					explore(func(x *searchState) bool { x.timeouts--; x.sim.timeOut(0, r); return true })
				}
				if n.replacements > 0 {
					explore(func(x *searchState) bool {
						x.replacements--
						x.sim.replaceEngine(r)
						addSecond(x.sim)
						return true
					})
				}
			}
			for coord := range n.sim.machines {
				if n.sim.machines[coord].phase == phaseBackoff && n.sim.machines[coord].ballot.Number < n.maxBallots {
					explore(func(x *searchState) bool { x.sim.retry(coord); return true })
				}
			}
			if n.newCoordinators > 0 {
				explore(func(x *searchState) bool {
					x.newCoordinators--
					addSecond(x.sim)
					return true
				})
			}
			if len(stack) == before {
				finalStates++
			}
			if len(seen)%256 == 0 || len(stack) == before {
				if e := n.sim.clone(); e.runWithoutFaults(60, len(seen)%2 == 0) < 0 || e.violation != "" {
					t.Fatalf("no progress without faults: %q %+v", e.violation, e.engines)
				}
			}
		}
		t.Logf("%d states, %d final states", len(seen), finalStates)
	}
}

// Guards against a late promise with an older ballot being counted for the
// current ballot, which would commit a step that a rank has not promised.
func TestLateRepliesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(2)
	sim.machines = append(sim.machines, newMachine(2, 1))
	m := sim.machines[0]
	sim.requestSwitch(0, 3)
	runUntil := func(p phase, number uint64) {
		for m.phase != p || m.ballot.Number != number {
			for range len(sim.orders) {
				sim.deliverOrder(0)
			}
			g.Expect(sim.replies).NotTo(BeEmpty())
			sim.deliverReply(0)
		}
	}
	runUntil(phasePrepare, 1)
	var late []reply
	for _, f := range sim.orders {
		late = append(late, reply{order: f.order, state: sim.engines[f.order.rank].RankState})
	}
	sim.orders = nil
	m.handleReply(reply{order: late[0].order, outcome: refused})
	sim.retry(0)
	runUntil(phasePrepare, 2)
	for _, r := range late {
		g.Expect(m.handleReply(r)).To(BeEmpty())
	}
	g.Expect(m.phase).To(Equal(phasePrepare))
	g.Expect(m.awaitingReply).To(Equal([]bool{true, true}))
}

// twirpGroup is a simulated group whose agents are called over twirp.
type twirpGroup struct {
	sim         *simulation
	lock        chan struct{}
	ranks       []*FencedRank
	coordinator *Coordinator
	clients     []*Client
}

// newTwirpGroup serves a simulated group over twirp on the loopback interface.
func newTwirpGroup(t *testing.T, n int) *twirpGroup {
	g := &twirpGroup{sim: newSimulation(n), lock: make(chan struct{}, 1)}
	g.coordinator = &Coordinator{Clock: clock.Real{}, RetryDelay: time.Millisecond, PollInterval: 10 * time.Millisecond}
	for r := range n {
		rank := &FencedRank{Engine: &modelRank{sim: g.sim, lock: g.lock, rank: r}}
		s := &Server{Group: "g", Rank: rank}
		if r == 0 {
			s.Coordinator = g.coordinator
		}
		h := httptest.NewServer(s.Handler("key"))
		t.Cleanup(h.Close)
		c := NewClient(h.URL, "g", "key", time.Second, http.DefaultClient)
		g.ranks, g.clients = append(g.ranks, rank), append(g.clients, c)
		g.coordinator.Ranks = append(g.coordinator.Ranks, c)
		go func() { _ = rank.Run(context.Background()) }()
		t.Cleanup(rank.Close)
	}
	go func() { _ = g.coordinator.Run(context.Background()) }()
	t.Cleanup(g.coordinator.Close)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case g.lock <- struct{}{}:
				g.sim.stepRank(i % n)
				<-g.lock
				time.Sleep(100 * time.Microsecond)
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-done })
	return g
}

// Guards against errors in the servers around the state machine, with a switch
// over twirp, the admission of a replaced engine, a stale token and a wrong key.
func TestSwitchOverTwirp(t *testing.T) {
	g := NewWithT(t)
	s := newTwirpGroup(t, 3)
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
	s.sim.replaceEngine(1)
	<-s.lock
	g.Eventually(epochs, "5s").Should(Equal([]uint64{2, 2, 2}))
	// A coordinator that crashed after all ranks had promised: the ranks hold
	// until a poll by its successor finds them.
	s.lock <- struct{}{}
	for r := range s.sim.engines {
		e := &s.sim.engines[r]
		e.PromisedBallot.Number += 10
		e.stage(3)
		e.PromisedEpoch, e.PromisedStep = 3, s.sim.engines[0].Step+20
	}
	<-s.lock
	openPromises := func() int {
		n := 0
		for _, c := range s.clients {
			st, err := c.Inspect(ctx, core.Ballot{})
			g.Expect(err).NotTo(HaveOccurred())
			n += b2i(st.PromisedEpoch != 0)
		}
		return n
	}
	g.Expect(openPromises()).To(Equal(3))
	g.Eventually(openPromises, "5s").Should(BeZero())
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
	wrongKey := *s.clients[1]
	wrongKey.key = "other"
	_, err = wrongKey.Load(ctx)
	g.Expect(trace.IsAccessDenied(err)).To(BeTrue(), "%v", err)
	s.lock <- struct{}{}
	defer func() { <-s.lock }()
	g.Expect(s.sim.violation).To(BeEmpty())
}
