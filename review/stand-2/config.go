package main

import (
	"os"
	"time"
)

// host is the host name of all routes.
const host = "signs.example"

// site is a small deployment: a store and gates, with a temporary folder.
type site struct {
	dir   string
	store *store
	gates []*gate
}

// newSite starts a store. The gates are added before start.
func newSite() (*site, error) {
	dir, err := os.MkdirTemp("", "stand-2")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &site{dir: dir, store: s}, nil
}

func (s *site) addGate(name string) *gate {
	g := newGate(name, s.dir, s.store.addr())
	s.gates = append(s.gates, g)
	return g
}

// start starts the gates one after the other, each once the former is ready.
func (s *site) start() error {
	seeds := make([]string, 0, len(s.gates))
	for _, g := range s.gates {
		seeds = append(seeds, g.peers)
	}
	for _, g := range s.gates {
		g.seeds = seeds
		if err := g.run(); err != nil {
			return err
		}
		if !g.awaitReady(10 * time.Second) {
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// stop ends all gates and removes the folder.
func (s *site) stop() {
	for _, g := range s.gates {
		g.stop()
	}
	_ = os.RemoveAll(s.dir)
}

// putConfig writes the configuration with the limits that the pages show.
func (s *site) putConfig(routes, backends []any) {
	s.store.put("config", "main", map[string]any{
		"version": 7, "routes": routes, "backends": backends,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// maxBodyBytes is the limit of the pages' examples.
const maxBodyBytes = 4194304

// putWorker writes the entry of a worker that is ready.
func (s *site) putWorker(id, backend, addr string, slots int, sequence int) {
	s.store.put("servers", id, map[string]any{
		"backend": backend, "address": addr, "zone": "zone-a", "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": bornOf(id),
	})
}

var births = map[string]int64{}

// bornOf returns the time of the first call for the worker.
func bornOf(id string) int64 {
	if births[id] == 0 {
		births[id] = time.Now().UnixMilli()
	}
	return births[id]
}

// draftRoute is a route for streams that may be resumed.
func draftRoute() map[string]any {
	return map[string]any{
		"name": "plaque-draft", "hostname": host, "path_prefix": "/draft/", "type": "streaming", "timeout_ms": 8000, "slo_ms": 500,
		"priority": 1, "backend": "models", "max_attempts": 2, "stream_resume": true, "gap_aim_ms": 120,
	}
}
