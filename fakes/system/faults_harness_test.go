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
	"parsleyroute.example/fakes/process/ports"
	"parsleyroute.example/fakes/process/proxy"
)

// proxiedCluster is a cluster with a fault proxy in front of each agent, at the
// agent's declared address, and between each agent and its upstream.
type proxiedCluster struct {
	*cluster
	proxy netip.AddrPort
}

// The proxy has two links for each agent: agentLink leads from the entries to the
// agent, backendLink from the agent to its upstream.
func agentLink(a *node) string   { return "front-" + a.name }
func backendLink(a *node) string { return "back-" + a.name }

// newProxiedCluster starts a cluster whose entries reach the agents, and whose
// agents reach their upstreams, through a fault proxy.
func newProxiedCluster(s clusterConfig) *proxiedCluster {
	c := newCluster(clusterConfig{zones: s.zones, seeds: s.seeds, extraDeclarations: s.extraDeclarations})
	f := &proxiedCluster{cluster: c, proxy: ports.Next()}
	c.config = s
	c.addAgents()
	var pairs []proxy.LinkConfig
	for _, a := range c.agents {
		pairs = append(pairs, proxy.LinkConfig{Name: agentLink(a), Listen: ports.Next(), Target: a.listen},
			proxy.LinkConfig{Name: backendLink(a), Listen: ports.Next(), Target: a.backend})
	}
	links, err := json.Marshal(pairs)
	Expect(err).NotTo(HaveOccurred())
	startProgram(c.dir, "proxy", "fakes", "proxy", "--listen", f.proxy.String(), "--pairs", string(links))
	c.waitListening(f.proxy)
	for _, z := range s.zones {
		for i := range s.entries {
			c.addEntry(z, i)
		}
	}
	f.declareUpstreams(pairs)
	for i, a := range c.agents {
		a.backendProcess = startProgram(c.dir, a.upstream, append([]string{"fakes", a.kind, "--listen", a.backend.String()}, a.args...)...)
		c.waitListening(a.backend)
		path := c.writeSettings(a, fmt.Sprintf("listen = %q\nupstream = %q\n", a.listen, a.upstream),
			fmt.Sprintf("[engine]\nkind = %q\naddress = %q\n", a.kind, pairs[2*i+1].Listen))
		a.process = startProgram(c.dir, a.name, "agent", "--settings", path)
		c.listInstance(a, "agent", false)
	}
	for _, e := range c.entries {
		c.startEntry(e)
	}
	c.waitReady()
	return f
}

// declareUpstreams declares the upstreams with the proxy's addresses. newCluster
// has already created all other declarations.
func (f *proxiedCluster) declareUpstreams(pairs []proxy.LinkConfig) {
	var b strings.Builder
	for i, a := range f.agents {
		service, _, _ := strings.Cut(a.upstream, "-")
		fmt.Fprintf(&b, "[[upstream]]\nname = %q\nservice = %q\nzone = %q\nagent = %q\nlimit = %d\ncold = %d\nstep = %d\n",
			a.upstream, service, a.zone, pairs[2*i].Listen, f.config.limit, f.config.coldLimit, max(f.config.limitStep, 1))
	}
	f.apply(b.String())
}

// setLink sets the fault of the named link. The zero Fault clears it.
func (f *proxiedCluster) setLink(name string, fault proxy.Fault) {
	f.control(f.proxy, http.MethodPut, "/control/links?name="+name, fault)
}

// putFaults changes those fault settings of the platform that v contains.
func (c *cluster) putFaults(v map[string]any) {
	c.control(c.platformAddr, http.MethodPut, "/control/faults", v)
}

// restart kills the processes and starts them again with the same settings.
func (c *cluster) restart(nodes ...*node) {
	for _, n := range nodes {
		n.kill()
	}
	for _, n := range nodes {
		n.start(c.dir)
	}
}

// suspend stops the processes with SIGSTOP for d.
func suspend(d time.Duration, nodes ...*node) {
	for _, n := range nodes {
		n.signal(syscall.SIGSTOP)
	}
	time.Sleep(d)
	for _, n := range nodes {
		n.signal(syscall.SIGCONT)
	}
}

// runsByKey counts the runs of each idempotency key over all plain upstreams.
func (c *cluster) runsByKey() map[string]int {
	total := map[string]int{}
	for _, a := range c.upstreams("desk", "") {
		var got load.Runs
		c.getJSON(a.backend, "/control/runs", &got)
		for k, n := range got.Keys {
			total[k] += n
		}
	}
	return total
}
