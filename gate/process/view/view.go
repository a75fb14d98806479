package view

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/process/trail"
	"parsleyroute.example/core/wire"
)

const (
	// settle is how often holds are looked at.
	settle = 100 * time.Millisecond
)

// kinds lists what a view follows.
var kinds = []core.Kind{core.KindConfig, core.KindListedUpstream, core.KindZoneOut}

// State is what is known at a time. It is immutable.
type State struct {
	Config *core.Config
	// Upstreams holds the entries by id.
	Upstreams map[string]*core.ListedUpstream
	// Out holds the zones that operators have taken out.
	Out map[string]bool
	// Synced is set once all kinds have been read whole.
	Synced bool
}

// View follows the store. Its exported fields are set before Run.
type View struct {
	Feed    core.ListWatcher
	Decoder core.Decoder
	Trail   *trail.Trail
	// OnChange takes over a new state. It is called by the owner goroutine.
	OnChange func(State)
	// Lead reports whether this gate follows the store itself, once it has read
	// all; the others learn of changes from those that do. nil means that it does.
	Lead func() bool
	// OnKnown is called, if it is set, when a later version is known.
	OnKnown func()
	// Pull asks the peer at an address for what it knows beyond the request.
	Pull func(ctx context.Context, addr netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error)

	start   sync.Once
	updates chan func()
	// watching holds for each kind whether its watch goes on without failures.
	watching [3]atomic.Bool
	known    atomic.Pointer[[]*wire.KindRevision]

	// The fields below belong to the owner goroutine.

	state   map[core.Kind]*kindState
	current State
	// held maps upstreams whose entries have lapsed to when they are given up.
	held map[string]hold
	// written holds the last entry of each upstream, also of those that are
	// gone.
	written map[string]*core.ListedUpstream
	// trouble is when a call to the store last failed.
	trouble time.Time
	// behind is when a peer was first heard that knows more.
	behind  time.Time
	pulled  time.Time
	pulling bool
}

func (v *View) init() {
	v.start.Do(func() {
		v.updates = make(chan func(), 64)
		v.state = map[core.Kind]*kindState{}
		for _, k := range kinds {
			v.state[k] = &kindState{kind: k, objects: map[string]core.Object{}}
		}
		v.held = map[string]hold{}
		v.written = map[string]*core.ListedUpstream{}
		v.current = State{Upstreams: map[string]*core.ListedUpstream{}, Out: map[string]bool{}}
	})
}

// Run follows the store until ctx ends.
func (v *View) Run(ctx context.Context) {
	v.init()
	var wg sync.WaitGroup
	for i, k := range kinds {
		wg.Go(func() { v.follow(ctx, k, &v.watching[i]) })
	}
	tick := time.NewTicker(settle)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case f := <-v.updates:
			f()
		case now := <-tick.C:
			v.settle(now)
		}
	}
}

// do runs f in the owner goroutine.
func (v *View) do(ctx context.Context, f func()) {
	v.init()
	select {
	case v.updates <- f:
	case <-ctx.Done():
	}
}

// apply takes over objects: all of the kind as of the revision if whole is set,
// and otherwise changes.
func (v *View) apply(kind core.Kind, objects []core.Object, revision uint64, whole bool, source string) {
	k := v.state[kind]
	first, head := !k.synced && whole, k.head
	var changed []string
	if whole {
		changed = k.replace(objects, revision)
	} else {
		changed = k.merge(objects)
	}
	if k.head != head || first {
		v.publishKnown()
	}
	if len(changed) == 0 && !first {
		return
	}
	now := time.Now()
	switch kind {
	case core.KindConfig:
		v.applyConfig(source)
	case core.KindListedUpstream:
		v.applyPeers(now, changed)
	case core.KindZoneOut:
		out := make(map[string]bool, len(k.objects))
		for name := range k.objects {
			out[name] = true
		}
		v.current.Out = out
	}
	v.publish()
}

// applyConfig decodes the configuration. One that cannot be decoded, or that is
// older than the one in force, changes nothing.
func (v *View) applyConfig(source string) {
	o, ok := v.state[core.KindConfig].objects[core.ActiveConfigName]
	if !ok {
		return
	}
	c, err := v.Decoder.Config(o.Value)
	if err != nil {
		meter.Event("config_rejected")
		v.Trail.Log("config_rejected", "revision", o.Version, "error", err)
		return
	}
	if v.current.Config != nil && c.Version <= v.current.Config.Version {
		return
	}
	v.current.Config = c
	v.Trail.Log("config_in_force", "version", c.Version, "revision", o.Version, "source", source,
		"routes", len(c.Routes), "pools", len(c.Pools), "teams", len(c.Teams))
}

func (v *View) publish() {
	v.current.Synced = true
	for _, k := range v.state {
		v.current.Synced = v.current.Synced && k.synced
	}
	v.OnChange(v.current)
}

// publishKnown publishes the heads of all kinds for Known.
func (v *View) publishKnown() {
	list := make([]*wire.KindRevision, 0, len(kinds))
	for _, k := range kinds {
		list = append(list, &wire.KindRevision{Kind: string(k), Revision: v.state[k].head})
	}
	v.known.Store(&list)
	if v.OnKnown != nil {
		v.OnKnown()
	}
}

// Known returns the versions up to which each kind is known.
func (v *View) Known() []*wire.KindRevision {
	if p := v.known.Load(); p != nil {
		return *p
	}
	return nil
}
