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

// proxiedCluster is a cluster with a fault proxy before each agent, at the declared
// address, and between each agent and its upstream.
type proxiedCluster struct {
	*cluster
	proxy netip.AddrPort
}

// The names of a proxy's links.
func agentLink(a *node) string { return "front-" + a.name }
func backendLink(a *node) string  { return "back-" + a.name }

// newProxiedCluster starts a cluster whose entries reach the agents, and whose agents
// reach their upstreams, through a fault proxy.
func newProxiedCluster(s clusterConfig) *proxiedCluster {
	c := newCluster(clusterConfig{zones: s.zones, seeds: s.seeds, extraDeclaration: s.extraDeclaration})
	f := &proxiedCluster{cluster: c, proxy: freeAddr()}
	c.config = s
	c.addAgents()
	var pairs []proxy.Pair
	for _, a := range c.agents {
		pairs = append(pairs, proxy.Pair{Name: agentLink(a), Listen: freeAddr(), Target: a.listen},
			proxy.Pair{Name: backendLink(a), Listen: freeAddr(), Target: a.backend})
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

// declareUpstreams declares the upstreams at the proxy's addresses. newCluster
// has declared everything else.
func (f *proxiedCluster) declareUpstreams(pairs []proxy.Pair) {
	var b strings.Builder
	for i, a := range f.agents {
		service, _, _ := strings.Cut(a.upstream, "-")
		fmt.Fprintf(&b, "[[upstream]]\nname = %q\nservice = %q\nzone = %q\nagent = %q\nlimit = %d\ncold = %d\nstep = %d\n",
			a.upstream, service, a.zone, pairs[2*i].Listen, f.config.limit, f.config.coldLimit, max(f.config.step, 1))
	}
	f.apply(b.String())
}

// setLink changes the fault state of a setLink.
func (f *proxiedCluster) setLink(name string, fault proxy.Fault) {
	f.control(f.proxy, http.MethodPut, "/control/links?name="+name, fault)
}

// putFaults changes the faults of the platform that v names.
func (c *cluster) putFaults(v map[string]any) {
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

// suspend stops the processes for d.
func suspend(d time.Duration, nodes ...*node) {
	for _, n := range nodes {
		n.signal(syscall.SIGSTOP)
	}
	time.Sleep(d)
	for _, n := range nodes {
		n.signal(syscall.SIGCONT)
	}
}

// runsByKey returns the runs of all keys at all plain services.
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
