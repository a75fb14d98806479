package view

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/evlog"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/wire"
	"parsleyroute.example/gate/process/policy"
)

const (
	// holdCheckInterval is how often the owner looks for expired holds.
	holdCheckInterval = 100 * time.Millisecond
	defaultHeartbeat  = 1200 * time.Millisecond
)

// kinds lists the kinds of objects that a view copies.
var kinds = []core.Kind{core.KindConfig, core.KindListedUpstream, core.KindZoneOut}

// State is the content of the copy at one point in time. It is immutable.
type State struct {
	Config *core.Config
	// Upstreams holds the entries of the upstreams by ID.
	Upstreams map[string]*core.ListedUpstream
	// ZonesOut holds the zones that operators have taken out of use.
	ZonesOut map[string]bool
	// Synced is set once a complete list of each kind has been applied.
	Synced bool
}

// View maintains the copy. Its exported fields are set before Run.
type View struct {
	Store       core.ListWatcher
	Decoder     core.Decoder
	DecisionLog *evlog.Logger
	// OnChange is called by the owner goroutine with each new state.
	OnChange func(State)
	// ShouldWatch reports whether this gate watches the store itself after it has
	// listed all objects. The other gates pull changes from those that watch. nil
	// means that the gate always watches.
	ShouldWatch func() bool
	// Heartbeat is the interval at which upstreams write their entries; zero means 1.2 s.
	Heartbeat time.Duration
	// OnNewRevision, if set, is called when a later revision is known.
	OnNewRevision func()
	// Pull requests from the peer at addr the changes after the revisions in r.
	Pull func(ctx context.Context, addr netip.AddrPort, r *wire.PullRequest) (*wire.PullResponse, error)

	initOnce sync.Once
	tasks    chan func()
	outage   policy.StoreOutage
	// watching is true for each kind whose watch runs without failures.
	watching       [3]atomic.Bool
	knownRevisions atomic.Pointer[[]*wire.KindRevision]

	// Only the owner goroutine accesses the fields below.

	kindStates map[core.Kind]*kindState
	current    State
	// holds contains the upstreams that stay in use after their entries were
	// removed from the store, by ID.
	holds map[string]hold
	// lastEntries holds the latest entry of each upstream by ID, including
	// upstreams that are no longer in use.
	lastEntries map[string]lastEntry
	// zoneHolds holds the times until which zones stay out that the store has lost.
	zoneHolds map[string]time.Time
	// decoded is the configuration that was decoded last, from the object of that version.
	decoded        *core.Config
	decodedVersion uint64
	// behindSince is the time at which a peer first reported a later revision.
	behindSince time.Time
	lastPull    time.Time
	pulling     bool
}

func (v *View) init() {
	v.initOnce.Do(func() {
		v.outage.Heartbeat = cmp.Or(v.Heartbeat, defaultHeartbeat)
		v.tasks = make(chan func(), 64)
		v.kindStates = map[core.Kind]*kindState{}
		for _, k := range kinds {
			v.kindStates[k] = &kindState{kind: k, objects: map[string]core.Object{}}
		}
		v.kindStates[core.KindConfig].content = v.configVersion
		v.holds = map[string]hold{}
		v.lastEntries = map[string]lastEntry{}
		v.zoneHolds = map[string]time.Time{}
		v.current = State{Upstreams: map[string]*core.ListedUpstream{}, ZonesOut: map[string]bool{}}
	})
}

// Run maintains the copy until ctx ends. The calling goroutine is the owner of
// the copy.
func (v *View) Run(ctx context.Context) {
	v.init()
	var wg sync.WaitGroup
	for i, k := range kinds {
		wg.Go(func() { v.followKind(ctx, k, &v.watching[i]) })
	}
	tick := time.NewTicker(holdCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case f := <-v.tasks:
			f()
		case now := <-tick.C:
			v.expireHolds(now)
		}
	}
}

// enqueue makes the owner goroutine run f. It does not wait for the end of f.
func (v *View) enqueue(ctx context.Context, f func()) {
	v.init()
	select {
	case v.tasks <- f:
	case <-ctx.Done():
	}
}

// apply applies objects of a kind. If complete is set, they are all objects of the
// kind as of the revision, otherwise they are changes. Entries that are removed may come
// back for the time lapse.
func (v *View) apply(kind core.Kind, objects []core.Object, revision uint64, complete bool, source string, lapse time.Duration) {
	k := v.kindStates[kind]
	first, previous := !k.synced && complete, k.revision
	now := time.Now()
	former := k.era()
	newEra := k.synced && core.Era(revision) > former
	if newEra {
		meter.Event("store_eras")
		v.DecisionLog.Log("store_era", "kind", kind, "former", former, "era", core.Era(revision), "known", core.Revision(previous), "revision", core.Revision(revision), "source", source)
		v.outage.Learn(now, policy.ReturnTime)
		lapse = max(lapse, policy.ReturnTime)
	}
	var changed []string
	if complete {
		changed = k.replace(objects, revision)
	} else {
		changed = k.merge(objects)
	}
	defer func() {
		if k.revision != previous || first || len(changed) > 0 && kind == core.KindConfig {
			v.publishRevisions()
		}
	}()
	if len(changed) == 0 && !first {
		return
	}
	switch kind {
	case core.KindConfig:
		v.applyConfig(source)
	case core.KindListedUpstream:
		v.applyEntries(now, changed, lapse)
	case core.KindZoneOut:
		v.applyZonesOut(now, changed, newEra)
	}
	v.publish()
}

// zoneHoldTime is how long a zone stays out that the store has lost: operators write again
// what they had written.
const zoneHoldTime = 10 * time.Second

// applyZonesOut updates the zones out. Those that a new era of the store does not have stay
// out for some time.
func (v *View) applyZonesOut(now time.Time, changed []string, newEra bool) {
	objects := v.kindStates[core.KindZoneOut].objects
	for _, name := range changed {
		if _, ok := objects[name]; !ok && newEra {
			v.zoneHolds[name] = now.Add(zoneHoldTime)
			v.DecisionLog.Log("zone_out_held", "zone", name, "hold", zoneHoldTime)
			continue
		}
		delete(v.zoneHolds, name)
	}
	out := make(map[string]bool, len(objects))
	for name := range objects {
		out[name] = true
	}
	for name := range v.zoneHolds {
		out[name] = true
	}
	v.current.ZonesOut = out
}

// configVersion returns the version of a configuration, zero if it cannot be decoded.
func (v *View) configVersion(o core.Object) uint64 {
	c, err := v.decodeConfig(o)
	if err != nil {
		return 0
	}
	return c.Version
}

func (v *View) decodeConfig(o core.Object) (*core.Config, error) {
	if v.decoded != nil && v.decodedVersion == o.Version {
		return v.decoded, nil
	}
	c, err := v.Decoder.Config(o.Value)
	if err == nil {
		v.decoded, v.decodedVersion = c, o.Version
	}
	return c, err
}

// applyConfig decodes the configuration and makes it the current one. It ignores
// a configuration that is invalid or not newer than the current one.
func (v *View) applyConfig(source string) {
	o, ok := v.kindStates[core.KindConfig].objects[core.ActiveConfigName]
	if !ok {
		return
	}
	start := time.Now()
	c, err := v.decodeConfig(o)
	if err != nil {
		meter.Event("config_rejected")
		v.DecisionLog.Log("config_rejected", "revision", o.Version, "error", err)
		return
	}
	if v.current.Config != nil && c.Version <= v.current.Config.Version {
		return
	}
	v.current.Config = c
	v.DecisionLog.Log("config_in_force", "version", c.Version, "revision", o.Version, "source", source,
		"routes", len(c.Routes), "pools", len(c.Pools), "teams", len(c.Teams), "decoded_in", time.Since(start))
}

func (v *View) publish() {
	v.current.Synced = true
	for _, k := range v.kindStates {
		v.current.Synced = v.current.Synced && k.synced
	}
	v.OnChange(v.current)
}

// publishRevisions updates the result of KnownRevisions.
func (v *View) publishRevisions() {
	list := make([]*wire.KindRevision, 0, len(kinds))
	for _, k := range kinds {
		known := &wire.KindRevision{Kind: string(k), Revision: v.kindStates[k].revision}
		if k == core.KindConfig && v.current.Config != nil {
			known.ConfigVersion = v.current.Config.Version
		}
		list = append(list, known)
	}
	v.knownRevisions.Store(&list)
	if v.OnNewRevision != nil {
		v.OnNewRevision()
	}
}

// KnownRevisions returns for each kind the revision up to which all changes are
// known.
func (v *View) KnownRevisions() []*wire.KindRevision {
	if p := v.knownRevisions.Load(); p != nil {
		return *p
	}
	return nil
}

// knownRevision returns the revision of the kind in KnownRevisions.
func (v *View) knownRevision(kind core.Kind) uint64 {
	for _, k := range v.KnownRevisions() {
		if k.GetKind() == string(kind) {
			return k.GetRevision()
		}
	}
	return 0
}
