package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gate is one machine that runs the program gate, and the part of the platform that
// starts it, starts it again after its end and limits its memory.
type gate struct {
	name, dir                    string
	callers, ready, peers, store string
	seeds                        []string
	memoryMB                     int
	// ranksPort is the port of the sidecars of ranks, zero if there are none.
	ranksPort int
	// onEnd is called when the process has ended without a signal of the test.
	onEnd func(cause string)

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	peakKB  int
	wg      sync.WaitGroup
}

const (
	// restartDelay is the "short delay" after which a process that has ended is started.
	restartDelay   = 300 * time.Millisecond
	memoryInterval = 10 * time.Millisecond
)

// freeAddr returns an unused loopback address.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func newGate(name, dir, store string) *gate {
	return &gate{name: name, dir: dir, callers: freeAddr(), ready: freeAddr(), peers: freeAddr(), store: store, memoryMB: 284}
}

// writeSettings writes the settings file as deploy/gate.toml renders it on one of the
// machines of the small sites.
func (g *gate) writeSettings() (string, error) {
	seeds := make([]string, len(g.seeds))
	for i, s := range g.seeds {
		seeds[i] = strconv.Quote(s)
	}
	text := fmt.Sprintf(`instance = %q
zone = "zone-a"
callers = %q
ready = %q
peers = %q
ranks = %d
store = %q
fenced = true
seeds = [%s]
memory = %d
files = 4200
heartbeat = "1200ms"
grace = "8s"

[retry]
ratio = 0.2
burst = 88
window = "10s"

[cold]
overshoot = 1.5
slack = 5
`, g.name, g.callers, g.ready, g.peers, g.ranksPort, g.store, strings.Join(seeds, ", "), g.memoryMB)
	path := filepath.Join(g.dir, g.name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// run starts the process, and starts it again after each end until stop.
func (g *gate) run() error {
	path, err := g.writeSettings()
	if err != nil {
		return err
	}
	if err := g.start(path); err != nil {
		return err
	}
	g.wg.Go(func() {
		for {
			cause := g.await()
			g.mu.Lock()
			stopped := g.stopped
			g.mu.Unlock()
			if stopped {
				return
			}
			if g.onEnd != nil {
				g.onEnd(cause)
			}
			time.Sleep(restartDelay)
			if g.start(path) != nil {
				return
			}
		}
	})
	return nil
}

func (g *gate) start(path string) error {
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/gate", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return os.ErrProcessDone
	}
	g.cmd = cmd
	return startChild(cmd)
}

// await waits for the end of the process and returns its cause. It kills the process
// if it uses more memory than the platform allows.
func (g *gate) await() string {
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	done := make(chan error, 1)
	go func() { done <- awaitChild(cmd) }()
	killed := 0
	tick := time.NewTicker(memoryInterval)
	defer tick.Stop()
	for {
		select {
		case err := <-done:
			if killed > 0 {
				return fmt.Sprintf("the platform has killed it: %d MB of %d MB", killed>>10, g.memoryMB)
			}
			return fmt.Sprintf("it has ended by itself: %v", err)
		case <-tick.C:
			kb := residentKB(cmd.Process.Pid)
			g.mu.Lock()
			g.peakKB = max(g.peakKB, kb)
			g.mu.Unlock()
			if kb > g.memoryMB<<10 && killed == 0 {
				killed = kb
				_ = cmd.Process.Kill()
			}
		}
	}
}

// residentKB returns the resident memory of a process that the test has started.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 10
}

func (g *gate) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s)
}

// terminate stops the process as the platform does: with SIGTERM, and with SIGKILL after
// the grace time.
func (g *gate) terminate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	process := g.cmd.Process
	_ = process.Signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { _ = process.Kill() })
}

func (g *gate) peakMB() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peakKB >> 10
}

// stop kills the process and waits for its end.
func (g *gate) stop() {
	g.mu.Lock()
	g.stopped = true
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Kill()
	}
	g.mu.Unlock()
	g.wg.Wait()
}

// isReady asks the gate as the platform's balancer does.
func (g *gate) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + g.ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the gate is ready.
func (g *gate) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}
