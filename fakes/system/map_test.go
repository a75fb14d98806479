package system_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"parsleyroute.example/core"
	"parsleyroute.example/core/suite/ranks"
	"parsleyroute.example/fakes/process/ports"
)

// resumeTimeout is the time within which a group must run steps again after a fault.
const resumeTimeout = 15 * time.Second

// rankCluster is a cluster whose upstreams are the ranks of one group.
type rankCluster struct {
	*cluster
	group netip.AddrPort
	seed  uint64
}

func newRankCluster(n int) *rankCluster {
	r := &rankCluster{group: ports.Next()}
	s := clusterConfig{
		zones: []string{"a"}, entries: 2, limit: 4, coldLimit: 4,
		extraDeclarations: "[[service]]\nname = \"experts\"\nlayers = 2\nexperts = 8\nslots = 3\nroutes = [{prefix = \"/\", repeatable = true}]\n",
	}
	var agents []*node
	for i := range n {
		a := &node{
			name: fmt.Sprintf("agent-rank-%d", i), zone: "a", listen: ports.Next(), backend: ports.Next(),
			upstream: fmt.Sprintf("rank-%d", i), kind: "engine", engineSettings: fmt.Sprintf("group = %q\nrank = %d\n", r.group, i),
		}
		a.peer = a.listen
		agents = append(agents, a)
		s.extraDeclarations += fmt.Sprintf("[[upstream]]\nname = %q\nservice = \"experts\"\nzone = \"a\"\nagent = %q\ngroup = \"g\"\nrank = %d\nlimit = 4\ncold = 4\n",
			a.upstream, a.listen, i)
	}
	r.cluster = newCluster(s)
	startProgram(r.dir, "group", "fakes", "group", "--listen", r.group.String(), "--set",
		fmt.Sprintf(`{"layers":2,"ranks":%d,"slots_per_rank":3,"experts":8,"base_ms":2,"token_us":20,"stage_ms":5}`, n))
	r.waitListening(r.group)
	for _, a := range agents {
		r.startAgent(a)
		r.agents = append(r.agents, a)
	}
	r.waitReady()
	return r
}

func (r *rankCluster) groupStats() ranks.Stats {
	GinkgoHelper()
	var st ranks.Stats
	r.getJSON(r.group, "/control/stats", &st)
	return st
}

// shiftLoad changes which experts are hot, so that the leader moves experts.
func (r *rankCluster) shiftLoad() {
	r.seed++
	r.control(r.group, http.MethodPut, "/control/load", map[string]any{"zipf": 1.4, "tokens": 400, "seed": r.seed})
}

// expectSteps checks that the group runs steps within the limit, and that no step
// mixed two expert maps.
func (r *rankCluster) expectSteps(limit time.Duration) {
	GinkgoHelper()
	from := r.groupStats().Steps
	Eventually(func() int { return r.groupStats().Steps }, limit, "20ms").Should(BeNumerically(">", from+20))
	Expect(r.groupStats().Mixed).To(BeEmpty())
}

// expectSwitch shifts the load until the leader has switched the expert map once
// more on all ranks.
func (r *rankCluster) expectSwitch(limit time.Duration) {
	GinkgoHelper()
	from := r.groupStats().Switches
	next := time.Now()
	Eventually(func() int {
		if time.Now().After(next) {
			r.shiftLoad()
			next = time.Now().Add(4 * time.Second)
		}
		return r.groupStats().Switches
	}, limit, "50ms").Should(BeNumerically(">=", from+len(r.agents)))
	Expect(r.groupStats().Mixed).To(BeEmpty())
}

// leader returns the entry that holds the group's lease.
func (r *rankCluster) leader() *node {
	GinkgoHelper()
	var out *node
	Eventually(func() *node {
		o, err := r.store.Get(GinkgoT().Context(), core.Key{Kind: core.KindLease, Name: "g"})
		if err != nil {
			return nil
		}
		for _, e := range r.entries {
			if strings.HasPrefix(o.Writer, e.name+"/") {
				out = e
			}
		}
		return out
	}, "30s", "50ms").ShouldNot(BeNil())
	return out
}

var _ = Describe("expert map", func() {
	// Guards against steps with mixed expert maps, and against a group that stays
	// held when an agent, the coordinator or the leader dies or is paused during
	// its work.
	It("is switched by the leader despite faults of agents and entries", func() {
		r := newRankCluster(4)
		By("switching without faults")
		r.expectSwitch(40 * time.Second)
		for _, rank := range []int{0, 2} {
			a := r.agents[rank]
			By("killing and restarting the agent of rank " + fmt.Sprint(rank))
			r.shiftLoad()
			time.Sleep(500 * time.Millisecond)
			a.kill()
			time.Sleep(time.Second)
			a.start(r.dir)
			r.expectSteps(resumeTimeout)
			By("pausing the agent of rank " + fmt.Sprint(rank))
			r.shiftLoad()
			time.Sleep(700 * time.Millisecond)
			a.signal(syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			a.signal(syscall.SIGCONT)
			r.expectSteps(resumeTimeout)
			r.expectSwitch(40 * time.Second)
		}
		By("pausing the leader until its lease expires")
		old := r.leader()
		r.shiftLoad()
		old.signal(syscall.SIGSTOP)
		// The coordinator admits an engine without a leader: the lease lasts 10 s.
		time.Sleep(500 * time.Millisecond)
		r.control(r.group, http.MethodPost, "/control/replace", map[string]any{"rank": 1})
		r.expectSteps(5 * time.Second)
		Eventually(r.leader, 40*time.Second, "100ms").ShouldNot(BeIdenticalTo(old))
		r.expectSteps(resumeTimeout)
		r.expectSwitch(40 * time.Second)
		old.signal(syscall.SIGCONT)
		r.expectSteps(resumeTimeout)
		r.expectSwitch(40 * time.Second)
		Expect(r.leader()).NotTo(BeIdenticalTo(old))
		By("killing the leader")
		r.leader().kill()
		r.expectSteps(resumeTimeout)
		r.expectSwitch(40 * time.Second)
		Expect(r.groupStats().MixedSteps).To(BeZero())
	})
})
