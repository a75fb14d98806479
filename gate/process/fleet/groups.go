package fleet

import (
	"sync"
	"time"

	"parsleyroute.example/core"
)

// groups holds the groups of ranks that are down: a rank is missing, so the
// others cannot run forward passes either. It is safe for concurrent use.
type groups struct {
	mu   sync.Mutex
	down map[string]downGroup
}

type downGroup struct {
	// epoch is the group's epoch when it was marked down.
	epoch uint64
	since time.Time
}

// MarkGroupDown marks the group of an upstream as down after the upstream refused
// a request because of another rank. failedUpstream is the address of that rank.
// The call has no effect if it is empty or the address of the upstream itself.
func (f *Fleet) MarkGroupDown(now time.Time, u *Upstream, failedUpstream string) {
	g := u.Entry().Group
	if g.Name == "" || failedUpstream == "" || failedUpstream == u.Conns.Addr.String() {
		return
	}
	f.markDown(now, g, "refusal", failedUpstream)
}

// SuspectGroup marks the group of an upstream as down after a stream of the
// upstream was lost and no stream of its pool has had an event recently. The
// group gets no requests until one of its members reports that it runs.
func (f *Fleet) SuspectGroup(now time.Time, u *Upstream) {
	if g := u.Entry().Group; g.Name != "" {
		f.markDown(now, g, "lost_stream", u.ID)
	}
}

// markDown marks a group as down. upstream is the address that a refusal
// names, the ID of the upstream whose stream was lost, which need not be the one
// that failed, or empty if the entries in the store say that the group is down.
func (f *Fleet) markDown(now time.Time, g core.GroupMembership, source, upstream string) {
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	if _, ok := f.groups.down[g.Name]; ok {
		return
	}
	if f.groups.down == nil {
		f.groups.down = map[string]downGroup{}
	}
	f.groups.down[g.Name] = downGroup{epoch: g.Epoch, since: now}
	f.DecisionLog.Log("group_down", "group", g.Name, "epoch", g.Epoch, "source", source, "culprit", upstream)
}

// MarkGroupUp records that a group that was down runs forward passes again, in
// the given epoch.
func (f *Fleet) MarkGroupUp(now time.Time, name string, epoch uint64, source string) {
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	if d, ok := f.groups.down[name]; ok {
		delete(f.groups.down, name)
		// group_open is the event of a group that is up again.
		f.DecisionLog.Log("group_open", "group", name, "epoch", epoch, "former", d.epoch, "down_for", now.Sub(d.since), "source", source)
	}
}

// DownGroups returns for each group that is down, by its name, one member that
// is neither draining nor replaced.
func (f *Fleet) DownGroups() map[string]*Upstream {
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	if len(f.groups.down) == 0 {
		return nil
	}
	members := map[string]*Upstream{}
	for _, u := range f.Snapshot().ByID {
		name := u.Entry().Group.Name
		if _, ok := f.groups.down[name]; ok && !u.Entry().Draining && !u.replaced.Load() {
			// Map iteration order is random, so the member varies between calls.
			members[name] = u
		}
	}
	return members
}

// isDown reports whether the upstream's group is down.
func (f *Fleet) isDown(u *Upstream) bool {
	name := u.Entry().Group.Name
	if name == "" {
		return false
	}
	f.groups.mu.Lock()
	defer f.groups.mu.Unlock()
	_, ok := f.groups.down[name]
	return ok
}

// updateGroups marks groups down or up according to the entries of their members.
// An entry may be outdated, so one of the epoch in which the group was marked
// down does not mark it up.
func (f *Fleet) updateGroups(now time.Time, entries map[string]*core.ListedUpstream) {
	newest := map[string]core.GroupMembership{}
	for _, entry := range entries {
		if g := entry.Group; g.Name != "" && (newest[g.Name].Name == "" || g.Epoch > newest[g.Name].Epoch || g.Epoch == newest[g.Name].Epoch && g.Broken) {
			newest[g.Name] = g
		}
	}
	for name, g := range newest {
		if g.Broken {
			// The source "list" is the list of entries in the store.
			f.markDown(now, g, "list", "")
			continue
		}
		f.groups.mu.Lock()
		d, ok := f.groups.down[name]
		f.groups.mu.Unlock()
		if ok && g.Epoch > d.epoch {
			f.MarkGroupUp(now, name, g.Epoch, "list")
		}
	}
}
