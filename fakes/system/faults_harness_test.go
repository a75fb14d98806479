package system_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/gomega"

	"parsleyroute.example/fakes/process/load"
	"parsleyroute.example/fakes/process/proxy"
)

// faulty is a cluster with a fault proxy before each agent, at the declared
// address, and between each agent and its upstream.
type faulty struct {
	*cluster
	proxy netip.AddrPort
}

// The names of a proxy's links.
func front(a *node) string { return "front-" + a.name }
func back(a *node) string  { return "back-" + a.name }

// newFaulty starts a cluster whose entries reach the agents, and whose agents
// reach their upstreams, through a fault proxy.
func newFaulty(s shape) *faulty {
	c := newCluster(shape{zones: s.zones, seeds: s.seeds, extraDeclaration: s.extraDeclaration})
	f := &faulty{cluster: c, proxy: freePort()}
	c.shape = s
	c.planAgents()
	var pairs []proxy.LinkConfig
	for _, a := range c.agents {
		pairs = append(pairs, proxy.LinkConfig{Name: front(a), Listen: freePort(), Target: a.listen},
			proxy.LinkConfig{Name: back(a), Listen: freePort(), Target: a.backend})
	}
	links, err := json.Marshal(pairs)
	Expect(err).NotTo(HaveOccurred())
	program(c.dir, "proxy", "fakes", "proxy", "--listen", f.proxy.String(), "--pairs", string(links))
	c.waitOpen(f.proxy)
	for _, z := range s.zones {
		for i := range s.entries {
			c.planEntry(z, i)
		}
	}
	f.declareUpstreams(pairs)
	for i, a := range c.agents {
		a.engine = program(c.dir, a.upstream, append([]string{"fakes", a.kind, "--listen", a.backend.String()}, a.args...)...)
		c.waitOpen(a.backend)
		path := c.settings(a, fmt.Sprintf("listen = %q\nupstream = %q\n", a.listen, a.upstream),
			fmt.Sprintf("[engine]\nkind = %q\naddress = %q\n", a.kind, pairs[2*i+1].Listen))
		a.process = program(c.dir, a.name, "agent", "--settings", path)
		c.list(a, "agent", false)
	}
	for _, e := range c.entries {
		c.startEntry(e)
	}
	c.waitReady()
	return f
}

// declareUpstreams declares the upstreams at the proxy's addresses. newCluster
// has declared everything else.
func (f *faulty) declareUpstreams(pairs []proxy.LinkConfig) {
	var b strings.Builder
	for i, a := range f.agents {
		service, _, _ := strings.Cut(a.upstream, "-")
		fmt.Fprintf(&b, "[[upstream]]\nname = %q\nservice = %q\nzone = %q\nagent = %q\nlimit = %d\ncold = %d\nstep = %d\n",
			a.upstream, service, a.zone, pairs[2*i].Listen, f.shape.limit, f.shape.cold, max(f.shape.step, 1))
	}
	f.apply(b.String())
}

// link changes the fault state of a link.
func (f *faulty) link(name string, fault proxy.Fault) {
	f.control(f.proxy, http.MethodPut, "/control/links?name="+name, fault)
}

// platformFaults changes the faults of the platform that v names.
func (c *cluster) platformFaults(v map[string]any) {
	c.control(c.platAddr, http.MethodPut, "/control/faults", v)
}

// restart kills processes and starts them again with the same settings.
func (c *cluster) restart(nodes ...*node) {
	for _, n := range nodes {
		n.kill()
	}
	for _, n := range nodes {
		n.start(c.dir)
	}
}

// freeze stops the processes for d.
func freeze(d time.Duration, nodes ...*node) {
	for _, n := range nodes {
		n.signal(syscall.SIGSTOP)
	}
	time.Sleep(d)
	for _, n := range nodes {
		n.signal(syscall.SIGCONT)
	}
}

// allRuns returns the runs of all keys at all plain services.
func (c *cluster) allRuns() map[string]int {
	total := map[string]int{}
	for _, a := range c.upstreams("desk", "") {
		var got load.Runs
		c.stats(a.backend, "/control/runs", &got)
		for k, n := range got.Keys {
			total[k] += n
		}
	}
	return total
}
