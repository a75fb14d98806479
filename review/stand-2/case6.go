package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	mapDay = 85 * time.Second
	// streamRate is the number of streams per second.
	streamRate = 12
	// shiftEvery is the time between two changes of the demand for experts, the shortest of
	// the site files. A change moves 0.29 of the demand.
	shiftEvery = 3100 * time.Millisecond
	// freezeMin and freezeMax limit how long a machine freezes. The site file has 4 s.
	freezeMin   = 300 * time.Millisecond
	freezeMax   = 600 * time.Millisecond
	freezeEvery = 2500 * time.Millisecond
	// afterMixed is how long the test goes on after the first pass with different maps.
	afterMixed = 5 * time.Second
)

// maps shows a pass that begins while two ranks have different maps, after the machine of
// the leader has frozen for less than a second.
func maps(r *record, trouble bool) (int, error) {
	s, err := newSite()
	if err != nil {
		return couldNot, err
	}
	defer s.stop()
	g, err := startGroup(r)
	if err != nil {
		return couldNot, err
	}
	sidecars, port, err := startSidecars(s.dir, g)
	defer func() {
		for _, c := range sidecars {
			_ = c.Process.Kill()
			_ = awaitChild(c)
		}
	}()
	if err != nil {
		return couldNot, err
	}
	s.putConfig([]any{draftRoute()}, []any{map[string]any{
		"name": "models", "health_path": "/healthz", "max_connections": 408,
		"engine": map[string]any{
			"slots": 12, "kv_capacity": 280000, "link_mbps": 180000, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905,
			"sets": setCount, "experts": expertCount, "placements": placeCount, "spare": spareCount, "expert_mb": 2200, "expert_share": 0.85, "form_ms": 600,
		},
	}})
	for _, k := range g.ranks {
		s.store.put("servers", k.id, map[string]any{
			"backend": "models", "address": k.addr, "zone": "zone-a", "version": "v1", "slots": 12, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "born": k.born, "size": rankCount,
			"group": map[string]any{"name": "g", "epoch": 1, "rank": k.number, "state": "open"},
		})
	}
	for i := range 3 {
		s.addGate(fmt.Sprintf("edge-%d", i+1)).ranksPort = port
	}
	s.sortGates()
	if err := s.start(); err != nil {
		return couldNot, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { sendStreams(r, s.gates, stop) })
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(shiftEvery):
				g.shift()
			}
		}
	})
	if trouble {
		f := &freezer{record: r, site: s}
		g.onHold = f.held
		wg.Go(func() {
			for sleepUntil(stop, freezeEvery) {
				f.allow()
			}
		})
	}
	for end := time.Now().Add(mapDay); time.Now().Before(end) && g.mixedPasses() == 0; {
		time.Sleep(50 * time.Millisecond)
	}
	if g.mixedPasses() > 0 {
		// The record shows whether the maps become the same again.
		time.Sleep(afterMixed)
	}
	close(stop)
	wg.Wait()
	r.summary("%d passes, %d of them with different maps, the last one: %s", g.step, g.mixedPasses(), g.lastMixed())
	if g.mixedPasses() > 0 {
		return broken, nil
	}
	return held, nil
}

func sleepUntil(stop chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// freezer freezes the machine of the leader as its hold has been carried out, once for
// each call of allow.
type freezer struct {
	record *record
	site   *site

	mu      sync.Mutex
	allowed bool
}

func (f *freezer) allow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.allowed = true
}

func (f *freezer) held() {
	f.mu.Lock()
	defer f.mu.Unlock()
	leader := f.site.leader()
	if !f.allowed || leader == nil {
		return
	}
	f.allowed = false
	d := freezeMin + time.Duration(rand.Int64N(int64(freezeMax-freezeMin)))
	leader.signal(syscall.SIGSTOP)
	f.record.printf("the machine %s freezes for %s", leader.name, d)
	time.AfterFunc(d, func() {
		leader.signal(syscall.SIGCONT)
		f.record.printf("the machine %s wakes", leader.name)
	})
}

// sortGates orders the gates by the address at which they speak to each other, the highest
// first. The first one to be started leads, and the two with the lowest addresses contend
// for its lease, as after the restart of a machine.
func (s *site) sortGates() {
	slices.SortFunc(s.gates, func(a, b *gate) int { return cmp.Compare(b.peers, a.peers) })
}

// leader returns the gate that last wrote the lease.
func (s *site) leader() *gate {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, o := range s.store.objects["parsleyroute-lease"] {
		for _, g := range s.gates {
			if strings.Contains(string(o.Spec), `"`+g.name+"/") {
				return g
			}
		}
	}
	return nil
}

// sendStreams sends streams to the gates in turn.
func sendStreams(r *record, gates []*gate, stop chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		if !sleepUntil(stop, time.Second/streamRate) {
			return
		}
		wg.Go(func() {
			id := newAttempt()
			g := gates[n%len(gates)]
			r.printf("client sends %s to %s", id, g.name)
			a := ask(g.callers, "POST", "/draft/plate", id, 8*time.Second, "a brass plate")
			r.printf("client of %s has status %d, %d pieces, error %v", id, a.status, strings.Count(a.body, "data: "), a.err)
		})
	}
}

// startSidecars starts the program rank beside each rank of the group.
func startSidecars(dir string, g *group) (sidecars []*exec.Cmd, port int, err error) {
	if port, err = freeSidecarPort(g); err != nil {
		return nil, 0, err
	}
	for _, k := range g.ranks {
		ip, _, _ := strings.Cut(k.addr, ":")
		path := filepath.Join(dir, "side-"+k.id+".toml")
		text := fmt.Sprintf("instance = %q\nzone = \"zone-a\"\nlisten = \"%s:%d\"\nengine = %q\nmemory = 152\n", "side-"+k.id, ip, port, k.addr)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return sidecars, 0, err
		}
		cmd := exec.Command("target/rank", "--settings", path)
		if err := startChild(cmd); err != nil {
			return sidecars, 0, err
		}
		sidecars = append(sidecars, cmd)
	}
	return sidecars, port, nil
}

// freeSidecarPort returns a port that is free at the addresses of all ranks.
func freeSidecarPort(g *group) (int, error) {
	const tries = 50
	for range tries {
		_, port, _ := net.SplitHostPort(freeAddr())
		free := true
		for _, k := range g.ranks {
			ip, _, _ := strings.Cut(k.addr, ":")
			ln, err := net.Listen("tcp", net.JoinHostPort(ip, port))
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return strconv.Atoi(port)
		}
	}
	return 0, errors.New("no port is free at all ranks")
}
