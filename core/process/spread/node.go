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

// ConfigClients makes clients of other nodes.
type ConfigClients interface {
	ConfigClient(addr netip.AddrPort) wire.Config
}

// Node keeps one process's configuration. Its exported fields are set before
// Run and not changed afterwards. Zero values select the defaults given.
type Node struct {
	Self core.Instance
	// Store may be nil; the node then never watches.
	Store core.Store
	// Lister may be nil; the node then knows instances only from its peers.
	Lister core.Lister
	// Clock defaults to the machine's clock. Time limits of calls always follow
	// the machine's clock.
	Clock core.Clock
	// Seeds are peers to ask while the instance list is unknown or its
	// instances do not answer.
	Seeds   []netip.AddrPort
	Clients ConfigClients
	// PeerKey authenticates peers. Handler refuses all calls if it is empty.
	PeerKey string
	// OnChange receives the objects, tombstones and rosters that have come
	// into force, after snapshots show them. It runs on the owner's goroutine,
	// so it must not block or call Close.
	OnChange func([]core.Object)
	Logger   log.Logger
	// Incarnation tells this process from its predecessors at the address.
	Incarnation uint64
	// Load gives the report for status answers; it may be nil.
	Load func() *wire.Load
	// Kinds are the kinds that are spread; default core.DeclarationKinds.
	Kinds []core.Kind

	// MaxMessageBytes is the greatest size in bytes of the objects or versions in one
	// message, unless a single object is larger; default 1 MB.
	MaxMessageBytes int

	// MinRelistInterval is the least time between a watcher's lists; default 60 s.
	// Large lists are read less often.
	MinRelistInterval time.Duration
	// RosterInterval is the time between a watcher's reads of the instance list;
	// default 2 s.
	RosterInterval time.Duration
	// RosterMaxAge is the time without news of the instance list after which a
	// node reads it itself, and bounds each read; default 10 s.
	RosterMaxAge time.Duration
	// ExchangeInterval is the time between exchanges of digests; default 1 s.
	ExchangeInterval time.Duration
	// MinWatchInterval is the least time between the starts of two watch calls, so
	// that a burst of writes costs few calls; default 100 ms.
	MinWatchInterval time.Duration
	// CallTimeout bounds a call to a peer; default 1 s.
	CallTimeout time.Duration
	// StoreTimeout bounds a list at the store, which takes many calls when the
	// configuration is large and the store slow; default 30 s.
	StoreTimeout time.Duration
	// WatchTimeout bounds a watch call; default 60 s.
	WatchTimeout time.Duration

	once   sync.Once
	calls  chan func(*owner)
	stop   chan struct{}
	ended  chan struct{}
	slots  chan struct{}
	tasks  sync.WaitGroup
	state  atomic.Pointer[state]
	listed atomic.Int64 // size of the last list in bytes
	mu     sync.Mutex   // guards running and closed
	runs   bool
	closed bool
}

// state is what the owner publishes.
type state struct {
	set    *objset.Snapshot
	roster *roster
	// seen is when a node last read the instance list at the roster's
	// revision, as far as this node knows.
	seen   time.Time
	synced bool
	// complete is the store's revision at which the set is known to be
	// complete.
	complete uint64
}

const (
	// maxCalls bounds the pushes under way. The largest zone has some 170
	// nodes, and a push takes about a millisecond unless the peer is dead.
	maxCalls      = 64
	prunePeriod   = time.Minute
	unsyncedRatio = 4 // exchanges are this much more frequent before the first sync
)

func (n *Node) init() {
	n.once.Do(func() {
		def := func(d *time.Duration, v time.Duration) {
			if *d <= 0 {
				*d = v
			}
		}
		def(&n.MinRelistInterval, time.Minute)
		def(&n.RosterInterval, 2*time.Second)
		def(&n.RosterMaxAge, 10*time.Second)
		def(&n.ExchangeInterval, time.Second)
		def(&n.MinWatchInterval, 100*time.Millisecond)
		def(&n.CallTimeout, time.Second)
		def(&n.StoreTimeout, 30*time.Second)
		def(&n.WatchTimeout, time.Minute)
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
		n.calls = make(chan func(*owner))
		n.stop = make(chan struct{})
		n.ended = make(chan struct{})
		n.slots = make(chan struct{}, maxCalls)
		n.state.Store(&state{set: (&objset.Set{}).Snapshot(), roster: newRoster(n.Self, 0, nil)})
	})
}

// Run keeps the configuration up to date until ctx ends or Close is called. It
// may be called once.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	if n.Clients == nil {
		return trace.BadParameter("spread: Clients is not set")
	}
	n.mu.Lock()
	if n.runs || n.closed {
		n.mu.Unlock()
		return trace.AlreadyExists("spread: node is running or closed")
	}
	n.runs = true
	n.mu.Unlock()
	defer close(n.ended)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	meter.Gauge("control_objects", func() any { return n.current().set.Len() })
	meter.Gauge("control_instances", func() any { return len(n.current().roster.instances) })
	meter.Gauge("control_synced", func() any { return n.Synced() })
	for _, loop := range []func(context.Context){n.watchLoop, n.relistLoop, n.rosterLoop, n.exchangeLoop} {
		n.tasks.Go(func() { loop(ctx) })
	}
	o := newOwner(ctx, n)
	prune := n.Clock.After(prunePeriod)
	for {
		select {
		case f := <-n.calls:
			f(o)
		case <-prune:
			o.prune()
			prune = n.Clock.After(prunePeriod)
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

// Close ends Run and waits until all calls under way have ended.
func (n *Node) Close() {
	n.init()
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.stop)
	}
	runs := n.runs
	n.mu.Unlock()
	if runs {
		<-n.ended
	}
}

// Objects returns the live objects in force, the roster excluded, in no order.
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

// Instances returns the instance list in force, sorted by name. It is empty
// until the list is known. It must not be changed.
func (n *Node) Instances() []core.Instance { return n.current().roster.instances }

// Version returns the version in force of an object or tombstone, or zero.
func (n *Node) Version(key core.Key) uint64 { return n.current().set.Version(key) }

// Digest returns the digest of the node's whole set.
func (n *Node) Digest() uint64 { return n.current().set.Total() }

// Synced reports whether the node has had a complete configuration: a list
// from the store, or an exchange with a peer that was synced itself.
func (n *Node) Synced() bool { return n.current().synced }

// IsWatcher reports whether the node is now a watcher of its zone.
func (n *Node) IsWatcher() bool { return n.Store != nil && n.current().roster.watcher }

func (n *Node) current() *state {
	n.init()
	return n.state.Load()
}

// do runs f on the owner's goroutine and waits for it.
func (n *Node) do(ctx context.Context, f func(*owner)) error {
	n.init()
	done := make(chan struct{})
	select {
	case n.calls <- func(o *owner) { defer close(done); f(o) }:
		<-done
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-n.ended:
		return trace.ConnectionProblem(nil, "node has ended")
	}
}

// random returns a generator for one loop. Its sequence depends only on the
// node and the loop, so that tests repeat.
func (n *Node) random(loop string) *rand.Rand {
	return rand.New(rand.NewPCG(xxhash.Sum64String(n.Self.Name+"\x00"+loop), n.Incarnation))
}

// jitter returns d changed by up to a tenth, so that nodes do not act in step.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rng.Float64()))
}
