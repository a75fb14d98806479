package decl

import (
	"net/netip"
	"time"

	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/conf"
)

// document is the TOML form of a file.
type document struct {
	Zone     []zoneTable     `toml:"zone,omitempty"`
	Service  []serviceTable  `toml:"service,omitempty"`
	Upstream []upstreamTable `toml:"upstream,omitempty"`
	Team     []teamTable     `toml:"team,omitempty"`
	Rule     []ruleTable     `toml:"rule,omitempty"`
}

type zoneTable struct {
	Name    string      `toml:"name"`
	Version uint64      `toml:"version,omitempty"`
	Region  string      `toml:"region,omitempty"`
	Labels  core.Labels `toml:"labels,inline,omitempty"`
}

type serviceTable struct {
	Name    string      `toml:"name"`
	Version uint64      `toml:"version,omitempty"`
	Timeout string      `toml:"timeout,omitempty"`
	Queue   int         `toml:"queue,omitempty"`
	Layers  int         `toml:"layers,omitempty"`
	Experts int         `toml:"experts,omitempty"`
	Slots   int         `toml:"slots,omitempty"`
	Retry   float64     `toml:"retry,omitempty"`
	Labels  core.Labels `toml:"labels,inline,omitempty"`
	Routes  []route     `toml:"routes,omitempty"`
}

type route struct {
	Prefix     string `toml:"prefix"`
	Method     string `toml:"method,omitempty"`
	Repeatable *bool  `toml:"repeatable"`
}

type upstreamTable struct {
	Name    string      `toml:"name"`
	Version uint64      `toml:"version,omitempty"`
	Service string      `toml:"service"`
	Zone    string      `toml:"zone"`
	Agent   string      `toml:"agent"`
	Limit   int         `toml:"limit"`
	Cold    int         `toml:"cold,omitempty"`
	Step    int         `toml:"step,omitempty"`
	Group   string      `toml:"group,omitempty"`
	Rank    int         `toml:"rank,omitempty"`
	Labels  core.Labels `toml:"labels,inline,omitempty"`
}

type teamTable struct {
	Name     string      `toml:"name"`
	Version  uint64      `toml:"version,omitempty"`
	Keys     []string    `toml:"keys,omitempty"`
	Rate     float64     `toml:"rate,omitempty"`
	Burst    int         `toml:"burst,omitempty"`
	Weight   float64     `toml:"weight,omitempty"`
	Priority int         `toml:"priority,omitempty"`
	Labels   core.Labels `toml:"labels,inline,omitempty"`
}

type ruleTable struct {
	Name     string      `toml:"name"`
	Version  uint64      `toml:"version,omitempty"`
	Kind     core.Kind   `toml:"kind"`
	Selector string      `toml:"selector"`
	Order    int         `toml:"order,omitempty"`
	Out      *bool       `toml:"out,omitempty"`
	Admit    *float64    `toml:"admit,omitempty"`
	Route    *string     `toml:"route,omitempty"`
	Limit    *float64    `toml:"limit,omitempty"`
	Priority *int        `toml:"priority,omitempty"`
	Labels   core.Labels `toml:"labels,inline,omitempty"`
}

func (t *zoneTable) build(c *checker) Declaration {
	c.version = t.Version
	c.selectable(t.Name)
	c.labels(core.KindZone, t.Labels)
	if t.Region != "" {
		c.value("region", t.Region)
	}
	return Zone{core.Zone{Name: t.Name, Labels: t.Labels, Region: t.Region}}
}

func (t *serviceTable) build(c *checker) Declaration {
	c.version = t.Version
	c.selectable(t.Name)
	c.labels(core.KindService, t.Labels)
	var timeout conf.Duration
	if t.Timeout != "" {
		if err := timeout.UnmarshalText([]byte(t.Timeout)); err != nil {
			c.fail("timeout", "%s", err)
		}
		c.check(timeout.Duration > 0 && timeout.Duration <= MaxTimeout, "timeout",
			"must be above 0s and at most %s", MaxTimeout)
	}
	c.check(t.Queue >= 0 && t.Queue <= MaxCount, "queue", "must be from 0 to %d", MaxCount)
	c.check(t.Retry >= 0 && t.Retry <= 1, "retry", "must be from 0 to 1")
	for key, n := range map[string]int{"layers": t.Layers, "experts": t.Experts, "slots": t.Slots} {
		c.check(n >= 0 && n <= MaxCount, key, "must be from 0 to %d", MaxCount)
		c.check((n == 0) == (t.Layers == 0), key, "must be declared together with layers, experts and slots")
	}
	s := core.Service{
		Name: t.Name, Labels: t.Labels, Timeout: timeout.Duration, MaxQueued: t.Queue, RetryRatio: t.Retry,
		Layers: t.Layers, Experts: t.Experts, SlotsPerRank: t.Slots,
	}
	seen := map[[2]string]bool{}
	for _, r := range t.Routes {
		c.check(len(r.Prefix) <= MaxPath && validPath(r.Prefix), "routes",
			"prefix %q must be a path of at most %d printable bytes that begins with \"/\"", r.Prefix, MaxPath)
		c.check(r.Method == "" || lo.Contains(methods, r.Method), "routes",
			"method %q is not one of %v", r.Method, methods)
		c.check(r.Repeatable != nil, "routes", "prefix %q needs repeatable = true or false", r.Prefix)
		id := [2]string{r.Prefix, r.Method}
		c.check(!seen[id], "routes", "prefix %q with method %q is declared twice", r.Prefix, r.Method)
		seen[id] = true
		s.Routes = append(s.Routes, core.Route{
			Prefix: r.Prefix, Method: r.Method, Repeatable: r.Repeatable != nil && *r.Repeatable,
		})
	}
	return Service{s}
}

func (t *upstreamTable) build(c *checker) Declaration {
	c.version = t.Version
	c.selectable(t.Name)
	c.labels(core.KindUpstream, t.Labels)
	c.value("service", t.Service)
	c.value("zone", t.Zone)
	agent, err := netip.ParseAddrPort(t.Agent)
	c.check(err == nil && agent.Port() != 0 && !agent.Addr().IsUnspecified(), "agent",
		"%q is not an IP address and port such as \"127.0.0.1:7100\"", t.Agent)
	c.check(t.Limit >= 1 && t.Limit <= MaxCount, "limit", "must be from 1 to %d", MaxCount)
	c.check(t.Cold >= 0 && t.Cold <= t.Limit, "cold", "must be from 0 to limit")
	c.check(t.Step >= 0 && t.Step <= MaxCount, "step", "must be from 0 to %d", MaxCount)
	if t.Group != "" {
		c.value("group", t.Group)
	}
	c.check(t.Rank >= 0 && t.Rank < MaxRanks, "rank", "must be from 0 to %d", MaxRanks-1)
	c.check(t.Group != "" || t.Rank == 0, "rank", "is allowed only together with group")
	return Upstream{core.Upstream{
		Name: t.Name, Labels: t.Labels, Service: t.Service, Zone: t.Zone, Agent: agent,
		Limit: t.Limit, ColdLimit: t.Cold, LimitStep: t.Step, Group: t.Group, Rank: t.Rank,
	}}
}

func (t *teamTable) build(c *checker) Declaration {
	c.version = t.Version
	c.selectable(t.Name)
	c.labels(core.KindTeam, t.Labels)
	c.check(len(t.Keys) <= MaxKeys, "keys", "must have at most %d elements", MaxKeys)
	for _, k := range t.Keys {
		c.check(validHash(k), "keys", "%q is not a SHA-256 of 64 lower-case hexadecimal digits", k)
	}
	c.check(len(lo.Uniq(t.Keys)) == len(t.Keys), "keys", "must not repeat an element")
	c.check(t.Rate >= 0 && t.Rate <= MaxRate, "rate", "must be from 0 to %g requests a second", float64(MaxRate))
	c.check(t.Burst >= 0 && t.Burst <= MaxCount, "burst", "must be from 0 to %d", MaxCount)
	c.check(t.Weight >= 0 && t.Weight <= MaxWeight, "weight", "must be from 0 to %d", MaxWeight)
	c.check(t.Priority >= 0 && t.Priority <= MaxPriority, "priority", "must be from 0 to %d", MaxPriority)
	return Team{core.Team{
		Name: t.Name, Labels: t.Labels, Keys: t.Keys, Rate: t.Rate, Burst: t.Burst,
		Weight: t.Weight, Priority: t.Priority,
	}}
}

func (t *ruleTable) build(c *checker) Declaration {
	c.version = t.Version
	c.name("name", t.Name)
	c.labels(core.KindRule, t.Labels)
	c.selector("selector", t.Selector)
	r := core.Rule{Name: t.Name, Labels: t.Labels, Kind: t.Kind, Selector: t.Selector, Order: t.Order}
	var actions []core.Action
	if t.Out != nil {
		actions = append(actions, core.ActionOut)
		c.check(*t.Out, "out", "must be true; delete the rule to take objects in again")
	}
	if t.Admit != nil {
		actions = append(actions, core.ActionAdmit)
		r.Share = *t.Admit
		c.check(r.Share > 0 && r.Share <= 1, "admit", "must be above 0 and at most 1")
	}
	if t.Route != nil {
		actions = append(actions, core.ActionRoute)
		r.To = *t.Route
		c.selector("route", r.To)
	}
	if t.Limit != nil {
		actions = append(actions, core.ActionLimit)
		r.Limit = *t.Limit
		c.check(r.Limit > 0 && r.Limit <= MaxRate, "limit", "must be above 0 and at most %g", float64(MaxRate))
		c.check(t.Kind != core.KindUpstream || r.Limit == float64(int(r.Limit)), "limit",
			"must be a whole number of requests for upstreams")
	}
	if t.Priority != nil {
		actions = append(actions, core.ActionPriority)
		r.Priority = *t.Priority
		c.check(r.Priority >= 0 && r.Priority <= MaxPriority, "priority", "must be from 0 to %d", MaxPriority)
	}
	c.check(len(actions) == 1, "name", "a rule has exactly one of out, admit, route, limit and priority, not %d",
		len(actions))
	if len(actions) == 1 {
		r.Action = actions[0]
		c.check(lo.Contains(targets[r.Action], r.Kind), "kind", "%q is not one of %v, to which %s applies",
			r.Kind, targets[r.Action], r.Action)
	}
	return Rule{r}
}

// render returns the document with the single declaration d.
func render(d Declaration) (document, bool) {
	switch d := d.(type) {
	case Zone:
		return document{Zone: []zoneTable{{Name: d.Name, Region: d.Region, Labels: d.Labels}}}, true
	case Service:
		t := serviceTable{
			Name: d.Name, Queue: d.MaxQueued, Retry: d.RetryRatio, Labels: d.Labels,
			Layers: d.Layers, Experts: d.Experts, Slots: d.SlotsPerRank,
		}
		if d.Timeout != 0 {
			t.Timeout = d.Timeout.String()
		}
		for _, r := range d.Routes {
			t.Routes = append(t.Routes, route{Prefix: r.Prefix, Method: r.Method, Repeatable: &r.Repeatable})
		}
		return document{Service: []serviceTable{t}}, true
	case Upstream:
		t := upstreamTable{
			Name: d.Name, Service: d.Service, Zone: d.Zone, Limit: d.Limit, Cold: d.ColdLimit, Step: d.LimitStep,
			Group: d.Group, Rank: d.Rank, Labels: d.Labels,
		}
		if d.Agent.IsValid() {
			t.Agent = d.Agent.String()
		}
		return document{Upstream: []upstreamTable{t}}, true
	case Team:
		return document{Team: []teamTable{{
			Name: d.Name, Keys: d.Keys, Rate: d.Rate, Burst: d.Burst, Weight: d.Weight, Priority: d.Priority,
			Labels: d.Labels,
		}}}, true
	case Rule:
		t := ruleTable{Name: d.Name, Kind: d.Kind, Selector: d.Selector, Order: d.Order, Labels: d.Labels}
		switch d.Action {
		case core.ActionOut:
			t.Out = lo.ToPtr(true)
		case core.ActionAdmit:
			t.Admit = &d.Share
		case core.ActionRoute:
			t.Route = &d.To
		case core.ActionLimit:
			t.Limit = &d.Limit
		case core.ActionPriority:
			t.Priority = &d.Priority
		}
		return document{Rule: []ruleTable{t}}, true
	}
	return document{}, false
}

// Bounds of declared values.
const (
	MaxTimeout  = time.Hour
	MaxCount    = 1_000_000
	MaxRate     = 1_000_000
	MaxWeight   = 1_000
	MaxPriority = 9
	MaxRanks    = 65_536
	MaxKeys     = 64
	MaxLabels   = 32
	MaxPath     = 1_024
	MaxName     = 128
	// MaxSelector bounds a selector, which each compilation evaluates on all
	// objects of its kind.
	MaxSelector = 4_096
)
