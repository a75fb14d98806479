// Package site is a stand-in for a small deployment on the platform: a store
// with a configuration, and workers that keep their entries in it. Its routes
// are /lookup/ (safe), /order/ (unsafe) and /draft/ (streaming, resumable).
package site

import (
	"fmt"
	"net/netip"
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
	// host is what callers on this machine name, timeout that of all routes and
	// longestPause the longest pause on time.
	host         = "127.0.0.1"
	timeout      = 8 * time.Second
	longestPause = 120 * time.Millisecond
	// grace is the time that the gates have to end, files their descriptors.
	grace = 8 * time.Second
	files = 4096
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
		e := &entry{pool: []string{Desk, Model}[i%2]}
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
	at := func(port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
	}
	for i := range gates {
		p := port + 10*i
		g := &Gate{
			Name: fmt.Sprintf("gate-%d", i), Callers: at(p), Metrics: at(p + 1), Ready: at(p + 2), Peers: at(p + 3),
			Store: s.Addr(), Seeds: []netip.AddrPort{at(port + 3)}, Grace: grace, Files: files,
		}
		if err := g.Write(filepath.Join(dir, g.Name+".toml")); err != nil {
			return err
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
			s.store.Put("servers", e.ID, Entry(e.pool, e.Addr(), "ready", slots, sequence))
		}
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

func (s *Site) configure() {
	s.store.Put("config", "main", Config(version, []Route{
		{Name: "safe", Host: host, Prefix: "/lookup/", Kind: "safe", Pool: Desk, Timeout: timeout, Pause: longestPause},
		{Name: "unsafe", Host: host, Prefix: "/order/", Kind: "unsafe", Pool: Desk, Timeout: timeout, Pause: longestPause},
		{Name: "streaming", Host: host, Prefix: "/draft/", Kind: "streaming", Pool: Model, Timeout: timeout, Pause: longestPause},
	}))
}
