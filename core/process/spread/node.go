package spread

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
	"parsleyroute.example/core/process/meter"
	"parsleyroute.example/core/version/objset"
	"parsleyroute.example/core/wire"
)

// ConfigClients returns clients of the Config service of other nodes.
type ConfigClients interface {
	ConfigClient(addr netip.AddrPort) wire.Config
}

// Node replicates the configuration for one process. Its exported fields are
// set before Run and not changed afterwards. Zero values select the defaults
// given.
type Node struct {
	Self core.Instance
	// Store may be nil; the node then never watches.
	Store core.Store
	// Lister may be nil; the node then learns of instances only from its peers.
	Lister core.InstanceLister
	// Clock defaults to the system clock. Timeouts of calls always use the
	// system clock.
	Clock core.Clock
	// Seeds are the peers to contact while the instance list is unknown or its
	// instances do not respond.
	Seeds   []netip.AddrPort
	Clients ConfigClients
	// PeerKey authenticates peers. Handler rejects all calls if it is empty.
	PeerKey string
	// OnChange receives the objects, tombstones and rosters that have changed,
	// after they are visible to Objects and Instances. It runs on the goroutine
	// of Run, so it must not block or call Close.
	OnChange func([]core.Object)
	Logger   log.Logger
	// Incarnation distinguishes this process from earlier ones at the same
	// address.
	Incarnation uint64
	// Load returns the load report for status responses; it may be nil.
	Load func() *wire.Load
	// Kinds are the kinds of objects that are replicated; default
	// core.DeclarationKinds.
	Kinds []core.Kind

	// MaxMessageBytes limits the size of the objects or versions in one message,
	// unless a single object is larger; default 1 MB.
	MaxMessageBytes int

	// MinRelistInterval is the minimum time between a watcher's full lists of
	// the store; default 60 s. Large lists are read less often.
	MinRelistInterval time.Duration
	// RosterInterval is the time between a watcher's reads of the instance list;
	// default 2 s.
	RosterInterval time.Duration
	// RosterMaxAge is the age of the instance list after which a node that is not
	// a watcher reads it itself. It is also the timeout of each read; default
	// 10 s.
	RosterMaxAge time.Duration
	// ExchangeInterval is the time between exchanges with a peer; default 1 s.
	ExchangeInterval time.Duration
	// MinWatchInterval is the minimum time between the starts of two watch calls,
	// so that a burst of writes causes few calls; default 100 ms.
	MinWatchInterval time.Duration
	// CallTimeout limits a call to a peer; default 1 s.
	CallTimeout time.Duration
	// StoreTimeout limits a full list of the store, which takes many calls if the
	// configuration is large and the store slow; default 30 s.
	StoreTimeout time.Duration
	// WatchTimeout limits a watch call; default 60 s.
	WatchTimeout time.Duration

	once          sync.Once
	ownerCalls    chan func(*owner)
	stop          chan struct{}
	done          chan struct{}
	pushSlots     chan struct{}
	tasks         sync.WaitGroup
	state         atomic.Pointer[state]
	lastListBytes atomic.Int64 // size of the last full list of the store
	mu            sync.Mutex   // guards started and closed
	started       bool
	closed        bool
}

// state is an immutable snapshot of a node, published by its owner.
type state struct {
	set    *objset.Snapshot
	roster *roster
	// rosterReadAt is the last time, as far as this node knows, at which any
	// node read the instance list and found the roster's revision.
	rosterReadAt time.Time
	synced       bool
	// completeRevision is the store's revision at which the set is known to be
	// complete.
	completeRevision uint64
}

const (
	// maxConcurrentPushes suffices for the largest zone, of about 170 nodes: a
	// push takes about a millisecond unless the peer is dead.
	maxConcurrentPushes    = 64
	pruneInterval          = time.Minute
	unsyncedExchangeFactor = 4 // factor by which exchanges are more frequent before the first sync
)

func (n *Node) init() {
	n.once.Do(func() {
		setDefault := func(d *time.Duration, v time.Duration) {
			if *d <= 0 {
				*d = v
			}
		}
		setDefault(&n.MinRelistInterval, time.Minute)
		setDefault(&n.RosterInterval, 2*time.Second)
		setDefault(&n.RosterMaxAge, 10*time.Second)
		setDefault(&n.ExchangeInterval, time.Second)
		setDefault(&n.MinWatchInterval, 100*time.Millisecond)
		setDefault(&n.CallTimeout, time.Second)
		setDefault(&n.StoreTimeout, 30*time.Second)
		setDefault(&n.WatchTimeout, time.Minute)
		if n.MaxMessageBytes <= 0 {
			n.MaxMessageBytes = 1 << 20
		}
		if n.Clock == nil {
			n.Clock = clock.Real{}
		}
		if n.Logger == nil {
			n.Logger = log.NewNopLogger()
		}
		if n.Kinds == nil {
			n.Kinds = core.DeclarationKinds
		}
		n.ownerCalls = make(chan func(*owner))
		n.stop = make(chan struct{})
		n.done = make(chan struct{})
		n.pushSlots = make(chan struct{}, maxConcurrentPushes)
		n.state.Store(&state{set: (&objset.Set{}).Snapshot(), roster: newRoster(n.Self, 0, nil)})
	})
}

// Run replicates the configuration until ctx ends or Close is called. It may be
// called once.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	if n.Clients == nil {
		return trace.BadParameter("spread: Clients is not set")
	}
	n.mu.Lock()
	if n.started || n.closed {
		n.mu.Unlock()
		return trace.AlreadyExists("spread: node is running or closed")
	}
	n.started = true
	n.mu.Unlock()
	defer close(n.done)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	meter.Gauge("control_objects", func() any { return n.current().set.Len() })
	meter.Gauge("control_instances", func() any { return len(n.current().roster.instances) })
	meter.Gauge("control_synced", func() any { return n.Synced() })
	for _, loop := range []func(context.Context){n.watchLoop, n.relistLoop, n.rosterLoop, n.exchangeLoop} {
		n.tasks.Go(func() { loop(ctx) })
	}
	o := newOwner(ctx, n)
	prune := n.Clock.After(pruneInterval)
	for {
		select {
		case f := <-n.ownerCalls:
			f(o)
		case <-prune:
			o.prune()
			prune = n.Clock.After(pruneInterval)
		case <-n.stop:
			cancel()
			n.tasks.Wait()
			return nil
		case <-ctx.Done():
			n.tasks.Wait()
			return nil
		}
	}
}

// Close stops Run and waits until all calls in progress have ended.
func (n *Node) Close() {
	n.init()
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.stop)
	}
	started := n.started
	n.mu.Unlock()
	if started {
		<-n.done
	}
}

// Objects returns the current live objects without the roster, in no particular
// order.
func (n *Node) Objects() []core.Object {
	all := n.current().set.Objects()
	live := all[:0]
	for _, obj := range all {
		if !obj.Deleted && obj.Kind != core.KindRoster {
			live = append(live, obj)
		}
	}
	return live
}

// Instances returns the current instance list, sorted by name. It is empty until
// the list is known. The caller must not modify it.
func (n *Node) Instances() []core.Instance { return n.current().roster.instances }

// Version returns the current version of an object or tombstone, or zero.
func (n *Node) Version(key core.Key) uint64 { return n.current().set.Version(key) }

// Digest returns the digest of the node's whole set.
func (n *Node) Digest() uint64 { return n.current().set.Digest() }

// Synced reports whether the node has received a complete configuration since
// its start: by a full list of the store, or by an exchange with a synced peer.
func (n *Node) Synced() bool { return n.current().synced }

// IsWatcher reports whether the node is currently a watcher of its zone.
func (n *Node) IsWatcher() bool { return n.Store != nil && n.current().roster.isWatcher }

func (n *Node) current() *state {
	n.init()
	return n.state.Load()
}

// runOnOwner runs f on the goroutine of Run and waits for it.
func (n *Node) runOnOwner(ctx context.Context, f func(*owner)) error {
	n.init()
	done := make(chan struct{})
	select {
	case n.ownerCalls <- func(o *owner) { defer close(done); f(o) }:
		<-done
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-n.done:
		return trace.ConnectionProblem(nil, "node is closed")
	}
}

// newRand returns a random number generator for one loop. Its seed depends only
// on the node and the loop, so that tests are reproducible.
func (n *Node) newRand(loop string) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(n.Self.Name+"\x00"+loop), n.Incarnation))
}

// jitter changes d at random by up to 10%, so that nodes do not act in step.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rng.Float64()))
}
