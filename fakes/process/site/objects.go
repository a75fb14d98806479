package site

import (
	"net/netip"
	"time"
)

// The backend pools of a configuration, for plain requests and for streams.
const (
	PlainPool  = "desk"
	StreamPool = "model"
)

// Route is a route of a configuration.
type Route struct {
	Name, Host, Prefix string
	// Kind is "safe", "unsafe" or "streaming".
	Kind string
	Pool string
	// Timeout is the time limit of a request. GapLimit is the longest time between
	// two events of a stream that counts as on time.
	Timeout, GapLimit time.Duration
}

// Config returns a configuration object with the given routes, in the form in
// which operators write it.
func Config(version int, routes []Route) map[string]any {
	list := make([]map[string]any, len(routes))
	for i, r := range routes {
		list[i] = map[string]any{
			"name": r.Name, "hostname": r.Host, "path_prefix": r.Prefix, "type": r.Kind, "stream_resume": true,
			"timeout_ms": r.Timeout.Milliseconds(), "slo_ms": 300, "gap_aim_ms": r.GapLimit.Milliseconds(), "backend": r.Pool, "max_attempts": 2,
		}
	}
	return map[string]any{
		"version": version, "routes": list, "backends": []map[string]any{{"name": PlainPool}, {"name": StreamPool}},
		"limits": map[string]any{"max_header_bytes": 8192, "max_body_bytes": 1 << 20, "header_timeout_ms": 2000, "idle_timeout_ms": 5000},
	}
}

// WorkerEntry returns the store entry of a worker, in the form in which the worker
// writes it.
func WorkerEntry(pool string, addr netip.AddrPort, state string, slots, sequence int) map[string]any {
	return map[string]any{
		"backend": pool, "address": addr.String(), "zone": "z", "state": state, "slots": slots, "sequence": sequence, "born": 1,
	}
}
