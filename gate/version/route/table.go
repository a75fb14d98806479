// Package route compiles the operators' configuration into a table that finds
// the route of a request and the team of a key.
package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core"
)

// Table is one compiled version of the configuration. It is immutable.
type Table struct {
	Config *core.Config

	hosts map[string][]*core.RouteConfig
	keys  map[string]*core.TeamConfig
}

// Compile returns the table of a configuration.
func Compile(c *core.Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*core.RouteConfig{}, keys: map[string]*core.TeamConfig{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *core.RouteConfig) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			t.keys[k] = &c.Teams[i]
		}
	}
	return t
}

// Find returns the route of the host with the longest prefix of the path, or
// nil. host may carry a port, target a query.
func (t *Table) Find(host, target string) *core.RouteConfig {
	path, _, _ := strings.Cut(target, "?")
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests on the route need a key.
func (t *Table) NeedsKey(r *core.RouteConfig) bool { return len(t.Config.Teams) > 0 && !r.Anonymous }

// Team returns the team that holds the key, or nil.
func (t *Table) Team(key string) *core.TeamConfig { return t.keys[key] }

// Pool returns the pool that takes the request with the given id. Requests
// are spread over a route's pools by their weights; one id always gets the
// same pool.
func (t *Table) Pool(r *core.RouteConfig, id string) *core.PoolConfig {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return nil
	}
	const resolution = 1 << 20
	at := float64(xxhash.Sum64String(id)%resolution) / resolution * total
	for _, s := range r.Split {
		if at -= max(0, s.Weight); at < 0 {
			return t.Config.Pools[s.Pool]
		}
	}
	return nil
}
