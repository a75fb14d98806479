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
	// entryInterval is the time between two writes of a worker's entry.
	entryInterval = 400 * time.Millisecond
	// slotsPerWorker is the number of requests that a worker runs at once according
	// to its entry.
	slotsPerWorker = 64
	// configVersion is the version of the configuration.
	configVersion = 2
	// callerHost is the host name in the requests of callers on this machine.
	// routeTimeout and gapLimit apply to all routes.
	callerHost   = "127.0.0.1"
	routeTimeout = 8 * time.Second
	gapLimit     = 120 * time.Millisecond
	// gracePeriod and maxFiles are the limits of the gates, see GateSettings.
	gracePeriod = 8 * time.Second
	maxFiles    = 4096
)

// Site is a store and its workers. Its exported fields are set before Start.
type Site struct {
	// WorkersPerPool is the number of workers of each of the two pools; zero means 4.
	WorkersPerPool int
	// RequestDuration is how long a plain request runs, EventGap the time between
	// two events of a stream.
	RequestDuration, EventGap time.Duration
	// EventsPerStream is the number of events of a stream; zero means 16.
	EventsPerStream int

	store   meta.Server
	workers []*poolWorker
	stop    chan struct{}
	wg      sync.WaitGroup
}

type poolWorker struct {
	worker.Worker
	pool string
}

// Start starts the store and the workers in the background.
func (s *Site) Start() error {
	if s.WorkersPerPool == 0 {
		s.WorkersPerPool = 4
	}
	if s.EventsPerStream == 0 {
		s.EventsPerStream = 16
	}
	if err := s.store.Start(); err != nil {
		return trace.Wrap(err)
	}
	s.writeConfig()
	s.stop = make(chan struct{})
	for i := range 2 * s.WorkersPerPool {
		w := &poolWorker{pool: []string{PlainPool, StreamPool}[i%2]}
		w.ID, w.Script = fmt.Sprintf("i-%d", i), s.respond
		if err := w.Start(); err != nil {
			return trace.NewAggregate(err, s.Close())
		}
		s.workers = append(s.workers, w)
	}
	s.wg.Go(s.writeEntries)
	return nil
}

// Addr returns the address of the store.
func (s *Site) Addr() netip.AddrPort { return s.store.Addr() }

// Close stops the workers and the store.
func (s *Site) Close() error {
	close(s.stop)
	s.wg.Wait()
	for _, w := range s.workers {
		w.Close()
	}
	s.store.Close()
	return nil
}

// WriteGateSettings writes the settings files of gates into a directory:
// gate-0.toml and so on. Gate i listens for callers at 127.0.0.1:(port + 10*i) and
// serves its metrics at the next port.
func (s *Site) WriteGateSettings(dir string, gates, port int) error {
	addr := func(port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
	}
	for i := range gates {
		p := port + 10*i
		g := &GateSettings{
			Name: fmt.Sprintf("gate-%d", i), CallerAddr: addr(p), MetricsAddr: addr(p + 1), ReadyAddr: addr(p + 2), PeerAddr: addr(p + 3),
			StoreAddr: s.Addr(), SeedAddrs: []netip.AddrPort{addr(port + 3)}, GracePeriod: gracePeriod, MaxFiles: maxFiles,
		}
		if err := g.Write(filepath.Join(dir, g.Name+".toml")); err != nil {
			return err
		}
	}
	return nil
}

// respond runs one request.
func (s *Site) respond(c *worker.Conn, req *worker.ReceivedRequest) {
	if req.URL.Path != "/draft/" {
		time.Sleep(s.RequestDuration)
		c.WriteResponse(req, 200, "done")
		return
	}
	c.WriteStreamHeader(req)
	for i := range s.EventsPerStream {
		time.Sleep(s.EventGap)
		c.WriteEvent(i)
	}
	c.EndStream()
}

// writeEntries writes the entries of all workers every entryInterval until the
// site is closed.
func (s *Site) writeEntries() {
	tick := time.NewTicker(entryInterval)
	defer tick.Stop()
	for sequence := 1; ; sequence++ {
		for _, w := range s.workers {
			s.store.Put("servers", w.ID, WorkerEntry(w.pool, w.Addr(), "ready", slotsPerWorker, sequence))
		}
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

func (s *Site) writeConfig() {
	s.store.Put("config", "main", Config(configVersion, []Route{
		{Name: "safe", Host: callerHost, Prefix: "/lookup/", Kind: "safe", Pool: PlainPool, Timeout: routeTimeout, GapLimit: gapLimit},
		{Name: "unsafe", Host: callerHost, Prefix: "/order/", Kind: "unsafe", Pool: PlainPool, Timeout: routeTimeout, GapLimit: gapLimit},
		{Name: "streaming", Host: callerHost, Prefix: "/draft/", Kind: "streaming", Pool: StreamPool, Timeout: routeTimeout, GapLimit: gapLimit},
	}))
}
