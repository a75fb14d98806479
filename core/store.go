package core

import (
	"context"
	"time"
)

// Kind is a kind of objects in the store.
type Kind string

// The kinds of declarations.
const (
	KindService  Kind = "service"
	KindUpstream Kind = "upstream"
	KindZone     Kind = "zone"
	KindTeam     Kind = "team"
	KindRule     Kind = "rule"
)

// The kinds of the objects that the system itself creates.
const (
	// KindClaim holds wire.Claim values, one for each non-idempotent request.
	KindClaim Kind = "claim"
	// KindLease holds leases, one for the controller of each group.
	KindLease Kind = "lease"
	// KindMap holds the last committed expert map of each group.
	KindMap Kind = "map"
	// KindCrash holds a wire.CrashRecord, what gates know of crashes of upstreams.
	KindCrash Kind = "crash"
	// KindRoster is the instance list as one object. Instances send it to each
	// other; it is never stored.
	KindRoster Kind = "roster"
)

// DeclarationKinds lists the kinds that operators write, in the order in which
// they are applied.
var DeclarationKinds = []Kind{KindZone, KindService, KindUpstream, KindTeam, KindRule}

// Key identifies an object.
type Key struct {
	Kind Kind
	Name string
}

// Object is a versioned object. Version is the store-wide revision of its last
// write, with the store's era if it has any (see NewVersion). A tombstone has Deleted
// set and no Value.
type Object struct {
	Key
	Version uint64
	// Writer and Nonce identify the write. A writer that got no response can use
	// them to find out whether its write took effect.
	Writer  string
	Nonce   string
	Value   []byte
	Deleted bool
	// DeletedAt is the time of deletion; zero for live objects.
	DeletedAt time.Time
}

// Store is the platform's object API.
//
// Its errors are trace.NotFound, trace.AlreadyExists (Create of an existing
// object), trace.CompareFailed (version mismatch), trace.LimitExceeded (rate
// limit), trace.BadParameter and trace.ConnectionProblem. After a
// trace.ConnectionProblem the write may have taken effect.
type Store interface {
	// Get returns the live object.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns the live objects of the kinds and the revision of the list.
	List(ctx context.Context, kinds ...Kind) ([]Object, uint64, error)
	// Create writes an object that must not exist; obj.Version is ignored.
	Create(ctx context.Context, obj Object) (Object, error)
	// Update replaces the object if its version is still obj.Version.
	Update(ctx context.Context, obj Object) (Object, error)
	// Delete removes the object if its version is still obj.Version, and
	// returns the tombstone.
	Delete(ctx context.Context, obj Object) (Object, error)
	// Watch waits for changes of the kinds after revision from and returns them
	// in order of version. An empty result means that no change came in time.
	Watch(ctx context.Context, from uint64, kinds ...Kind) ([]Object, error)
}

// InstanceLister reads the platform's list of instances, which can be out of
// date.
type InstanceLister interface {
	// Instances returns the list and its revision.
	Instances(ctx context.Context) ([]Instance, uint64, error)
}

// Clock returns the time and creates timers. Tests use a manual clock.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
	// Sleep returns nil after d, or the context's error if ctx ends first.
	Sleep(ctx context.Context, d time.Duration) error
}
