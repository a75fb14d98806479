package memory

import (
	"cmp"
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
)

// MaxValueSize is the greatest length of a value in bytes.
const MaxValueSize = 1 << 20

// Op names a call of core.Store in the hooks.
type Op string

// The calls of core.Store.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// IsWrite reports whether the call changes the store.
func (o Op) IsWrite() bool { return o == OpCreate || o == OpUpdate || o == OpDelete }

// Store is a core.Store in memory. Its zero value is an empty store.
type Store struct {
	// Clock gives the times of deletions; the default is the machine's.
	Clock core.Clock
	// WatchWait bounds one Watch call; the default is 10 s.
	WatchWait time.Duration
	// HistoryLimit is the number of changes of each kind that are kept for
	// watches; the default is 100,000.
	HistoryLimit int
	// Before is called before each call. Its error is returned and the call
	// has no effect. The key has no name for OpList and OpWatch.
	Before func(ctx context.Context, op Op, key core.Key) error
	// After is called after a call that succeeded. Its error replaces the
	// answer, as if the answer had been lost.
	After func(ctx context.Context, op Op, key core.Key) error

	mu       sync.Mutex
	revision uint64
	kinds    map[core.Kind]*class
	changed  chan struct{}
}

// class holds the objects of one kind.
type class struct {
	live map[string]core.Object
	// log holds the changes in order of version.
	log []core.Object
	// floor is the version of the last change dropped from the log.
	floor uint64
}

var _ core.Store = (*Store)(nil)

// Get implements core.Store.
func (s *Store) Get(ctx context.Context, key core.Key) (core.Object, error) {
	if err := s.before(ctx, OpGet, key); err != nil {
		return core.Object{}, err
	}
	s.mu.Lock()
	obj, ok := s.class(key.Kind).live[key.Name]
	s.mu.Unlock()
	if !ok {
		return core.Object{}, trace.NotFound("%s %q does not exist", key.Kind, key.Name)
	}
	return clone(obj), s.after(ctx, OpGet, key)
}

// List implements core.Store.
func (s *Store) List(ctx context.Context, kinds ...core.Kind) ([]core.Object, uint64, error) {
	objs, _, revision, err := s.ListPage(ctx, core.Key{}, 0, kinds...)
	return objs, revision, err
}

// ListPage returns up to limit objects of the kinds that follow the key after, in
// order of kind and name, whether more follow, and the revision. A zero limit
// means all. Only the revision of the first of several pages is one at which
// all of them together are complete.
func (s *Store) ListPage(ctx context.Context, after core.Key, limit int, kinds ...core.Kind) ([]core.Object, bool, uint64, error) {
	if err := s.before(ctx, OpList, core.Key{}); err != nil {
		return nil, false, 0, err
	}
	s.mu.Lock()
	revision := s.revision
	var objs []core.Object
	for _, k := range distinct(kinds) {
		for _, obj := range s.class(k).live {
			if compare(obj.Key, after) > 0 {
				objs = append(objs, obj)
			}
		}
	}
	s.mu.Unlock()
	slices.SortFunc(objs, func(a, b core.Object) int { return compare(a.Key, b.Key) })
	more := limit > 0 && len(objs) > limit
	if more {
		objs = objs[:limit]
	}
	for i := range objs {
		objs[i] = clone(objs[i])
	}
	return objs, more, revision, s.after(ctx, OpList, core.Key{})
}

// Create implements core.Store.
func (s *Store) Create(ctx context.Context, obj core.Object) (core.Object, error) {
	return s.write(ctx, OpCreate, obj)
}

// Update implements core.Store.
func (s *Store) Update(ctx context.Context, obj core.Object) (core.Object, error) {
	return s.write(ctx, OpUpdate, obj)
}

// Delete implements core.Store.
func (s *Store) Delete(ctx context.Context, obj core.Object) (core.Object, error) {
	return s.write(ctx, OpDelete, obj)
}

func (s *Store) write(ctx context.Context, op Op, obj core.Object) (core.Object, error) {
	if err := s.before(ctx, op, obj.Key); err != nil {
		return core.Object{}, err
	}
	if obj.Kind == "" || obj.Name == "" {
		return core.Object{}, trace.BadParameter("an object needs a kind and a name")
	}
	if len(obj.Value) > MaxValueSize {
		return core.Object{}, trace.BadParameter("the value of %s %q has %d bytes, more than %d", obj.Kind, obj.Name, len(obj.Value), MaxValueSize)
	}
	obj, err := s.apply(op, clone(obj))
	if err != nil {
		return core.Object{}, err
	}
	if err := s.after(ctx, op, obj.Key); err != nil {
		return core.Object{}, err
	}
	return obj, nil
}

func (s *Store) apply(op Op, obj core.Object) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.class(obj.Kind)
	old, ok := c.live[obj.Name]
	switch {
	case op == OpCreate && ok:
		return obj, trace.AlreadyExists("%s %q exists at version %d", obj.Kind, obj.Name, old.Version)
	case op != OpCreate && !ok:
		return obj, trace.NotFound("%s %q does not exist", obj.Kind, obj.Name)
	case op != OpCreate && old.Version != obj.Version:
		return obj, trace.CompareFailed("%s %q is at version %d, not %d", obj.Kind, obj.Name, old.Version, obj.Version)
	}
	s.revision++
	obj.Version, obj.Deleted, obj.DeletedAt = s.revision, false, time.Time{}
	if op == OpDelete {
		obj.Value, obj.Deleted, obj.DeletedAt = nil, true, s.clock().Now()
		delete(c.live, obj.Name)
	} else {
		c.live[obj.Name] = clone(obj)
	}
	c.log = append(c.log, clone(obj))
	if n := cmp.Or(s.HistoryLimit, 100_000); len(c.log) > n {
		cut := len(c.log) - n/2
		c.floor = c.log[cut-1].Version
		c.log = slices.Clone(c.log[cut:])
	}
	s.wake()
	return obj, nil
}

// Watch implements core.Store. It fails with trace.CompareFailed if changes
// after from are no longer kept; the caller then lists again.
func (s *Store) Watch(ctx context.Context, from uint64, kinds ...core.Kind) ([]core.Object, error) {
	timeout := s.clock().After(cmp.Or(s.WatchWait, 10*time.Second))
	for {
		if err := s.before(ctx, OpWatch, core.Key{}); err != nil {
			return nil, err
		}
		objs, changed, err := s.since(from, kinds)
		if err != nil {
			return nil, err
		}
		if len(objs) > 0 {
			return objs, s.after(ctx, OpWatch, core.Key{})
		}
		select {
		case <-ctx.Done():
			return nil, trace.ConnectionProblem(ctx.Err(), "the watch was given up")
		case <-timeout:
			return nil, s.after(ctx, OpWatch, core.Key{})
		case <-changed:
		}
	}
}

// WakeWatches makes all waiting watches call Before again, so that a fault that was
// just set reaches them.
func (s *Store) WakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// Revision returns the revision of the last write.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// CompactHistory forgets the changes up to now, so that watches from older revisions
// fail.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.kinds {
		c.log, c.floor = nil, s.revision
	}
	s.wake()
}

// since returns the changes after from and a channel that is closed with the
// next change.
func (s *Store) since(from uint64, kinds []core.Kind) ([]core.Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var objs []core.Object
	for _, k := range distinct(kinds) {
		c := s.class(k)
		if from < c.floor {
			return nil, nil, trace.CompareFailed("the changes after revision %d are no longer kept", from)
		}
		i := sort.Search(len(c.log), func(i int) bool { return c.log[i].Version > from })
		for _, obj := range c.log[i:] {
			objs = append(objs, clone(obj))
		}
	}
	slices.SortFunc(objs, func(a, b core.Object) int { return cmp.Compare(a.Version, b.Version) })
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return objs, s.changed, nil
}

func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Store) class(k core.Kind) *class {
	c := s.kinds[k]
	if c == nil {
		if s.kinds == nil {
			s.kinds = map[core.Kind]*class{}
		}
		c = &class{live: map[string]core.Object{}}
		s.kinds[k] = c
	}
	return c
}

func (s *Store) before(ctx context.Context, op Op, key core.Key) error {
	if err := ctx.Err(); err != nil {
		return trace.ConnectionProblem(err, "the call was given up")
	}
	if s.Before == nil {
		return nil
	}
	return s.Before(ctx, op, key)
}

func (s *Store) after(ctx context.Context, op Op, key core.Key) error {
	if s.After == nil {
		return nil
	}
	return s.After(ctx, op, key)
}

func (s *Store) clock() core.Clock {
	if s.Clock == nil {
		return clock.Real{}
	}
	return s.Clock
}

func distinct(kinds []core.Kind) []core.Kind {
	return slices.Compact(slices.Sorted(slices.Values(kinds)))
}

func compare(a, b core.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func clone(obj core.Object) core.Object {
	obj.Value = slices.Clone(obj.Value)
	return obj
}
