package stand

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// Gate is one gate process.
type Gate struct {
	Name, Zone                    string
	Callers, Ready, Peers, Metric string
	Store                         string
	Seeds                         []string
	MemoryMB, Files               int
	Grace                         string
	Dir                           string
	Ranks                         int
	Extra                         string

	cmd  *exec.Cmd
	done chan struct{}
}

// taken holds the ports that FreeAddr has returned.
var taken = map[int]bool{}

// FreeAddr returns an address of 127.0.0.1 that is free for TCP and UDP. Its port isn't among
// those that the kernel gives to connections.
func FreeAddr() string {
	for range 10000 {
		port := 12000 + rand.IntN(18000)
		if taken[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		pc, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		_ = pc.Close()
		taken[port] = true
		return addr
	}
	check(errors.New("no free port"))
	return ""
}

// NewGate returns a gate with free addresses and the settings of the smallest sites.
func NewGate(name, zone, store, dir string) *Gate {
	return &Gate{Name: name, Zone: zone, Callers: FreeAddr(), Ready: FreeAddr(), Peers: FreeAddr(), Metric: FreeAddr(), Store: store, Dir: dir, MemoryMB: 284, Files: 4200, Grace: "8s"}
}

// WriteSettings writes the settings file in the form of deploy/gate.toml.
func (g *Gate) WriteSettings() string {
	var seeds []string
	for _, s := range g.Seeds {
		seeds = append(seeds, fmt.Sprintf("%q", s))
	}
	text := fmt.Sprintf("instance = %q\nzone = %q\ncallers = %q\nready = %q\npeers = %q\nmetrics = %q\nranks = %d\nstore = %q\nfenced = true\nseeds = [%s]\nmemory = %d\nfiles = %d\nheartbeat = \"1200ms\"\ngrace = %q\n%s\n[retry]\nratio = 0.2\nburst = 88\nwindow = \"10s\"\n\n[cold]\novershoot = 1.5\nslack = 5\n",
		g.Name, g.Zone, g.Callers, g.Ready, g.Peers, g.Metric, g.Ranks, g.Store, strings.Join(seeds, ","), g.MemoryMB, g.Files, g.Grace, g.Extra)
	path := filepath.Join(g.Dir, g.Name+".toml")
	check(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Start starts the process with the command of the deploy file.
func (g *Gate) Start() {
	path := g.WriteSettings()
	log, err := os.OpenFile(filepath.Join(g.Dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	g.cmd = exec.Command("target/gate", "--settings", path)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	check(g.cmd.Start())
	EndWithCase(g.cmd.Process)
	g.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); _ = log.Close(); close(done) }(g.cmd, g.done)
}

// Pid returns the id of the process.
func (g *Gate) Pid() int { return g.cmd.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (g *Gate) Ended() <-chan struct{} { return g.done }

// State returns how the process has ended.
func (g *Gate) State() string { return g.cmd.ProcessState.String() }

// AwaitReady waits until the gate says that it is ready.
func (g *Gate) AwaitReady(d time.Duration) bool {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if g.IsReady() {
			return true
		}
	}
	return false
}

// IsReady asks the gate once.
func (g *Gate) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.Ready + "/-/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (g *Gate) Signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// running holds the processes that were started, so that none outlives the case.
var running struct {
	sync.Mutex
	processes []*os.Process
	once      sync.Once
}

// EndWithCase adds a process to those that end with the case, also if the case is told to end.
func EndWithCase(p *os.Process) {
	running.Lock()
	defer running.Unlock()
	running.processes = append(running.processes, p)
	running.once.Do(func() {
		end := make(chan os.Signal, 1)
		signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
		go func() {
			<-end
			fmt.Fprintln(os.Stderr, "the case was told to end")
			KillAll()
			os.Exit(ExitSkipped)
		}()
	})
}

// KillAll ends all processes that were started.
func KillAll() {
	running.Lock()
	defer running.Unlock()
	for _, p := range running.processes {
		_ = p.Kill()
	}
}

// Kill ends the process and waits for its end.
func (g *Gate) Kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Kill()
	<-g.done
}

// RSS returns the resident memory of the process in MB.
func (g *Gate) RSS() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.Pid()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}
