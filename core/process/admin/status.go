package admin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"parsleyroute.example/core"
	"parsleyroute.example/core/wire"
)

// maxStatusRefs is the maximum number of objects in one status query. Each
// instance reports on all of them.
const maxStatusRefs = 10_000

func (a *API) handleStatus(c *call) (any, error) {
	var q StatusQuery
	if body := c.body(); len(body) > 0 {
		dec := json.NewDecoder(bytes.NewReader(body))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&q); err != nil {
			return nil, trace.BadParameter("the body is not a valid status query: %s", err)
		}
	}
	if len(q.Refs) > maxStatusRefs {
		return nil, trace.BadParameter("a status query has at most %d refs", maxStatusRefs)
	}
	return a.queryInstances(c.ctx, q), nil
}

// queryInstances requests the status of the listed instances concurrently, with
// StatusTimeout for each.
func (a *API) queryInstances(ctx context.Context, q StatusQuery) Status {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(a.StatusTotalTimeout, 5*time.Second))
	defer cancel()
	refs := lo.Map(q.Refs, func(r Ref, _ int) *wire.ObjectRef {
		return &wire.ObjectRef{Kind: string(r.Kind), Name: r.Name, Version: r.Version}
	})
	instances := lo.Filter(a.Instances(), func(in core.Instance, _ int) bool {
		return len(q.Instances) == 0 || slices.Contains(q.Instances, in.Name)
	})
	s := Status{Instances: make([]InstanceStatus, len(instances)), Unreachable: []string{}, Behind: []string{}}
	slots := make(chan struct{}, cmp.Or(a.StatusConcurrency, 256))
	var wg sync.WaitGroup
	for i, in := range instances {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			s.Instances[i] = a.queryInstance(ctx, in, refs)
		})
	}
	wg.Wait()
	slices.SortFunc(s.Instances, func(x, y InstanceStatus) int { return strings.Compare(x.Name, y.Name) })
	for _, in := range s.Instances {
		switch {
		case in.Error != "":
			s.Unreachable = append(s.Unreachable, in.Name)
		case !hasVersions(in, q.Refs):
			s.Behind = append(s.Behind, in.Name)
		}
	}
	s.InForce = len(s.Behind) == 0 && len(s.Instances) > len(s.Unreachable)
	return s
}

func (a *API) queryInstance(ctx context.Context, in core.Instance, refs []*wire.ObjectRef) InstanceStatus {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(a.StatusTimeout, time.Second))
	defer cancel()
	s := InstanceStatus{Name: in.Name, Role: in.Role, Zone: in.Zone, Leaving: in.Leaving}
	r, err := a.QueryStatus(ctx, in, refs)
	switch {
	case err != nil:
		s.Error = trace.UserMessage(err)
		return s
	case r.GetInstance() != in.Name:
		s.Error = "the address belongs to instance " + r.GetInstance()
		return s
	}
	s.Incarnation, s.Digest, s.Objects = r.GetIncarnation(), r.GetDigest(), r.GetObjects()
	s.Inflight, s.Limit, s.Draining = r.GetLoad().GetInflight(), r.GetLoad().GetLimit(), r.GetLoad().GetDraining()
	for _, ref := range r.GetRefs() {
		s.Refs = append(s.Refs, Ref{Kind: core.Kind(ref.GetKind()), Name: ref.GetName(), Version: ref.GetVersion()})
	}
	return s
}

// hasVersions reports whether the instance has every object in refs at the given
// version or a higher one in force.
func hasVersions(in InstanceStatus, refs []Ref) bool {
	versions := make(map[core.Key]uint64, len(in.Refs))
	for _, r := range in.Refs {
		versions[core.Key{Kind: r.Kind, Name: r.Name}] = r.Version
	}
	for _, r := range refs {
		if versions[core.Key{Kind: r.Kind, Name: r.Name}] < r.Version {
			return false
		}
	}
	return true
}
