package system_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/objapi"
	"parsleyroute.example/core/version/decl"
	"parsleyroute.example/fakes/process/ports"
)

const (
	peerKey     = "peer-key-of-the-tests"
	operatorKey = "operator-key-of-the-tests"
	rivalKey    = "key-of-the-second-operator" // of the operator "rival"
)

// process is a program under test with its log file.
type process struct {
	name string
	args []string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// startProgram starts a program of .out/bin and kills it at the end of the spec.
func startProgram(dir, name string, args ...string) *process {
	p := &process{name: name, args: args}
	p.start(dir)
	DeferCleanup(p.kill)
	return p
}

func (p *process) start(dir string) {
	bin, err := filepath.Abs("../../.out/bin/" + p.args[0])
	Expect(err).NotTo(HaveOccurred())
	p.log, err = os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	p.cmd = exec.Command(bin, p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// The kernel sends SIGHUP to a process group with a stopped process when the shell ends
	// that has started it. A group of its own keeps suspended processes from that.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	Expect(p.cmd.Start()).To(Succeed(), "run scripts/build.sh first")
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(p.cmd, p.done)
}

// kill sends SIGKILL, which also ends a stopped process, and waits for the exit.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
	_ = p.log.Close()
}

func (p *process) signal(s syscall.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

// endsWithin waits up to d and reports whether the process has exited.
func (p *process) endsWithin(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// clusterConfig describes the instances and upstreams of a cluster under test.
type clusterConfig struct {
	zones             []string
	entries           int // in each zone
	engines           int // in each zone, of service "model"
	plainServers      int // in each zone, of service "desk"
	limit, coldLimit  int // maximum concurrent requests of each upstream, warm and cold
	limitStep         int // completed requests per increase of a limit by one
	engineArgs        []string
	plainArgs         []string
	extraDeclarations string
	// seeds makes the peer addresses of all entries the seeds of each instance.
	seeds bool
}

// node is an entry, or an agent with its upstream.
type node struct {
	*process
	name, zone string
	listen     netip.AddrPort // callers (entry) or dispatches (agent)
	peer       netip.AddrPort
	backend    netip.AddrPort // the agent's upstream
	upstream   string
	kind       string // of the stand-in: engine or plain
	args       []string
	// engineSettings holds additional lines of the table engine in the agent's settings.
	engineSettings string
	backendProcess *process
	// outOfRotation means that the platform's load balancer sends no more callers
	// to the entry. The load generator then skips it.
	outOfRotation atomic.Bool
}

// cluster is a complete system of real processes.
type cluster struct {
	dir          string
	config       clusterConfig
	platform     *process
	platformAddr netip.AddrPort
	store        *objapi.Store
	entries      []*node
	agents       []*node
	client       *http.Client
}

func newCluster(s clusterConfig) *cluster {
	dir, err := os.MkdirTemp("", "parsleyroute")
	Expect(err).NotTo(HaveOccurred())
	c := &cluster{dir: dir, config: s, platformAddr: ports.Next(), client: &http.Client{
		Timeout:   30 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: 512},
	}}
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Printf("logs are in %s\n", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	c.platform = startProgram(dir, "platform", "fakes", "platform", "--listen", c.platformAddr.String())
	c.store = &objapi.Store{Addr: c.platformAddr}
	c.waitListening(c.platformAddr)
	c.addAgents()
	for _, zone := range s.zones {
		for i := range s.entries {
			c.addEntry(zone, i)
		}
	}
	c.declare()
	for _, a := range c.agents {
		c.startAgent(a)
	}
	for _, e := range c.entries {
		c.startEntry(e)
	}
	c.waitReady()
	return c
}

// waitReady waits until all instances are ready.
func (c *cluster) waitReady() {
	for _, n := range append(append([]*node{}, c.entries...), c.agents...) {
		Eventually(func() int { return c.statusCode(n.listen, "/readyz") }, "10s", "20ms").Should(Equal(200), n.name)
	}
}

func (c *cluster) addAgents() {
	for _, zone := range c.config.zones {
		for i := range c.config.engines {
			c.addAgent(zone, "model", "engine", i, c.config.engineArgs)
		}
		for i := range c.config.plainServers {
			c.addAgent(zone, "desk", "plain", i, c.config.plainArgs)
		}
	}
}

func (c *cluster) addAgent(zone, service, kind string, i int, args []string) {
	n := &node{
		name: fmt.Sprintf("agent-%s-%s-%d", service, zone, i), zone: zone,
		listen: ports.Next(), backend: ports.Next(), upstream: fmt.Sprintf("%s-%s-%d", service, zone, i),
		kind: kind, args: args,
	}
	n.peer = n.listen
	c.agents = append(c.agents, n)
}

// startAgent starts the upstream and its agent, and lists the agent.
func (c *cluster) startAgent(n *node) {
	n.backendProcess = startProgram(c.dir, n.upstream, append([]string{"fakes", n.kind, "--listen", n.backend.String()}, n.args...)...)
	c.waitListening(n.backend)
	path := c.writeSettings(n, fmt.Sprintf("listen = %q\nupstream = %q\n", n.listen, n.upstream),
		fmt.Sprintf("[engine]\nkind = %q\naddress = %q\n%s", n.kind, n.backend, n.engineSettings))
	n.process = startProgram(c.dir, n.name, "agent", "--settings", path)
	c.listInstance(n, core.RoleAgent, false)
}

func (c *cluster) addEntry(zone string, i int) {
	c.entries = append(c.entries, &node{
		name: fmt.Sprintf("entry-%s-%d", zone, i), zone: zone, listen: ports.Next(), peer: ports.Next(),
	})
}

func (c *cluster) startEntry(n *node) {
	operatorDigest, rivalDigest := sha256.Sum256([]byte(operatorKey)), sha256.Sum256([]byte(rivalKey))
	path := c.writeSettings(n, fmt.Sprintf("listen = %q\npeer = %q\n", n.listen, n.peer),
		fmt.Sprintf("[operators]\ntest = %q\nrival = %q\n", hex.EncodeToString(operatorDigest[:]), hex.EncodeToString(rivalDigest[:])))
	n.process = startProgram(c.dir, n.name, "entry", "--settings", path)
	c.listInstance(n, core.RoleEntry, false)
}

func (c *cluster) writeSettings(n *node, top, bottom string) string {
	if c.config.seeds {
		addresses := make([]string, 0, len(c.entries))
		for _, e := range c.entries {
			addresses = append(addresses, strconv.Quote(e.peer.String()))
		}
		top += "seeds = [" + strings.Join(addresses, ", ") + "]\n"
	}
	text := fmt.Sprintf("instance = %q\nzone = %q\nkey = %q\ngrace = \"500ms\"\ndrain = \"20s\"\n%s[platform]\naddress = %q\ntimeout = \"1s\"\n%s",
		n.name, n.zone, peerKey, top, c.platformAddr, bottom)
	path := filepath.Join(c.dir, n.name+".toml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// listInstance adds or updates an instance in the platform's list.
func (c *cluster) listInstance(n *node, role core.Role, leaving bool) {
	c.control(c.platformAddr, http.MethodPut, "/control/instances", map[string]any{
		"name": n.name, "role": role, "zone": n.zone, "peer": n.peer, "leaving": leaving,
	})
}

// declare creates the declarations of the configuration. The API key of each
// team is its name.
func (c *cluster) declare() {
	var b bytes.Buffer
	for _, z := range c.config.zones {
		fmt.Fprintf(&b, "[[zone]]\nname = %q\nregion = \"r\"\n", z)
	}
	b.WriteString("[[service]]\nname = \"model\"\ntimeout = \"20s\"\nretry = 0.2\nroutes = [{prefix = \"/\", repeatable = true}]\n")
	b.WriteString("[[service]]\nname = \"desk\"\ntimeout = \"20s\"\nroutes = [{prefix = \"/orders\", method = \"POST\", repeatable = false}, {prefix = \"/lookup\", repeatable = true}]\n")
	for _, a := range c.agents {
		service := "model"
		if a.upstream[:4] == "desk" {
			service = "desk"
		}
		fmt.Fprintf(&b, "[[upstream]]\nname = %q\nservice = %q\nzone = %q\nagent = %q\nlimit = %d\ncold = %d\nstep = %d\n",
			a.upstream, service, a.zone, a.listen, c.config.limit, c.config.coldLimit, max(c.config.limitStep, 1))
	}
	for _, t := range []string{"small", "large"} {
		sum := sha256.Sum256([]byte(t))
		fmt.Fprintf(&b, "[[team]]\nname = %q\nkeys = [%q]\npriority = 5\n", t, hex.EncodeToString(sum[:]))
	}
	b.WriteString(c.config.extraDeclarations)
	c.apply(b.String())
}

// apply creates the declarations in a TOML text as objects in the store.
func (c *cluster) apply(text string) {
	list, err := decl.Parse("test.toml", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	for _, d := range list {
		value, err := decl.Marshal(d)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() error {
			_, err := c.store.Create(context.Background(), core.Object{Key: d.Key(), Writer: "test", Nonce: d.Key().Name, Value: value})
			if trace.IsLimitExceeded(err) {
				return err
			}
			Expect(err).NotTo(HaveOccurred())
			return nil
		}, "5s", "10ms").Should(Succeed())
	}
}

func (c *cluster) waitListening(addr netip.AddrPort) {
	Eventually(func() error {
		conn, err := net.Dial("tcp", addr.String())
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, "10s", "10ms").Should(Succeed())
}

func (c *cluster) statusCode(addr netip.AddrPort, path string) int {
	resp, err := c.client.Get("http://" + addr.String() + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// control sends v as JSON to a control endpoint of a stand-in.
func (c *cluster) control(addr netip.AddrPort, method, path string, v any) {
	p, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(method, "http://"+addr.String()+path, bytes.NewReader(p))
	Expect(err).NotTo(HaveOccurred())
	resp, err := c.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	Expect(resp.StatusCode).To(BeNumerically("<", 300), string(body))
}

// getJSON decodes the response of a JSON endpoint into v.
func (c *cluster) getJSON(addr netip.AddrPort, path string, v any) {
	resp, err := c.client.Get("http://" + addr.String() + path)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	Expect(json.NewDecoder(resp.Body).Decode(v)).To(Succeed())
}

// call describes a request of a caller.
type call struct {
	entry   *node
	team    string
	method  string
	path    string // below /v1/services/
	body    string
	headers map[string]string
}

// result is what the caller received. err is set if the response is incomplete
// or, where the sender checks the body, has the wrong bytes.
type result struct {
	status int
	header http.Header
	body   []byte
	reason string
	run    string
	err    error
	took   time.Duration
}

// do sends a request and reads its response.
func (c *cluster) do(in call) result {
	start := time.Now()
	req, err := http.NewRequest(in.method, "http://"+in.entry.listen.String()+"/v1/services/"+in.path, bytes.NewReader([]byte(in.body)))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+in.team)
	for k, v := range in.headers {
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return result{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	r := result{status: resp.StatusCode, header: resp.Header}
	r.body, r.err = io.ReadAll(resp.Body)
	r.took = time.Since(start)
	var e struct {
		Error struct{ Reason, Run string }
	}
	if json.Unmarshal(r.body, &e) == nil {
		r.reason, r.run = e.Error.Reason, e.Error.Run
	}
	return r
}
