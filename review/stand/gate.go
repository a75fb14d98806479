package stand

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Gate is a process of the project's program gate.
type Gate struct {
	Name, Zone string
	// Program is the path of the program, Dir the folder for its files.
	Program, Dir string
	// StoreAddr is the address of the store. Seeds are the peer addresses of the
	// first gates.
	StoreAddr string
	Seeds     []string

	Callers, Ready, Peers, Metrics string

	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

var ports = struct {
	sync.Mutex
	next int
}{next: 10000 + os.Getpid()%180*100}

// FreeAddr returns an unused loopback address below the range of ephemeral ports.
func FreeAddr() string {
	ports.Lock()
	defer ports.Unlock()
	for {
		ports.next++
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		return addr
	}
}

// Assign selects the addresses of the gate.
func (g *Gate) Assign() {
	g.Callers, g.Ready, g.Peers, g.Metrics = FreeAddr(), FreeAddr(), FreeAddr(), FreeAddr()
}

// settings returns deploy/gate.toml, filled in.
func (g *Gate) settings() string {
	seeds := make([]string, len(g.Seeds))
	for i, s := range g.Seeds {
		seeds[i] = fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf(`instance = %q
zone = %q
callers = %q
ready = %q
peers = %q
metrics = %q
ranks = %d
store = %q
fenced = true
seeds = [%s]
memory = 284
files = 4200
grace = "8s"

[retry]
ratio = 0.2
burst = 88
window = "10s"

[cold]
overshoot = 1.5
slack = 5
`, g.Name, g.Zone, g.Callers, g.Ready, g.Peers, g.Metrics, ranksPort, g.StoreAddr, strings.Join(seeds, ", "))
}

// ranksPort is the port of the sidecars of ranks. No case starts one.
const ranksPort = 7355

// Start starts the process.
func (g *Gate) Start() error {
	path := filepath.Join(g.Dir, g.Name+".toml")
	if err := os.WriteFile(path, []byte(g.settings()), 0o600); err != nil {
		return err
	}
	var err error
	if g.log, err = os.OpenFile(filepath.Join(g.Dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	g.cmd = exec.Command(g.Program, "--settings", path)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(g.cmd, g.done)
	return nil
}

// Pid returns the id of the process.
func (g *Gate) Pid() int { return g.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (g *Gate) Ended() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (g *Gate) Signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// Kill ends the process.
func (g *Gate) Kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.done
	_ = g.log.Close()
}

// IsReady asks the gate for its readiness.
func (g *Gate) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + g.Ready + "/-/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitReady waits until the gate is ready.
func (g *Gate) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.IsReady() {
			return true
		}
	}
	return false
}

// StartGates starts a gate in each of the zones, and waits until all are ready. It
// returns the gates that it has started also after an error.
func StartGates(program, dir, storeAddr string, zones ...string) ([]*Gate, error) {
	addrs := map[string]string{}
	for _, zone := range zones {
		addrs[zone] = storeAddr
	}
	return StartGatesVia(program, dir, addrs, zones...)
}

// StartGatesVia does the same with an address of the store for each zone.
func StartGatesVia(program, dir string, storeAddrs map[string]string, zones ...string) ([]*Gate, error) {
	gates := []*Gate{}
	var seeds []string
	for i, zone := range zones {
		g := &Gate{Name: fmt.Sprintf("edge-%d", i+1), Zone: zone, Program: program, Dir: dir, StoreAddr: storeAddrs[zone]}
		g.Assign()
		if len(seeds) < maxSeeds {
			seeds = append(seeds, g.Peers)
		}
		gates = append(gates, g)
	}
	killAtSignal(gates)
	for i, g := range gates {
		g.Seeds = seeds
		if err := g.Start(); err != nil {
			return gates[:i], err
		}
	}
	for _, g := range gates {
		if !g.AwaitReady(readyLimit) {
			return gates, fmt.Errorf("%s is not ready", g.Name)
		}
	}
	return gates, nil
}

const (
	// maxSeeds is the number of seeds in the settings.
	maxSeeds = 3
	// readyLimit is the time in which the gates have to become ready.
	readyLimit = 10 * time.Second
)

// KillGates ends the gates.
func KillGates(gates []*Gate) {
	for _, g := range gates {
		g.Kill()
	}
}

// killAtSignal ends the gates if this process is told to end.
func killAtSignal(gates []*Gate) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-c
		for _, g := range gates {
			if g.cmd != nil && g.cmd.Process != nil {
				_ = g.cmd.Process.Kill()
			}
		}
		os.Exit(couldNotRun)
	}()
}

// couldNotRun is the exit code of a case that could not run.
const couldNotRun = 2
