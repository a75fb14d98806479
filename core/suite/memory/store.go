package memory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
	"parsleyroute.example/core/process/clock"
)

// MaxValueSize is the maximum size of a value in bytes.
const MaxValueSize = 1 << 20

// Op identifies the method of core.Store for which a hook is called.
type Op string

// The methods of core.Store.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// IsWrite reports whether the operation changes the store.
func (o Op) IsWrite() bool { return o == OpCreate || o == OpUpdate || o == OpDelete }

// Store is a core.Store in memory. Its zero value is an empty store.
type Store struct {
	// Clock provides the deletion times; the default is the system clock.
	Clock core.Clock
	// WatchWait is how long a Watch call waits for a change; the default is 10 s.
	WatchWait time.Duration
	// HistoryLimit is the maximum number of changes of each kind that are kept
	// for watches; the default is 100,000.
	HistoryLimit int
	// Before is called before each operation. If it returns an error, the
	// operation has no effect and returns the error. The key is empty for OpList
	// and OpWatch.
	Before func(ctx context.Context, op Op, key core.Key) error
	// After is called after each successful operation. If it returns an error,
	// the operation returns the error as if its response had been lost.
	After func(ctx context.Context, op Op, key core.Key) error

	mu       sync.Mutex
	revision uint64
	kinds    map[core.Kind]*collection
	changed  chan struct{}
	// copied and copiedRevision are the live objects of the last copy, and its revision.
	copied         map[core.Kind]map[string]core.Object
	copiedRevision uint64
}

// collection holds the objects of one kind.
type collection struct {
	live map[string]core.Object
	// history holds the changes in ascending order of version.
	history []core.Object
	// droppedVersion is the version of the last change dropped from history.
	droppedVersion uint64
}

var _ core.Store = (*Store)(nil)

// Get implements core.Store.
func (s *Store) Get(ctx context.Context, key core.Key) (core.Object, error) {
	if err := s.callBefore(ctx, OpGet, key); err != nil {
		return core.Object{}, err
	}
	s.mu.Lock()
	obj, ok := s.collection(key.Kind).live[key.Name]
	s.mu.Unlock()
	if !ok {
		return core.Object{}, trace.NotFound("%s %q does not exist", key.Kind, key.Name)
	}
	return clone(obj), s.callAfter(ctx, OpGet, key)
}

// List implements core.Store.
func (s *Store) List(ctx context.Context, kinds ...core.Kind) ([]core.Object, uint64, error) {
	objs, _, revision, err := s.ListPage(ctx, core.Key{}, 0, kinds...)
	return objs, revision, err
}

// ListPage returns up to limit objects of the kinds whose keys follow after, sorted
// by kind and name. It also reports whether more objects follow, and the revision.
// A limit of zero returns all objects. A list of several pages may miss changes
// after the revision of its first page, so a watch must start from that one.
func (s *Store) ListPage(ctx context.Context, after core.Key, limit int, kinds ...core.Kind) ([]core.Object, bool, uint64, error) {
	if err := s.callBefore(ctx, OpList, core.Key{}); err != nil {
		return nil, false, 0, err
	}
	s.mu.Lock()
	revision := s.revision
	var objs []core.Object
	for _, k := range sortedUnique(kinds) {
		for _, obj := range s.collection(k).live {
			if compareKeys(obj.Key, after) > 0 {
				objs = append(objs, obj)
			}
		}
	}
	s.mu.Unlock()
	slices.SortFunc(objs, func(a, b core.Object) int { return compareKeys(a.Key, b.Key) })
	more := limit > 0 && len(objs) > limit
	if more {
		objs = objs[:limit]
	}
	for i := range objs {
		objs[i] = clone(objs[i])
	}
	return objs, more, revision, s.callAfter(ctx, OpList, core.Key{})
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
	if err := s.callBefore(ctx, op, obj.Key); err != nil {
		return core.Object{}, err
	}
	if obj.Kind == "" || obj.Name == "" {
		return core.Object{}, trace.BadParameter("an object needs a kind and a name")
	}
	if len(obj.Value) > MaxValueSize {
		return core.Object{}, trace.BadParameter("the value of %s %q has %d bytes; the limit is %d", obj.Kind, obj.Name, len(obj.Value), MaxValueSize)
	}
	obj, err := s.apply(op, clone(obj))
	if err != nil {
		return core.Object{}, err
	}
	if err := s.callAfter(ctx, op, obj.Key); err != nil {
		return core.Object{}, err
	}
	return obj, nil
}

func (s *Store) apply(op Op, obj core.Object) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.collection(obj.Kind)
	old, ok := c.live[obj.Name]
	switch {
	case op == OpCreate && ok:
		return obj, trace.AlreadyExists("%s %q already exists at version %d", obj.Kind, obj.Name, old.Version)
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
	c.history = append(c.history, clone(obj))
	if n := cmp.Or(s.HistoryLimit, 100_000); len(c.history) > n {
		dropped := len(c.history) - n/2
		c.droppedVersion = c.history[dropped-1].Version
		c.history = slices.Clone(c.history[dropped:])
	}
	s.notifyWatches()
	return obj, nil
}

// Watch implements core.Store. It fails with trace.CompareFailed if changes
// after from were dropped from the history; the caller must then list again.
func (s *Store) Watch(ctx context.Context, from uint64, kinds ...core.Kind) ([]core.Object, error) {
	timeout := s.clock().After(cmp.Or(s.WatchWait, 10*time.Second))
	for {
		if err := s.callBefore(ctx, OpWatch, core.Key{}); err != nil {
			return nil, err
		}
		objs, changed, err := s.changesAfter(from, kinds)
		if err != nil {
			return nil, err
		}
		if len(objs) > 0 {
			return objs, s.callAfter(ctx, OpWatch, core.Key{})
		}
		select {
		case <-ctx.Done():
			return nil, trace.ConnectionProblem(ctx.Err(), "the watch was canceled")
		case <-timeout:
			return nil, s.callAfter(ctx, OpWatch, core.Key{})
		case <-changed:
		}
	}
}

// WakeWatches makes all waiting watches call Before again, so that newly set faults
// apply to them.
func (s *Store) WakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatches()
}

// Revision returns the revision of the store, that of the last write.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Copy takes a copy of the store.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copiedRevision = map[core.Kind]map[string]core.Object{}, s.revision
	for kind, c := range s.kinds {
		s.copied[kind] = maps.Clone(c.live)
	}
}

// Restore brings the store back from the last copy, in the next era (see core.NewVersion).
// All else that it has acknowledged is lost.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := core.Era(s.revision) + 1
	s.revision = core.NewVersion(era, core.Revision(s.copiedRevision))
	s.kinds = map[core.Kind]*collection{}
	for kind, live := range s.copied {
		c := s.collection(kind)
		c.droppedVersion = s.revision
		for name, obj := range live {
			obj.Version = core.NewVersion(era, core.Revision(obj.Version))
			c.live[name] = obj
		}
	}
	s.notifyWatches()
}

// CompactHistory drops all changes from the history, so that watches from older
// revisions fail.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.kinds {
		c.history, c.droppedVersion = nil, s.revision
	}
	s.notifyWatches()
}

// changesAfter returns the changes after the revision from, and a channel that is
// closed at the next change.
func (s *Store) changesAfter(from uint64, kinds []core.Kind) ([]core.Object, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var objs []core.Object
	for _, k := range sortedUnique(kinds) {
		c := s.collection(k)
		if from < c.droppedVersion {
			return nil, nil, trace.CompareFailed("changes after revision %d are no longer in the history", from)
		}
		i := sort.Search(len(c.history), func(i int) bool { return c.history[i].Version > from })
		for _, obj := range c.history[i:] {
			objs = append(objs, clone(obj))
		}
	}
	slices.SortFunc(objs, func(a, b core.Object) int { return cmp.Compare(a.Version, b.Version) })
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return objs, s.changed, nil
}

func (s *Store) notifyWatches() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *Store) collection(k core.Kind) *collection {
	c := s.kinds[k]
	if c == nil {
		if s.kinds == nil {
			s.kinds = map[core.Kind]*collection{}
		}
		c = &collection{live: map[string]core.Object{}}
		s.kinds[k] = c
	}
	return c
}

func (s *Store) callBefore(ctx context.Context, op Op, key core.Key) error {
	if err := ctx.Err(); err != nil {
		return trace.ConnectionProblem(err, "the call was canceled")
	}
	if s.Before == nil {
		return nil
	}
	return s.Before(ctx, op, key)
}

func (s *Store) callAfter(ctx context.Context, op Op, key core.Key) error {
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

func sortedUnique(kinds []core.Kind) []core.Kind {
	return slices.Compact(slices.Sorted(slices.Values(kinds)))
}

func compareKeys(a, b core.Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

func clone(obj core.Object) core.Object {
	obj.Value = slices.Clone(obj.Value)
	return obj
}
