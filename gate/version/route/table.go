// Package route compiles the operators' configuration into a table that maps
// requests to routes and API keys to teams.
package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"parsleyroute.example/core"
)

// Table is a compiled version of the configuration. It is immutable.
type Table struct {
	Config *core.Config

	routesByHost map[string][]*core.RouteConfig
	teamsByKey   map[string]*core.TeamConfig
}

// Compile returns the table of a configuration.
func Compile(c *core.Config) *Table {
	t := &Table{Config: c, routesByHost: map[string][]*core.RouteConfig{}, teamsByKey: map[string]*core.TeamConfig{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *core.RouteConfig) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Teams {
		for _, k := range c.Teams[i].Keys {
			t.teamsByKey[k] = &c.Teams[i]
		}
	}
	return t
}

// Find returns the route of the host with the longest matching path prefix, or
// nil if none matches. host may include a port, target a query.
func (t *Table) Find(host, target string) *core.RouteConfig {
	path, _, _ := strings.Cut(target, "?")
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests on the route need an API key.
func (t *Table) NeedsKey(r *core.RouteConfig) bool { return len(t.Config.Teams) > 0 && !r.Anonymous }

// Team returns the team with the API key, or nil.
func (t *Table) Team(key string) *core.TeamConfig { return t.teamsByKey[key] }

// Pool returns the pool for the request with the given id, or nil if the route's
// weights are all zero. Requests are distributed over the route's pools in
// proportion to the weights. The same id always gets the same pool.
func (t *Table) Pool(r *core.RouteConfig, id string) *core.PoolConfig {
	total := 0.0
	for _, s := range r.Split {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return nil
	}
	const resolution = 1 << 20
	point := float64(xxhash.Sum64String(id)%resolution) / resolution * total
	for _, s := range r.Split {
		if point -= max(0, s.Weight); point < 0 {
			return t.Config.Pools[s.Pool]
		}
	}
	return nil
}
