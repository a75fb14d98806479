package admin_test

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	"parsleyroute.example/core"
)

// store is an in-memory core.Store. It calls injectFault before each operation to
// determine whether the operation fails.
type store struct {
	mu          sync.Mutex
	revision    uint64
	objects     map[core.Key]core.Object
	injectFault func(call string) faultMode
}

type faultMode int

const (
	noFault faultMode = iota
	// requestLost fails before the operation is executed, responseLost after it.
	requestLost
	responseLost
	rateLimited
)

var errConnectionLost = trace.ConnectionProblem(errors.New("reset"), "connection lost")

func (s *store) run(call string, f func() (core.Object, error)) (core.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mode := noFault
	if s.injectFault != nil {
		mode = s.injectFault(call)
	}
	switch mode {
	case requestLost:
		return core.Object{}, errConnectionLost
	case rateLimited:
		return core.Object{}, trace.LimitExceeded("too many calls")
	}
	o, err := f()
	if mode == responseLost {
		return core.Object{}, errConnectionLost
	}
	return o, err
}

func (s *store) put(o core.Object) core.Object {
	s.revision++
	o.Version = s.revision
	s.objects[o.Key] = o
	return o
}

func (s *store) live(key core.Key) (core.Object, bool) {
	o, ok := s.objects[key]
	return o, ok && !o.Deleted
}

func (s *store) Get(_ context.Context, key core.Key) (core.Object, error) {
	return s.run("get", func() (core.Object, error) {
		if o, ok := s.live(key); ok {
			return o, nil
		}
		return core.Object{}, trace.NotFound("%v", key)
	})
}

func (s *store) List(_ context.Context, kinds ...core.Kind) ([]core.Object, uint64, error) {
	var list []core.Object
	_, err := s.run("list", func() (core.Object, error) {
		for _, o := range s.objects {
			if !o.Deleted && slices.Contains(kinds, o.Kind) {
				list = append(list, o)
			}
		}
		return core.Object{}, nil
	})
	return list, s.revision, err
}

func (s *store) Create(_ context.Context, o core.Object) (core.Object, error) {
	return s.run("write", func() (core.Object, error) {
		if _, ok := s.live(o.Key); ok {
			return core.Object{}, trace.AlreadyExists("%v", o.Key)
		}
		return s.put(o), nil
	})
}

func (s *store) Update(_ context.Context, o core.Object) (core.Object, error) {
	return s.run("write", func() (core.Object, error) { return s.replace(o) })
}

func (s *store) Delete(_ context.Context, o core.Object) (core.Object, error) {
	o.Value, o.Deleted = nil, true
	return s.run("write", func() (core.Object, error) { return s.replace(o) })
}

func (s *store) replace(o core.Object) (core.Object, error) {
	switch current, ok := s.live(o.Key); {
	case !ok:
		return core.Object{}, trace.NotFound("%v", o.Key)
	case current.Version != o.Version:
		return core.Object{}, trace.CompareFailed("%v is at %d", o.Key, current.Version)
	}
	return s.put(o), nil
}

func (s *store) Watch(_ context.Context, from uint64, kinds ...core.Kind) ([]core.Object, error) {
	var list []core.Object
	_, err := s.run("watch", func() (core.Object, error) {
		for _, o := range s.objects {
			if o.Version > from && slices.Contains(kinds, o.Kind) {
				list = append(list, o)
			}
		}
		return core.Object{}, nil
	})
	slices.SortFunc(list, func(a, b core.Object) int { return int(a.Version) - int(b.Version) })
	return list, err
}

// all returns every object including tombstones, like the snapshot of an instance.
func (s *store) all() []core.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []core.Object
	for _, o := range s.objects {
		list = append(list, o)
	}
	return list
}
