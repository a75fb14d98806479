package soak_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"parsleyroute.example/fakes/process/meta"
	"parsleyroute.example/fakes/process/ports"
	"parsleyroute.example/fakes/process/proxy"
	"parsleyroute.example/fakes/process/site"
	"parsleyroute.example/fakes/process/worker"
)

const (
	gateCount   = 3
	workerCount = 4
	// grace is the time in which the gates must exit.
	grace = 4 * time.Second
	// entryInterval is the time between a worker's writes of its entry.
	entryInterval = 400 * time.Millisecond
)

// gate is one gate process and its addresses.
type gate struct {
	name                           string
	callers, ready, peers, metrics netip.AddrPort
	settings                       string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// system holds the gates, the store and the workers of one run.
type system struct {
	t       *testing.T
	dir     string
	store   *meta.Server
	proxy   *proxy.Server
	workers []*proxiedWorker
	gates   []*gate
	checks  *checks
	faults  *faultLevel
	systemOptions

	// copiedAt is the time of the store's last copy.
	copiedAt time.Time

	mu      sync.Mutex
	version int
	// config is the configuration of that version.
	config map[string]any
}

// systemOptions holds what differs between the systems of tests.
type systemOptions struct {
	// grace is the time in which the gates must exit, and timeout that of all routes.
	grace, timeout time.Duration
	// memoryMB is the memory of a gate, zero if it is not limited, and slots the number
	// of requests that a worker takes at once.
	memoryMB, slots int
}

// proxiedWorker is a worker behind a link of the proxy.
type proxiedWorker struct {
	*worker.Worker
	link string
	addr netip.AddrPort
	pool string

	mu       sync.Mutex
	sequence int
	draining time.Time
	// restarts counts the processes that have taken the worker's place.
	restarts int
}

// startAgain makes the worker a later process that stays.
func (w *proxiedWorker) startAgain() {
	w.SetLeaving(false)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restarts++
}

func startSystem(t *testing.T, rng *rand.Rand) *system {
	t.Helper()
	return startSystemWith(t, rng, systemOptions{})
}

// startSystemWith starts a system with the given options, which have defaults.
func startSystemWith(t *testing.T, rng *rand.Rand, o systemOptions) *system {
	t.Helper()
	o.grace, o.timeout, o.slots = cmp.Or(o.grace, grace), cmp.Or(o.timeout, 3*time.Second), cmp.Or(o.slots, 8)
	s := &system{t: t, dir: t.TempDir(), store: &meta.Server{}, checks: newChecks(), faults: &faultLevel{}, systemOptions: o}
	if err := s.store.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.store.Close)
	s.proxy = &proxy.Server{Listen: ports.Next()}
	if err := s.proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.proxy.Close() })
	for i := range workerCount {
		w := &proxiedWorker{Worker: &worker.Worker{ID: fmt.Sprintf("i-%d", i)}, link: fmt.Sprintf("link-%d", i), addr: ports.Next(), pool: []string{site.PlainPool, site.StreamPool}[i%2]}
		w.Script = s.faults.script(rand.New(rand.NewPCG(rng.Uint64(), 1)), s.checks, w)
		if err := w.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Close)
		if _, err := s.proxy.Add(proxy.LinkConfig{Name: w.link, Listen: w.addr, Target: w.Addr()}); err != nil {
			t.Fatal(err)
		}
		s.workers = append(s.workers, w)
	}
	s.configure("/a/")
	s.writeEntries()
	seeds := []netip.AddrPort{}
	for i := range gateCount {
		g := &gate{name: fmt.Sprintf("gate-%d", i), callers: ports.Next(), ready: ports.Next(), peers: ports.Next(), metrics: ports.Next()}
		g.settings = filepath.Join(s.dir, g.name+".toml")
		s.gates = append(s.gates, g)
		seeds = append(seeds, g.peers)
	}
	for _, g := range s.gates {
		s.writeSettings(g, seeds)
		g.start(t, s.dir)
		t.Cleanup(func() { g.kill() })
	}
	return s
}

func (s *system) writeSettings(g *gate, seeds []netip.AddrPort) {
	settings := &site.GateSettings{
		Name: g.name, CallerAddr: g.callers, ReadyAddr: g.ready, PeerAddr: g.peers, MetricsAddr: g.metrics,
		StoreAddr: s.store.Addr(), SeedAddrs: seeds, GracePeriod: s.grace, MemoryMB: s.memoryMB,
	}
	if err := settings.Write(g.settings); err != nil {
		s.t.Fatal(err)
	}
}

// configure writes a configuration with the routes of the prefixes.
func (s *system) configure(prefixes ...string) {
	s.mu.Lock()
	s.version += 2
	version := s.version
	s.mu.Unlock()
	routes := []site.Route{}
	for _, p := range prefixes {
		for _, r := range []struct{ kind, pool string }{{"safe", site.PlainPool}, {"unsafe", site.PlainPool}, {"streaming", site.StreamPool}} {
			routes = append(routes, site.Route{
				Name: p + r.kind, Host: "h", Prefix: p + r.kind + "/", Kind: r.kind, Pool: r.pool,
				Timeout: s.timeout, GapLimit: 200 * time.Millisecond,
			})
		}
	}
	s.mu.Lock()
	s.config = site.Config(version, routes)
	s.mu.Unlock()
	s.rewriteConfig()
}

// rewriteConfig writes the latest configuration, which the store may have lost.
func (s *system) rewriteConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Put("config", "main", s.config)
}

// writeEntries writes the entries of all workers.
func (s *system) writeEntries() {
	for _, w := range s.workers {
		s.writeEntry(w)
	}
}

// writeEntry writes the entry of a worker.
func (s *system) writeEntry(w *proxiedWorker) {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if !w.draining.IsZero() {
		state = "draining"
	}
	entry := site.WorkerEntry(w.pool, w.addr, state, s.slots, w.sequence)
	entry["born"] = 1 + w.restarts
	w.mu.Unlock()
	s.store.Put("servers", w.ID, entry)
}

func (g *gate) start(t *testing.T, dir string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	bin, err := filepath.Abs("../../.out/bin/gate")
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	g.cmd = exec.Command(bin, "--settings", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	// As in fakes/system: a suspended process must not get SIGHUP when a shell ends.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := g.cmd.Start(); err != nil {
		t.Fatalf("run scripts/build.sh first: %v", err)
	}
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); _ = log.Close(); close(done) }(g.cmd, g.done)
}

// signal sends a signal to the process if it is running.
func (g *gate) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.done:
	default:
		_ = g.cmd.Process.Signal(sig)
	}
}

func (g *gate) running() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.done:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL, which also ends a stopped process, and waits for the exit.
func (g *gate) kill() {
	g.signal(syscall.SIGKILL)
	<-g.done
}
