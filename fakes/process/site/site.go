// Package site is a stand-in for a small deployment on the platform: a store
// with a configuration, and workers that keep their entries in it. Its routes
// are /lookup/ (safe), /order/ (unsafe) and /draft/ (streaming, resumable).
package site

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/fakes/process/meta"
	"parsleyroute.example/fakes/process/worker"
)

const (
	// heartbeat is the time between a worker's writes of its entry.
	heartbeat = 400 * time.Millisecond
	// slots is the number of requests that a worker runs at once, as its entry
	// says.
	slots = 64
	// version is that of the configuration.
	version = 2
)

// The pools of the site.
const (
	pool       = "desk"
	streamPool = "model"
)

// Site is the store and the workers. Its exported fields are set before Start.
type Site struct {
	// Workers is the number of workers of each of the two services; zero means 4.
	Workers int
	// Work is how long a plain request runs and Pause the time between two events
	// of a stream.
	Work, Pause time.Duration
	// Events is the number of events of a stream; zero means 16.
	Events int

	store   meta.Server
	workers []*entry
	stop    chan struct{}
	wg      sync.WaitGroup
}

type entry struct {
	worker.Worker
	pool string
}

// Start serves in the background.
func (s *Site) Start() error {
	if s.Workers == 0 {
		s.Workers = 4
	}
	if s.Events == 0 {
		s.Events = 16
	}
	if err := s.store.Start(); err != nil {
		return trace.Wrap(err)
	}
	s.configure()
	s.stop = make(chan struct{})
	for i := range 2 * s.Workers {
		e := &entry{pool: []string{pool, streamPool}[i%2]}
		e.ID, e.Script = fmt.Sprintf("i-%d", i), s.answer
		if err := e.Start(); err != nil {
			return trace.NewAggregate(err, s.Close())
		}
		s.workers = append(s.workers, e)
	}
	s.wg.Go(s.beat)
	return nil
}

// Addr returns the address of the store.
func (s *Site) Addr() netip.AddrPort { return s.store.Addr() }

// Close ends the workers and the store.
func (s *Site) Close() error {
	close(s.stop)
	s.wg.Wait()
	for _, e := range s.workers {
		e.Close()
	}
	s.store.Close()
	return nil
}

// Settings writes the settings files of gates into a directory, gate-0.toml and
// so on. They serve callers at 127.0.0.1, from the port on, in steps of 10, and
// their metrics at the next one.
func (s *Site) Settings(dir string, gates, port int) error {
	for i := range gates {
		p := port + 10*i
		text := fmt.Sprintf(`instance = "gate-%d"
zone = "z"
callers = "127.0.0.1:%d"
metrics = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
peers = "127.0.0.1:%d"
store = %q
grace = "8s"
files = 4096
seeds = ["127.0.0.1:%d"]
[retry]
ratio = 0.2
burst = 40.0
window = "10s"
[cold]
overshoot = 1.5
slack = 5.0
`, i, p, p+1, p+2, p+3, s.Addr(), port+3)
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("gate-%d.toml", i)), []byte(text), 0o600); err != nil {
			return trace.ConvertSystemError(err)
		}
	}
	return nil
}

// answer runs one request.
func (s *Site) answer(c *worker.Conn, a *worker.Arrival) {
	if a.URL.Path != "/draft/" {
		time.Sleep(s.Work)
		c.Answer(a, 200, "done")
		return
	}
	c.Begin(a)
	for i := range s.Events {
		time.Sleep(s.Pause)
		c.Event(i)
	}
	c.End()
}

// beat writes the entries of all workers until the site is closed.
func (s *Site) beat() {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for sequence := 1; ; sequence++ {
		for _, e := range s.workers {
			s.store.Put("servers", e.ID, map[string]any{
				"backend": e.pool, "address": e.Addr().String(), "zone": "z", "state": "ready", "slots": slots, "sequence": sequence, "born": 1,
			})
		}
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

func (s *Site) configure() {
	routes := []map[string]any{}
	for _, r := range []struct{ path, kind, pool string }{
		{"/lookup/", "safe", pool}, {"/order/", "unsafe", pool}, {"/draft/", "streaming", streamPool},
	} {
		routes = append(routes, map[string]any{
			"name": r.kind, "path_prefix": r.path, "hostname": "127.0.0.1", "type": r.kind, "stream_resume": true,
			"timeout_ms": 8000, "slo_ms": 300, "gap_aim_ms": 120, "backend": r.pool, "max_attempts": 2,
		})
	}
	s.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "backends": []map[string]any{{"name": pool}, {"name": streamPool}},
		"limits": map[string]any{"max_header_bytes": 8192, "max_body_bytes": 1 << 20, "header_timeout_ms": 2000, "idle_timeout_ms": 5000},
	})
}
